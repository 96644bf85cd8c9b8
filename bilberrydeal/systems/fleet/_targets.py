"""How many endpoints to hold in each failure domain."""

import collections.abc

import attrs

from . import _rules


@attrs.frozen
class Need:
    """Endpoints that a service needs."""

    #: With all failure domains.
    whole: int
    #: With the failure domains lost that the fleet must carry.
    lost: int


def targets(
    need: Need,
    held: collections.abc.Mapping[str, int],
    survive: int,
    rules: _rules.FleetRules,
) -> dict[str, int]:
    """Return the least endpoints for each failure domain in ``held``.

    What is left after the ``survive`` largest failure domains are lost is
    enough for ``need.lost``. Endpoints that are held in another way that
    does as well stay. The settings' bounds for a failure domain go first.
    """
    if not held:
        return {}
    survive = min(survive, len(held) - 1)
    best = _even(len(held), len(held) * rules.most_per_domain)
    least = max(need.whole, len(held) * rules.fewest_per_domain)
    for total in range(least, sum(best)):
        counts = _even(len(held), total)
        if _left(counts, survive) >= need.lost:
            best = counts
            break
    kept = sorted(held.values(), reverse=True)
    as_few = _fits(kept, rules) and sum(kept) == sum(best)
    if as_few and _left(kept, survive) >= need.lost:
        return dict(held)
    by_held = sorted(held, key=lambda domain: (-held[domain], domain))
    return dict(zip(by_held, best, strict=True))


def _even(domains: int, total: int) -> list[int]:
    """Return a total as even counts, the largest first."""
    share, rest = divmod(total, domains)
    return [share + (i < rest) for i in range(domains)]


def _left(counts: list[int], survive: int) -> int:
    """Return what is left of counts, sorted down, after losses."""
    return sum(counts[survive:])


def _fits(counts: list[int], rules: _rules.FleetRules) -> bool:
    return (
        counts[0] <= rules.most_per_domain
        and counts[-1] >= rules.fewest_per_domain
    )

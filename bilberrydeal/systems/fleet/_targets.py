"""Computes the number of endpoints for each failure domain."""

import collections.abc

import attrs

from . import _rules


@attrs.frozen
class Need:
    """Number of endpoints that a service needs."""

    #: Number while all failure domains are available.
    normal: int
    #: Number that must remain after the loss of failure domains.
    after_loss: int


def targets(
    need: Need,
    current: collections.abc.Mapping[str, int],
    losses: int,
    rules: _rules.FleetRules,
) -> dict[str, int]:
    """Return the smallest sufficient counts for the failure domains.

    The endpoints that remain after the loss of the ``losses`` largest failure
    domains are enough for ``need.after_loss``. The current counts are kept if
    they have the same total and are sufficient as well. The configured limits
    for a failure domain take precedence over the need.
    """
    if not current:
        return {}
    losses = min(losses, len(current) - 1)
    best = _divide_evenly(len(current), len(current) * rules.most_per_domain)
    minimum = max(need.normal, len(current) * rules.fewest_per_domain)
    for total in range(minimum, sum(best)):
        counts = _divide_evenly(len(current), total)
        if _remaining_after_losses(counts, losses) >= need.after_loss:
            best = counts
            break
    descending = sorted(current.values(), reverse=True)
    same_total = _within_limits(descending, rules) and sum(descending) == sum(
        best
    )
    if (
        same_total
        and _remaining_after_losses(descending, losses) >= need.after_loss
    ):
        return dict(current)
    by_current = sorted(current, key=lambda domain: (-current[domain], domain))
    return dict(zip(by_current, best, strict=True))


def _divide_evenly(domains: int, total: int) -> list[int]:
    """Divide a total into even counts, the largest first."""
    share, rest = divmod(total, domains)
    return [share + (i < rest) for i in range(domains)]


def _remaining_after_losses(counts: list[int], losses: int) -> int:
    """Return the sum of descending counts after the loss of the largest."""
    return sum(counts[losses:])


def _within_limits(counts: list[int], rules: _rules.FleetRules) -> bool:
    return (
        counts[0] <= rules.most_per_domain
        and counts[-1] >= rules.fewest_per_domain
    )

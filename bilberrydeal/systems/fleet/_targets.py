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
    enough for ``need.lost``. Where endpoints are now decides ties, so that
    few are moved. The settings' bounds for a failure domain go first.
    """
    domains = sorted(held)
    if not domains:
        return {}
    survive = min(survive, len(domains) - 1)
    cap = _cap(need, len(domains), survive, rules)
    total = max(need.whole, need.lost + survive * cap)
    found = {
        domain: max(rules.fewest_per_domain, min(held[domain], cap))
        for domain in domains
    }
    while sum(found.values()) > total:
        domain = max(domains, key=lambda d: (found[d], d))
        if found[domain] <= rules.fewest_per_domain:
            break
        found[domain] -= 1
    while sum(found.values()) < total:
        domain = min(domains, key=lambda d: (found[d], -held[d], d))
        if found[domain] >= rules.most_per_domain:
            break
        found[domain] += 1
    return found


def _cap(
    need: Need, domains: int, survive: int, rules: _rules.FleetRules
) -> int:
    """Return the most endpoints in one failure domain, as few as can be."""
    for cap in range(rules.fewest_per_domain, rules.most_per_domain):
        if domains * cap >= max(need.whole, need.lost + survive * cap):
            return cap
    return rules.most_per_domain

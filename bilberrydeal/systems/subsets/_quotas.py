"""How many endpoints of each service a subset holds."""

import collections
import collections.abc

from . import _registry


def by_service(
    endpoints: collections.abc.Collection[_registry.EndpointMember],
) -> dict[str, list[_registry.EndpointMember]]:
    """Return the endpoints of each service, sorted by key."""
    groups: dict[str, list[_registry.EndpointMember]]
    groups = collections.defaultdict(list)
    for endpoint in sorted(endpoints, key=lambda member: member.key):
        groups[endpoint.service].append(endpoint)
    return dict(groups)


def quotas(
    counts: collections.abc.Mapping[str, int], size: int, fewest: int
) -> dict[str, int]:
    """Divide a subset between services in proportion to their endpoints.

    Each service gets ``fewest`` where ``size`` has room for it and the
    service has so many; always one. What is left is divided by largest
    remainder.
    """
    floor = max(1, min(fewest, size // max(1, len(counts))))
    shares = {name: min(floor, count) for name, count in counts.items()}
    left = size - sum(shares.values())
    total = sum(counts.values())
    exact = {name: size * count / total for name, count in counts.items()}
    while left > 0:
        open_names = [n for n in sorted(counts) if shares[n] < counts[n]]
        if not open_names:
            break
        name = max(open_names, key=lambda n: exact[n] - shares[n])
        shares[name] += 1
        left -= 1
    return shares

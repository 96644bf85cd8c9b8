"""Divides the size of a subset between services."""

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
    counts: collections.abc.Mapping[str, int], size: int, min_per_service: int
) -> dict[str, int]:
    """Divide a subset between services in proportion to their endpoints.

    Each service gets at least one endpoint, and ``min_per_service`` if
    ``size`` permits and the service has so many. The rest is divided by the
    largest remainder method.
    """
    minimum = max(1, min(min_per_service, size // max(1, len(counts))))
    shares = {name: min(minimum, count) for name, count in counts.items()}
    remaining = size - sum(shares.values())
    total = sum(counts.values())
    exact = {name: size * count / total for name, count in counts.items()}
    while remaining > 0:
        unfilled = [n for n in sorted(counts) if shares[n] < counts[n]]
        if not unfilled:
            break
        name = max(unfilled, key=lambda n: exact[n] - shares[n])
        shares[name] += 1
        remaining -= 1
    return shares

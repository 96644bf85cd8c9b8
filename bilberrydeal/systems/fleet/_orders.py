"""Helpers of the fleet planners: endpoint counts and decision rows."""

import collections

from .. import _tables
from . import _entities


class EndpointCounts:
    """Endpoints that are not leaving, and their counts with ordered ones."""

    def __init__(self, tables: _tables.Tables) -> None:
        self._remaining: dict[str, list[_entities.FleetEndpoint]]
        self._remaining = collections.defaultdict(list)
        self._expected: collections.Counter[tuple[str, str]]
        self._expected = collections.Counter()
        for endpoint in tables.of(_entities.FleetEndpoint):
            if not endpoint.leaving:
                self._remaining[endpoint.service].append(endpoint)
                self._expected[endpoint.service, endpoint.failure_domain] += 1
        for order in tables.of(_entities.OutstandingOrder):
            self._expected[order.service, order.failure_domain] += (
                order.missing
            )

    def remaining(self, service: str) -> list[_entities.FleetEndpoint]:
        """Return the endpoints of a service that are not leaving."""
        return self._remaining[service]

    def expected(self, service: str, domain: str) -> int:
        """Return the number of endpoints that stay or are ordered."""
        return self._expected[service, domain]


def clear_decisions(tables: _tables.Tables) -> None:
    """Remove the decisions of the last run."""
    purchases = tables.of(_entities.Purchase)
    for purchase_row in list(purchases):
        purchases.remove(purchase_row.key)
    releases = tables.of(_entities.Release)
    for release_row in list(releases):
        releases.remove(release_row.key)


def purchase(
    tables: _tables.Tables, service: str, domain: str, missing: int
) -> None:
    """Write a purchase if endpoints are missing."""
    if missing <= 0:
        return
    tables.of(_entities.Purchase).put(
        _entities.Purchase(
            key=f"{service}@{domain}",
            service=service,
            failure_domain=domain,
            count=missing,
        )
    )


def release(tables: _tables.Tables, endpoint: _entities.FleetEndpoint) -> None:
    """Write the release of an endpoint."""
    tables.of(_entities.Release).put(
        _entities.Release(
            key=endpoint.key,
            service=endpoint.service,
            failure_domain=endpoint.failure_domain,
        )
    )

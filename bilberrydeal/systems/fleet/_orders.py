"""What fleet planners share: counting endpoints and writing decisions."""

import collections

from .. import _tables
from . import _entities


class Census:
    """Endpoints that stay and endpoints that are ordered, each once."""

    def __init__(self, tables: _tables.Tables) -> None:
        self._staying: dict[str, list[_entities.FleetEndpoint]]
        self._staying = collections.defaultdict(list)
        self._held: collections.Counter[tuple[str, str]]
        self._held = collections.Counter()
        for endpoint in tables.of(_entities.FleetEndpoint):
            if not endpoint.leaving:
                self._staying[endpoint.service].append(endpoint)
                self._held[endpoint.service, endpoint.failure_domain] += 1
        for order in tables.of(_entities.OutstandingOrder):
            self._held[order.service, order.failure_domain] += order.missing

    def staying(self, service: str) -> list[_entities.FleetEndpoint]:
        """Return the endpoints of a service that are not leaving."""
        return self._staying[service]

    def held(self, service: str, domain: str) -> int:
        """Return endpoints that stay plus those ordered."""
        return self._held[service, domain]


def clear(tables: _tables.Tables) -> None:
    """Forget the decisions of the last run."""
    purchases = tables.of(_entities.Purchase)
    for purchase_row in list(purchases):
        purchases.remove(purchase_row.key)
    releases = tables.of(_entities.Release)
    for release_row in list(releases):
        releases.remove(release_row.key)


def purchase(
    tables: _tables.Tables, service: str, domain: str, missing: int
) -> None:
    """Decide a purchase where something is missing."""
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
    """Decide to give an endpoint back."""
    tables.of(_entities.Release).put(
        _entities.Release(
            key=endpoint.key,
            service=endpoint.service,
            failure_domain=endpoint.failure_domain,
        )
    )

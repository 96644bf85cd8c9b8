"""What fleet planners share: counting endpoints and writing decisions."""

from .. import _tables
from . import _entities


def clear(tables: _tables.Tables) -> None:
    """Forget the decisions of the last run."""
    purchases = tables.of(_entities.Purchase)
    for purchase_row in list(purchases):
        purchases.remove(purchase_row.key)
    releases = tables.of(_entities.Release)
    for release_row in list(releases):
        releases.remove(release_row.key)


def held(tables: _tables.Tables, service: str, domain: str) -> int:
    """Return endpoints that stay plus those ordered, each counted once."""
    place = (service, domain)
    staying = sum(
        not endpoint.leaving
        for endpoint in tables.of(_entities.FleetEndpoint)
        if (endpoint.service, endpoint.failure_domain) == place
    )
    ordered = sum(
        order.missing
        for order in tables.of(_entities.OutstandingOrder)
        if (order.service, order.failure_domain) == place
    )
    return staying + ordered


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


def staying(
    tables: _tables.Tables, service: str
) -> list[_entities.FleetEndpoint]:
    """Return the endpoints of a service that are not leaving."""
    return [
        endpoint
        for endpoint in tables.of(_entities.FleetEndpoint)
        if endpoint.service == service and not endpoint.leaving
    ]

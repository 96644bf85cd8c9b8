"""Keeps the fleet at the settings' lower bound in each failure domain."""

import typing

from .. import _tables
from . import _entities
from . import _registry
from . import _rules


@_registry.FLEET_PLANNERS.register("fixed")
class FixedFleet:
    """Replaces what is missing from the lower bound; releases nothing."""

    reads: typing.ClassVar[tuple[type, ...]] = (
        _entities.FleetEndpoint,
        _entities.OutstandingOrder,
    )
    writes: typing.ClassVar[tuple[type, ...]] = (
        _entities.Purchase,
        _entities.Release,
    )

    def __init__(self, rules: _rules.FleetRules) -> None:
        self.rules = rules

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Order what is missing."""
        clear(tables)
        for service in self.rules.services:
            for domain in self.rules.failure_domains:
                held = count(tables, service, domain)
                missing = self.rules.fewest_per_domain - held
                order(tables, service, domain, missing)


def clear(tables: _tables.Tables) -> None:
    """Forget the decisions of the last run."""
    for kind in (_entities.Purchase, _entities.Release):
        table = tables.of(kind)
        for row in list(table):
            table.remove(row.key)


def count(tables: _tables.Tables, service: str, domain: str) -> int:
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


def order(
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

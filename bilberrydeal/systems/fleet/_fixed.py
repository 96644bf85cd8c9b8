"""Fleet planner that keeps the configured minimum of endpoints."""

import typing

from .. import _tables
from . import _entities
from . import _orders
from . import _registry
from . import _rules


@_registry.FLEET_PLANNERS.register("fixed")
class FixedFleet:
    """Orders endpoints up to the configured minimum and releases none."""

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
        """Order the missing endpoints."""
        _orders.clear_decisions(tables)
        counts = _orders.EndpointCounts(tables)
        for service in self.rules.services:
            for domain in self.rules.failure_domains:
                expected = counts.expected(service, domain)
                missing = self.rules.fewest_per_domain - expected
                _orders.purchase(tables, service, domain, missing)

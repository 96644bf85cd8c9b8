"""Keeps the fleet at the settings' lower bound in each failure domain."""

import typing

from .. import _tables
from . import _entities
from . import _orders
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
        _orders.clear(tables)
        census = _orders.Census(tables)
        for service in self.rules.services:
            for domain in self.rules.failure_domains:
                held = census.held(service, domain)
                missing = self.rules.fewest_per_domain - held
                _orders.purchase(tables, service, domain, missing)

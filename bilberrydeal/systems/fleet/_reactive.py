"""Fleet planner that follows the last load window without a reserve."""

import math
import typing

from .. import _tables
from . import _entities
from . import _orders
from . import _registry
from . import _rules
from . import _targets


@_registry.FLEET_PLANNERS.register("reactive")
class ReactiveFleet:
    """Orders and releases endpoints immediately to match the last window."""

    reads: typing.ClassVar[tuple[type, ...]] = (
        _entities.FleetEndpoint,
        _entities.OutstandingOrder,
        _entities.ServiceLoad,
    )
    writes: typing.ClassVar[tuple[type, ...]] = (
        _entities.Purchase,
        _entities.Release,
    )

    def __init__(self, rules: _rules.FleetRules) -> None:
        self.rules = rules

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Decide purchases and releases for each service."""
        _orders.clear_decisions(tables)
        counts = _orders.EndpointCounts(tables)
        for service in self.rules.services:
            load = tables.of(_entities.ServiceLoad).get(service)
            if load is not None and load.windows:
                busy = load.windows[-1].busy_endpoints
                self._decide(tables, counts, service, busy)

    def _decide(
        self,
        tables: _tables.Tables,
        counts: _orders.EndpointCounts,
        service: str,
        busy: float,
    ) -> None:
        count = math.ceil(busy / self.rules.busy_share)
        need = _targets.Need(normal=count, after_loss=0)
        expected = {
            domain: counts.expected(service, domain)
            for domain in self.rules.failure_domains
        }
        wanted = _targets.targets(need, expected, 0, self.rules)
        for domain, target in wanted.items():
            _orders.purchase(
                tables, service, domain, target - expected[domain]
            )
            remaining = [
                endpoint
                for endpoint in counts.remaining(service)
                if endpoint.failure_domain == domain
            ]
            for endpoint in remaining[target:]:
                _orders.release(tables, endpoint)

"""Follows the last window of load, without a reserve."""

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
    """Holds what the last window needed; orders and releases at once."""

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
        """Decide for each service."""
        _orders.clear(tables)
        census = _orders.Census(tables)
        for service in self.rules.services:
            load = tables.of(_entities.ServiceLoad).get(service)
            if load is not None and load.windows:
                busy = load.windows[-1].busy_endpoints
                self._decide(tables, census, service, busy)

    def _decide(
        self,
        tables: _tables.Tables,
        census: _orders.Census,
        service: str,
        busy: float,
    ) -> None:
        count = math.ceil(busy / self.rules.busy_share)
        need = _targets.Need(whole=count, lost=0)
        held = {
            domain: census.held(service, domain)
            for domain in self.rules.failure_domains
        }
        wanted = _targets.targets(need, held, 0, self.rules)
        for domain, target in wanted.items():
            _orders.purchase(tables, service, domain, target - held[domain])
            staying = [
                endpoint
                for endpoint in census.staying(service)
                if endpoint.failure_domain == domain
            ]
            for endpoint in staying[target:]:
                _orders.release(tables, endpoint)

"""Settles what each engine is to be: planner, assignments and versions."""

import collections.abc
import typing

import attrs

from .. import _tables
from . import _entities
from . import _plan
from . import _rules


class SettledOrders:
    """Turns decisions of three sources into one order for an engine.

    An engine that an operator assigned becomes what the assignment says,
    and the planner's order for it is dropped. A new version of a model is
    brought to its engines a few at a time, within the bounds that changes
    of role keep to: what may change at once, and the failure domains in
    which each phase stays live.

    Example::

        tables.of(ModelVersion).put(ModelVersion("assistant", "v2"))
        SettledOrders(RoleRules()).run(tables, now_s)
        [order.model_version for order in tables.of(EngineOrder)] == ["v2"]
    """

    reads: typing.ClassVar[tuple[type, ...]] = (
        _entities.Assignment,
        _entities.ModelVersion,
        _entities.RoleEndpoint,
        _entities.RoleOrder,
    )
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.EngineOrder,)

    def __init__(self, rules: _rules.RoleRules) -> None:
        self.rules = rules

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Replace the orders of the last run."""
        orders = tables.of(_entities.EngineOrder)
        orders.clear()
        for model, endpoints in _plan.by_model(tables).items():
            for order in self._orders(tables, model, endpoints):
                orders.put(order)

    def _orders(
        self,
        tables: _tables.Tables,
        model: str,
        endpoints: list[_entities.RoleEndpoint],
    ) -> collections.abc.Iterator[_entities.EngineOrder]:
        """Yield the orders that change an engine of one model."""
        released = tables.of(_entities.ModelVersion).get(model)
        version = released.version if released else ""
        after: list[_entities.RoleEndpoint] = []
        for endpoint in endpoints:
            wanted = _wanted(tables, endpoint, version)
            if wanted is None:
                after.append(endpoint)
                continue
            yield wanted
            after.append(attrs.evolve(endpoint, changing=True))
        if version:
            yield from self._released(after, version)

    def _released(
        self, endpoints: list[_entities.RoleEndpoint], version: str
    ) -> collections.abc.Iterator[_entities.EngineOrder]:
        """Yield orders that load a new version, as many as may change."""
        stale = [
            e
            for e in endpoints
            if not (e.assigned or e.changing) and e.model_version != version
        ]
        # Engines that serve nobody are changed first; they cost nothing.
        stale.sort(key=lambda e: (e.usable, e.key))
        chosen: list[_entities.RoleEndpoint] = []
        room = _plan.room(endpoints, self.rules)
        for endpoint in stale:
            if len(chosen) < room and self._may_go(endpoints, endpoint):
                chosen.append(endpoint)
                changing = attrs.evolve(endpoint, changing=True)
                endpoints[endpoints.index(endpoint)] = changing
        for endpoint in chosen:
            yield _order(endpoint, endpoint.role, version, endpoint.adapters)

    def _may_go(
        self,
        endpoints: list[_entities.RoleEndpoint],
        endpoint: _entities.RoleEndpoint,
    ) -> bool:
        """Return whether an engine may change and keep its role."""
        if not endpoint.usable:
            return True
        return _plan.stays_live(endpoints, endpoint, self.rules)


def _wanted(
    tables: _tables.Tables, endpoint: _entities.RoleEndpoint, version: str
) -> _entities.EngineOrder | None:
    """Return what an operator or the planner wants changed, if anything."""
    assigned = tables.of(_entities.Assignment).get(endpoint.key)
    if assigned is not None:
        wanted = _order(
            endpoint,
            assigned.role,
            assigned.model_version or version or endpoint.model_version,
            assigned.adapters,
        )
        return None if _is_so(endpoint, wanted) else wanted
    planned = tables.of(_entities.RoleOrder).get(endpoint.key)
    if planned is None:
        return None
    return _order(
        endpoint,
        planned.role,
        version or endpoint.model_version,
        endpoint.adapters,
    )


def _order(
    endpoint: _entities.RoleEndpoint,
    role: _entities.Role,
    version: str,
    adapters: tuple[str, ...],
) -> _entities.EngineOrder:
    return _entities.EngineOrder(
        endpoint.key, endpoint.model, role, version, adapters
    )


def _is_so(
    endpoint: _entities.RoleEndpoint, wanted: _entities.EngineOrder
) -> bool:
    found = (endpoint.role, endpoint.model_version, endpoint.adapters)
    return found == (wanted.role, wanted.model_version, wanted.adapters)

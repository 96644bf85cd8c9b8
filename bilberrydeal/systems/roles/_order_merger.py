"""Merges planner decisions, assignments and versions into engine orders."""

import collections.abc
import typing

import attrs

from .. import _tables
from . import _entities
from . import _plan
from . import _rules


class EngineOrderMerger:
    """Merges the decisions of three sources into one order per engine.

    The assignment of an operator overrides the order of the planner. A new
    version of a model is rolled out to a few engines at a time, within the
    limits for role changes: the number of concurrent changes and the failure
    domains in which each phase must stay live.

    Example::

        tables.of(ModelVersion).put(ModelVersion("assistant", "v2"))
        EngineOrderMerger(RoleRules()).run(tables, now_s)
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
        """Yield the orders for the engines of one model."""
        model_version = tables.of(_entities.ModelVersion).get(model)
        version = model_version.version if model_version else ""
        current: list[_entities.RoleEndpoint] = []
        for endpoint in endpoints:
            requested = _requested_order(tables, endpoint, version)
            if requested is None:
                current.append(endpoint)
                continue
            yield requested
            current.append(attrs.evolve(endpoint, changing=True))
        if version:
            yield from self._rollout_orders(current, version)

    def _rollout_orders(
        self, endpoints: list[_entities.RoleEndpoint], version: str
    ) -> collections.abc.Iterator[_entities.EngineOrder]:
        """Yield as many orders to load a new version as the limits allow."""
        stale = [
            e
            for e in endpoints
            if not (e.assigned or e.changing) and e.model_version != version
        ]
        # Unusable engines are changed first: this costs no capacity.
        stale.sort(key=lambda e: (e.usable, e.key))
        chosen: list[_entities.RoleEndpoint] = []
        available_changes = _plan.available_changes(endpoints, self.rules)
        for endpoint in stale:
            if len(chosen) < available_changes and self._may_restart(
                endpoints, endpoint
            ):
                chosen.append(endpoint)
                changing = attrs.evolve(endpoint, changing=True)
                endpoints[endpoints.index(endpoint)] = changing
        for endpoint in chosen:
            yield _order(endpoint, endpoint.role, version, endpoint.adapters)

    def _may_restart(
        self,
        endpoints: list[_entities.RoleEndpoint],
        endpoint: _entities.RoleEndpoint,
    ) -> bool:
        """Return whether an engine may restart without changing its role."""
        if not endpoint.usable:
            return True
        return _plan.restart_keeps_domains(endpoints, endpoint, self.rules)


def _requested_order(
    tables: _tables.Tables, endpoint: _entities.RoleEndpoint, version: str
) -> _entities.EngineOrder | None:
    """Return the order of an operator or the planner, if any.

    An assignment that is already applied needs no order.
    """
    assigned = tables.of(_entities.Assignment).get(endpoint.key)
    if assigned is not None:
        requested = _order(
            endpoint,
            assigned.role,
            assigned.model_version or version or endpoint.model_version,
            assigned.adapters,
        )
        return None if _is_applied(endpoint, requested) else requested
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


def _is_applied(
    endpoint: _entities.RoleEndpoint, requested: _entities.EngineOrder
) -> bool:
    found = (endpoint.role, endpoint.model_version, endpoint.adapters)
    return found == (
        requested.role,
        requested.model_version,
        requested.adapters,
    )

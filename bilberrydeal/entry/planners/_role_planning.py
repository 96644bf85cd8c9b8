"""Provides the role planner with its input."""

import collections.abc
import operator

import attrs

from ... import configuration
from ... import duties
from ... import membership
from ... import orders
from ... import ports
from ... import systems
from ...systems import roles
from . import _windows

#: An order not applied within this time no longer counts as a pending change:
#: the engine may have refused it.
ORDER_TIMEOUT_S = 120.0


@attrs.frozen
class _PendingOrder:
    """An order that its engine has not applied yet."""

    order_version: int
    #: When this process first saw it, monotonic.
    since_s: float


class RolePlanning:
    """Fills the role planner's tables and runs it."""

    def __init__(
        self,
        planner: str,
        tables: systems.Tables,
        windows: _windows.DemandWindows,
        directory: membership.MemberDirectory,
        views: systems.Table[systems.EndpointView],
        current: collections.abc.Callable[[], configuration.Configuration],
    ) -> None:
        rules = roles.RoleRules()
        self._planner = roles.ROLE_PLANNERS.get(planner)(rules)
        self._order_merger = roles.EngineOrderMerger(rules)
        self._tables = tables
        self._windows = windows
        self._directory = directory
        self._views = views
        self._current = current
        self._pending_orders: dict[str, _PendingOrder] = {}

    def decide(
        self, committed: duties.Orders, now_s: float
    ) -> list[duties.EngineTarget]:
        """Return the target role and model of each engine."""
        self._fill_roles(committed, now_s)
        self._planner.run(self._tables, now_s)
        self._order_merger.run(self._tables, now_s)
        return [
            duties.EngineTarget(
                endpoint_id=order.key,
                role=order.role,
                model=order.model,
                model_version=order.model_version,
                adapters=order.adapters,
            )
            for order in self._tables.of(roles.EngineOrder)
        ]

    def _fill_roles(self, committed: duties.Orders, now_s: float) -> None:
        """Update the role planner's tables."""
        self._fill_operator_tables()
        endpoints = self._tables.of(roles.RoleEndpoint)
        endpoints.clear()
        for agent in self._directory.agents():
            role = ports.role_or_none(agent.role)
            if role is not None:
                endpoints.put(
                    self._role_endpoint(agent, role, committed, now_s)
                )
        for model, windows in self._windows.by_service.items():
            self._tables.of(roles.ModelDemand).put(
                roles.ModelDemand(key=model, windows=tuple(windows))
            )
            self._tables.of(roles.ModelRates).put(self._windows.rates(model))

    def _fill_operator_tables(self) -> None:
        """Copy assignments and model versions from the configuration."""
        current = self._current()
        assignments = self._tables.of(roles.Assignment)
        assignments.clear()
        for row in current.assignments.values():
            assignments.put(
                roles.Assignment(row.name, row.role, row.version, row.adapters)
            )
        versions = self._tables.of(roles.ModelVersion)
        versions.clear()
        # If two models share a service, the one changed last wins.
        for model in sorted(
            current.models.values(), key=operator.attrgetter("revision")
        ):
            if model.version:
                versions.put(roles.ModelVersion(model.service, model.version))

    def _role_endpoint(
        self,
        agent: membership.AgentMember,
        role: ports.EngineRole,
        committed: duties.Orders,
        now_s: float,
    ) -> roles.RoleEndpoint:
        order = committed.get(agent.endpoint_id)
        changing = self._is_changing(agent, order, now_s)
        view = self._views.get(agent.endpoint_id)
        closed = systems.CircuitState.CLOSED
        return roles.RoleEndpoint(
            key=agent.endpoint_id,
            model=agent.service,
            failure_domain=agent.failure_domain,
            role=order.role if order is not None and changing else role,
            changing=changing,
            assigned=agent.endpoint_id in self._tables.of(roles.Assignment),
            model_version=order.model_version if order else "",
            adapters=order.adapters if order else (),
            usable=(
                agent.state is membership.MemberState.LIVE
                and (view is None or view.circuit is closed)
            ),
        )

    def _is_changing(
        self,
        agent: membership.AgentMember,
        order: orders.CommittedOrder | None,
        now_s: float,
    ) -> bool:
        """Return whether an order is pending and has not timed out."""
        if order is None or order.order_version <= agent.order_version:
            self._pending_orders.pop(agent.endpoint_id, None)
            return False
        pending = self._pending_orders.get(agent.endpoint_id)
        if pending is None or pending.order_version != order.order_version:
            pending = _PendingOrder(order.order_version, now_s)
            self._pending_orders[agent.endpoint_id] = pending
        return now_s - pending.since_s < ORDER_TIMEOUT_S

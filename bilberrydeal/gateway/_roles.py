"""Orders engines to change their roles, under a lease."""

import attrs

from .. import catalogue
from .. import leases
from .. import platform
from .. import ports
from .. import store
from .. import telemetry
from ..systems import placement
from . import _role_changes
from . import _cluster_state

LOG = telemetry.logger("roles")
#: An order is sent only while the lease lasts for longer, in seconds.
MIN_LEASE_LEFT_S = 1.8
#: Time beyond a role change after which an order counts as lost, in seconds.
ORDER_SLACK_S = 2.0
#: Longest time that an engine may take to finish what runs there, in seconds.
FINISHING_LIMIT_S = 20.0
#: Share of a service's engines that may be changing their roles at once.
MAX_CHANGING_SHARE = 0.25
#: Weight of one round in the average of the slots that are taken.
ROUND_WEIGHT = 0.1


@attrs.define
class _PendingOrder:
    """An order whose effect has not shown yet."""

    #: The role that was ordered.
    role: ports.EngineRole
    #: Whether the engine said that it took the order.
    accepted: bool
    #: When it counts as lost, by the store client's clock.
    expires_s: float
    #: When it counts as lost whatever runs there still.
    latest_expiry_s: float

    def extend(self, until_s: float) -> None:
        """Wait longer for an engine that took the order: it is not empty."""
        if self.accepted:
            expires_s = max(self.expires_s, until_s)
            self.expires_s = min(expires_s, self.latest_expiry_s)


@attrs.define
class _ServiceRoles:
    """What is known of one service's roles."""

    #: Orders by engine.
    changing: dict[str, _PendingOrder] = attrs.field(factory=dict)
    #: Requests at decode engines, averaged over some seconds.
    busy_slots: float = 0.0
    #: Time that what waits at reading engines takes, averaged, in seconds.
    reading_wait_s: float = 0.0
    #: Orders that were given to its engines.
    orders_given: int = 0
    #: Whether any request was seen.
    used: bool = False
    #: Role that the plan calls for more of, and since when.
    wanted_role: ports.EngineRole | None = None
    wanted_since_s: float = 0.0

    def average(
        self,
        decoders: list[placement.EngineLoad],
        prefillers: list[placement.EngineLoad],
    ) -> None:
        """Take what the engines have to do now into the averages."""
        busy = sum(load.urgent_requests for load in decoders)
        waits = [load.reading_wait_s for load in prefillers]
        wait_s = sum(waits) / len(waits) if waits else 0.0
        self.busy_slots += (busy - self.busy_slots) * ROUND_WEIGHT
        self.reading_wait_s += (wait_s - self.reading_wait_s) * ROUND_WEIGHT

    def wanted_long_enough(
        self, order: placement.RoleOrder | None, now_s: float
    ) -> bool:
        """Return whether an order was called for long enough."""
        role = order.role if order is not None else None
        if role is not self.wanted_role:
            self.wanted_role = role
            self.wanted_since_s = now_s
        return (
            order is not None
            and now_s - self.wanted_since_s >= order.patience_s
        )


class RoleController:
    """Brings the roles of each service's engines to the plan.

    Every gateway watches, so that one that takes the lease knows how long a
    change has been called for; only the holder gives orders.
    """

    def __init__(
        self,
        client: store.StoreClient,
        cluster: _cluster_state.ClusterState,
        lease: leases.Lease,
        host_id: str,
        changing: _role_changes.RoleChangeBroadcast,
        plan: placement.Plan,
    ) -> None:
        self._changing = changing
        self._plan = plan
        self._client = client
        self._cluster = cluster
        self._lease = lease
        self._host_id = host_id
        self._engines = platform.EngineApi()
        self._services: dict[str, _ServiceRoles] = {}

    async def run_once(self) -> None:
        """Look at each service and give the orders that are due."""
        configuration = self._cluster.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                await self._adjust_service(service, service.engine)

    async def _adjust_service(
        self, service: catalogue.Service, limits: catalogue.EngineLimits
    ) -> None:
        state = self._services.setdefault(service.name, _ServiceRoles())
        now_s = self._client.now_s()
        bound_s = limits.role_switch_s + ORDER_SLACK_S
        self._observe(service.name, state, now_s, bound_s)
        self._changing.announce(
            [
                engine_id
                for engine_id, pending in state.changing.items()
                if pending.accepted
            ]
        )
        while True:
            order = self._plan(
                self._with_pending_roles(service.name, state),
                self._demand(service.name, state),
            )
            if not state.wanted_long_enough(order, now_s) or order is None:
                return
            if not self._may_order(service.name, state, now_s):
                return
            pending = _PendingOrder(
                order.role,
                accepted=False,
                expires_s=now_s + bound_s,
                latest_expiry_s=now_s + FINISHING_LIMIT_S,
            )
            state.changing[order.engine_id] = pending
            state.orders_given += 1
            pending.accepted = await self._send_order(order)
            if pending.accepted:
                self._changing.announce([order.engine_id])

    def _observe(
        self,
        service: str,
        state: _ServiceRoles,
        now_s: float,
        bound_s: float,
    ) -> None:
        """Note what the engines do, and which orders have shown."""
        loads = self._loads(service)
        state.average(
            decoders=[load for load in loads if not load.reads_only],
            prefillers=[load for load in loads if load.reads_only],
        )
        state.used = state.used or any(load.requests for load in loads)
        by_id = {load.engine_id: load for load in loads}
        for engine_id, order in list(state.changing.items()):
            load = by_id.get(engine_id)
            shown = load is None or load.role is order.role
            if load is not None and load.requests:
                order.extend(now_s + bound_s)
            if shown or now_s >= order.expires_s:
                del state.changing[engine_id]

    def _loads(self, service: str) -> list[placement.EngineLoad]:
        return [
            upstream.load
            for upstream in self._cluster.of_service(service)
            if upstream.load is not None and upstream.endpoint.ready
        ]

    def _with_pending_roles(
        self, service: str, state: _ServiceRoles
    ) -> list[placement.EngineLoad]:
        """Return the engines as if orders under way had shown."""
        return [
            attrs.evolve(load, role=state.changing[load.engine_id].role)
            if load.engine_id in state.changing
            else load
            for load in self._loads(service)
        ]

    def _demand(
        self, service: str, state: _ServiceRoles
    ) -> placement.RoleDemand:
        leaves = any(
            upstream.load is not None
            and not upstream.endpoint.ready
            and not upstream.load.reads_only
            for upstream in self._cluster.of_service(service)
        )
        return placement.RoleDemand(
            busy_slots=state.busy_slots,
            reading_wait_s=state.reading_wait_s,
            decoder_leaves=leaves,
            idle=not state.used,
            orders_given=state.orders_given,
        )

    def _may_order(
        self, service: str, state: _ServiceRoles, now_s: float
    ) -> bool:
        if self._lease.time_left_s(now_s) < MIN_LEASE_LEFT_S:
            return False
        if not state.used:
            return True
        limit = max(int(len(self._loads(service)) * MAX_CHANGING_SHARE), 1)
        return len(state.changing) < limit

    async def _send_order(self, order: placement.RoleOrder) -> bool:
        """Give an order; return whether the engine said that it took it."""
        upstream = self._cluster.endpoints[order.engine_id]
        taken = await self._engines.orders_taken(upstream.pool)
        now_s = self._client.now_s()
        if taken is None:
            LOG.warning("Engine gave no report.", endpoint=order.engine_id)
            return False
        if self._lease.time_left_s(now_s) < MIN_LEASE_LEFT_S:
            return False
        fence = self._lease.fence(now_s)
        accepted = await self._engines.order_stage(
            upstream.pool,
            upstream.endpoint,
            order.role,
            self._host_id,
            fence,
            taken,
        )
        LOG.info(
            "Role ordered.",
            endpoint=order.engine_id,
            stage=order.role,
            fence=fence,
            orders_before=taken,
            accepted=accepted,
        )
        return accepted

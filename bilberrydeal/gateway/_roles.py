"""Orders engines to change their roles, under a lease."""

import attrs

from .. import catalogue
from .. import leases
from .. import platform
from .. import ports
from .. import store
from .. import telemetry
from ..systems import placement
from . import _changing
from . import _knowledge

LOG = telemetry.logger("roles")
#: An order is sent only while the lease lasts for longer, in seconds.
LEASE_FLOOR_S = 1.8
#: Time beyond a role change after which an order counts as lost, in seconds.
ORDER_SLACK_S = 2.0
#: Longest time that an engine may take to finish what runs there, in seconds.
FINISHING_LIMIT_S = 20.0
#: Share of a service's engines that may be changing their roles at once.
CHANGING_SHARE = 0.25
#: Weight of one round in the average of the slots that are taken.
ROUND_WEIGHT = 0.1


@attrs.define
class _OrderGiven:
    """An order whose effect has not shown yet."""

    #: The role that was ordered.
    role: ports.EngineRole
    #: Whether the engine said that it took the order.
    accepted: bool
    #: When it counts as lost, by the store client's clock.
    lost_s: float
    #: When it counts as lost whatever runs there still.
    lost_latest_s: float

    def extend(self, until_s: float) -> None:
        """Wait longer for an engine that took the order: it is not empty."""
        if self.accepted:
            lost_s = max(self.lost_s, until_s)
            self.lost_s = min(lost_s, self.lost_latest_s)


@attrs.define
class _ServiceRoles:
    """What is known of one service's roles."""

    #: Orders by engine.
    changing: dict[str, _OrderGiven] = attrs.field(factory=dict)
    #: Requests at decode engines, averaged over some seconds.
    busy_slots: float = 0.0
    #: Time that what waits at reading engines takes, averaged, in seconds.
    reading_wait_s: float = 0.0
    #: Orders that were given to its engines.
    orders_given: int = 0
    #: Whether any request was seen.
    used: bool = False
    #: Role that the plan calls for more of, and since when.
    called_for: ports.EngineRole | None = None
    called_since_s: float = 0.0

    def average(
        self,
        makers: list[placement.EngineLoad],
        readers: list[placement.EngineLoad],
    ) -> None:
        """Take what the engines have to do now into the averages."""
        busy = sum(load.urgent_requests for load in makers)
        waits = [load.reading_wait_s for load in readers]
        wait_s = sum(waits) / len(waits) if waits else 0.0
        self.busy_slots += (busy - self.busy_slots) * ROUND_WEIGHT
        self.reading_wait_s += (wait_s - self.reading_wait_s) * ROUND_WEIGHT

    def patience_passed(
        self, order: placement.RoleOrder | None, now_s: float
    ) -> bool:
        """Return whether an order was called for long enough."""
        role = order.role if order is not None else None
        if role is not self.called_for:
            self.called_for = role
            self.called_since_s = now_s
        return (
            order is not None
            and now_s - self.called_since_s >= order.patience_s
        )


class RoleKeeper:
    """Brings the roles of each service's engines to the plan.

    Every gateway watches, so that one that takes the lease knows how long a
    change has been called for; only the holder gives orders.
    """

    def __init__(
        self,
        client: store.StoreClient,
        knowledge: _knowledge.Knowledge,
        lease: leases.Lease,
        host_id: str,
        changing: _changing.ChangingEngines,
        plan: placement.Plan,
    ) -> None:
        self._changing = changing
        self._plan = plan
        self._client = client
        self._knowledge = knowledge
        self._lease = lease
        self._host_id = host_id
        self._engines = platform.EngineApi()
        self._services: dict[str, _ServiceRoles] = {}

    async def round(self) -> None:
        """Look at each service and give the orders that are due."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                await self._round(service, service.engine)

    async def _round(
        self, service: catalogue.Service, limits: catalogue.EngineLimits
    ) -> None:
        state = self._services.setdefault(service.name, _ServiceRoles())
        now_s = self._client.now_s()
        bound_s = limits.role_switch_s + ORDER_SLACK_S
        self._observe(service.name, state, now_s, bound_s)
        self._changing.tell(
            [
                engine_id
                for engine_id, given in state.changing.items()
                if given.accepted
            ]
        )
        while True:
            order = self._plan(
                self._as_ordered(service.name, state),
                self._demand(service.name, state),
            )
            if not state.patience_passed(order, now_s) or order is None:
                return
            if not self._may_order(service.name, state, now_s):
                return
            given = _OrderGiven(
                order.role,
                accepted=False,
                lost_s=now_s + bound_s,
                lost_latest_s=now_s + FINISHING_LIMIT_S,
            )
            state.changing[order.engine_id] = given
            state.orders_given += 1
            given.accepted = await self._give(order)
            if given.accepted:
                self._changing.tell([order.engine_id])

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
            makers=[load for load in loads if not load.reads_only],
            readers=[load for load in loads if load.reads_only],
        )
        state.used = state.used or any(load.requests for load in loads)
        by_id = {load.engine_id: load for load in loads}
        for engine_id, order in list(state.changing.items()):
            load = by_id.get(engine_id)
            shown = load is None or load.role is order.role
            if load is not None and load.requests:
                order.extend(now_s + bound_s)
            if shown or now_s >= order.lost_s:
                del state.changing[engine_id]

    def _loads(self, service: str) -> list[placement.EngineLoad]:
        return [
            known.load
            for known in self._knowledge.of_service(service)
            if known.load is not None and known.endpoint.ready
        ]

    def _as_ordered(
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
            known.load is not None
            and not known.endpoint.ready
            and not known.load.reads_only
            for known in self._knowledge.of_service(service)
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
        if self._lease.time_left_s(now_s) < LEASE_FLOOR_S:
            return False
        if not state.used:
            return True
        limit = max(int(len(self._loads(service)) * CHANGING_SHARE), 1)
        return len(state.changing) < limit

    async def _give(self, order: placement.RoleOrder) -> bool:
        """Give an order; return whether the engine said that it took it."""
        known = self._knowledge.endpoints[order.engine_id]
        taken = await self._engines.orders_taken(known.pool)
        now_s = self._client.now_s()
        if taken is None:
            LOG.warning("Engine gave no report.", endpoint=order.engine_id)
            return False
        if self._lease.time_left_s(now_s) < LEASE_FLOOR_S:
            return False
        fence = self._lease.fence(now_s)
        accepted = await self._engines.order_stage(
            known.pool,
            known.endpoint,
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

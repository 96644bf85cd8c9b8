"""Orders engines to change their roles, while holding the lease."""

import asyncio
import collections
import collections.abc
import time

import attrs

from ... import catalogue
from ... import leases
from ... import platform
from ... import ports
from ... import store
from ... import telemetry
from ...systems import placement
from .. import cluster_state
from .. import peer_exchange

LOG = telemetry.logger("roles")
#: An order is sent only with more time left on the lease, in seconds.
MIN_LEASE_LEFT_S = 1.8
#: Interval at which an urgent order looks whether the lease was renewed, in
#: seconds, and how often it does so.
RENEWAL_CHECK_S = 0.02
RENEWAL_CHECKS = 60
#: Added to the time of a role change before an order expires, in seconds.
ORDER_SLACK_S = 2.0
#: Longest time that an engine may take to finish its requests, in seconds.
FINISHING_LIMIT_S = 20.0
#: Share of a service's engines that may be changing their roles at once.
MAX_CHANGING_SHARE = 0.25
#: Weight of one sample in the moving averages of the load.
SAMPLE_WEIGHT = 0.1


Clock = collections.abc.Callable[[], float]


@attrs.define
class _PendingOrder:
    """An order whose effect has not been observed yet."""

    #: The ordered role.
    role: ports.EngineRole
    #: Whether the engine accepted the order.
    accepted: bool
    #: When it expires, by the store client's clock.
    expires_s: float
    #: Latest expiry, whatever the engine is still running.
    latest_expiry_s: float

    def extend(self, until_s: float) -> None:
        """Postpone the expiry of an accepted order on a busy engine."""
        if self.accepted:
            expires_s = max(self.expires_s, until_s)
            self.expires_s = min(expires_s, self.latest_expiry_s)


@attrs.define
class _ServiceRoles:
    """State of one service's roles."""

    #: Pending orders by engine.
    pending: dict[str, _PendingOrder] = attrs.field(factory=dict)
    #: Requests at decode engines, averaged over some seconds.
    busy_slots: float = 0.0
    #: Time to clear the queues of prefill engines, averaged, in seconds.
    prefill_wait_s: float = 0.0
    #: Learned need of engines for decoding and for prefill.
    needs: placement.RoleNeeds = attrs.field(factory=placement.RoleNeeds)
    #: Orders issued to its engines so far.
    order_count: int = 0
    #: Whether any request has been seen.
    used: bool = False
    #: Role of the order that the plan wants, and since when.
    wanted_role: ports.EngineRole | None = None
    wanted_since_s: float = 0.0
    #: When an engine of each software version decoded last, by the store
    #: client's clock, while requests were seen.
    decoded_s: dict[str, float] = attrs.field(factory=dict)
    #: Decode engines that are lost though their entries have not lapsed.
    lost: frozenset[str] = frozenset()

    def average(
        self,
        decode_engines: list[placement.EngineLoad],
        prefill_engines: list[placement.EngineLoad],
    ) -> None:
        """Update the averages with the present load of the engines."""
        busy = sum(load.urgent_requests for load in decode_engines)
        waits = [load.prefill_wait_s for load in prefill_engines]
        wait_s = sum(waits) / len(waits) if waits else 0.0
        self.busy_slots += (busy - self.busy_slots) * SAMPLE_WEIGHT
        self.prefill_wait_s += (wait_s - self.prefill_wait_s) * SAMPLE_WEIGHT

    def note_decoding(
        self,
        versions: collections.abc.Iterable[str],
        now_s: float,
        lifetime_s: float,
    ) -> None:
        """Record the software versions at which streams may run now."""
        if self.used:
            self.decoded_s.update(dict.fromkeys(versions, now_s))
        for version, last_s in list(self.decoded_s.items()):
            if now_s - last_s > lifetime_s:
                del self.decoded_s[version]

    def wanted_long_enough(
        self, order: placement.RoleOrder | None, now_s: float
    ) -> bool:
        """Return whether the plan has wanted an order for long enough."""
        role = order.role if order is not None else None
        if role is not self.wanted_role:
            self.wanted_role = role
            self.wanted_since_s = now_s
        return (
            order is not None
            and now_s - self.wanted_since_s >= order.debounce_s
        )


class RoleController:
    """Changes the roles of each service's engines according to the plan.

    Every gateway evaluates the plan, so that one that acquires the lease knows
    how long a change has been wanted; only the lease holder sends orders.
    """

    def __init__(
        self,
        client: store.StoreClient,
        cluster: cluster_state.ClusterState,
        lease: leases.Lease,
        host_id: str,
        role_changes: peer_exchange.RoleChangeBroadcast,
        plan: placement.Plan,
        steady_s: Clock = time.monotonic,
    ) -> None:
        #: Clock of the endpoints' pauses, which is not the store client's.
        self._steady_s = steady_s
        self._role_changes = role_changes
        self._plan = plan
        self._client = client
        self._cluster = cluster
        self._lease = lease
        self._host_id = host_id
        self._engines = platform.EngineApi()
        self._lost_engines = cluster_state.LostEngines(cluster, steady_s)
        self._services: dict[str, _ServiceRoles] = {}

    async def run_once(self) -> None:
        """Evaluate the plan for each service and send the orders due."""
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
        timeout_s = limits.role_switch_s + ORDER_SLACK_S
        await self._find_lost(service.name, state, now_s)
        self._observe(service.name, state, now_s, timeout_s)
        self._role_changes.announce(
            [
                engine_id
                for engine_id, pending in state.pending.items()
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
            if order.urgent:
                await self._await_renewal()
            if not self._may_order(service.name, state, order):
                return
            pending = _PendingOrder(
                order.role,
                accepted=False,
                expires_s=now_s + timeout_s,
                latest_expiry_s=now_s + FINISHING_LIMIT_S,
            )
            state.pending[order.engine_id] = pending
            state.order_count += 1
            pending.accepted = await self._send_order(order)
            if pending.accepted:
                self._role_changes.announce([order.engine_id])

    def _observe(
        self,
        service: str,
        state: _ServiceRoles,
        now_s: float,
        timeout_s: float,
    ) -> None:
        """Update the averages and drop completed or expired orders."""
        loads = self._loads(service, state)
        state.average(
            decode_engines=[load for load in loads if not load.prefill_only],
            prefill_engines=[load for load in loads if load.prefill_only],
        )
        state.needs.observe(loads, now_s)
        state.used = state.used or any(load.requests for load in loads)
        state.note_decoding(
            self._decoding_versions(service),
            now_s,
            self._cluster.stream_lifetime_s,
        )
        by_id = {load.engine_id: load for load in loads}
        for engine_id, order in list(state.pending.items()):
            load = by_id.get(engine_id)
            observed = load is None or load.role is order.role
            if load is not None and load.requests:
                order.extend(now_s + timeout_s)
            if observed or now_s >= order.expires_s:
                del state.pending[engine_id]

    def _loads(
        self, service: str, state: _ServiceRoles
    ) -> list[placement.EngineLoad]:
        return [
            upstream.load
            for upstream in self._cluster.of_service(service)
            if upstream.load is not None
            and upstream.endpoint.ready
            and upstream.endpoint.endpoint_id not in state.lost
        ]

    async def _find_lost(
        self, service: str, state: _ServiceRoles, now_s: float
    ) -> None:
        """Find out which versions lost their only decode engine.

        Its entry lapses only after some heartbeats, and the streams of its
        version go on nowhere meanwhile. Only the lease holder asks.
        """
        if not self._lease.is_held(now_s):
            state.lost = frozenset()
            return
        lost = set()
        for upstream in self._lone_decode_engines(service):
            if await self._lost_engines.is_lost(upstream):
                lost.add(upstream.endpoint.endpoint_id)
        for endpoint_id in sorted(lost - state.lost):
            LOG.info("Decode engine lost.", endpoint=endpoint_id)
        state.lost = frozenset(lost)

    def _lone_decode_engines(
        self, service: str
    ) -> list[cluster_state.Upstream]:
        """Return the only decode engines of versions that have others."""
        serving: collections.Counter[str] = collections.Counter()
        decoding: dict[str, list[cluster_state.Upstream]] = {}
        for upstream in self._cluster.of_service(service):
            if upstream.load is None or not upstream.endpoint.ready:
                continue
            version = upstream.endpoint.software_version
            serving[version] += 1
            if upstream.decodes:
                decoding.setdefault(version, []).append(upstream)
        return [
            found[0]
            for version, found in decoding.items()
            if len(found) == 1 < serving[version]
        ]

    def _decoding_versions(self, service: str) -> set[str]:
        """Return the software versions of engines that may run streams.

        Engines that leave, or that are not sent new ones, finish theirs.
        """
        avoided = self._cluster.avoided_versions(service, self._steady_s())
        return {
            upstream.endpoint.software_version
            for upstream in self._cluster.of_service(service)
            if upstream.load is not None
            and not upstream.load.prefill_only
            and (
                upstream.load.requests
                or upstream.endpoint.software_version not in avoided
            )
        }

    def _with_pending_roles(
        self, service: str, state: _ServiceRoles
    ) -> list[placement.EngineLoad]:
        """Return the engines as if pending orders had taken effect."""
        return [
            attrs.evolve(load, role=state.pending[load.engine_id].role)
            if load.engine_id in state.pending
            else load
            for load in self._loads(service, state)
        ]

    def _demand(
        self, service: str, state: _ServiceRoles
    ) -> placement.RoleDemand:
        decode_engine_leaving = any(
            upstream.load is not None
            and not upstream.endpoint.ready
            and not upstream.load.prefill_only
            for upstream in self._cluster.of_service(service)
        )
        return placement.RoleDemand(
            busy_slots=state.busy_slots,
            prefill_wait_s=state.prefill_wait_s,
            decode_engine_leaving=decode_engine_leaving,
            decode_engine_lost=bool(state.lost),
            idle=not state.used,
            order_count=state.order_count,
            need=state.needs.learned,
            changing=len(state.pending),
            stream_versions=frozenset(state.decoded_s),
        )

    async def _await_renewal(self) -> None:
        """Wait until the lease that is held has been renewed, if it must."""
        for _ in range(RENEWAL_CHECKS):
            left_s = self._lease.remaining_s(self._client.now_s())
            if not 0.0 < left_s < MIN_LEASE_LEFT_S:
                return
            await asyncio.sleep(RENEWAL_CHECK_S)

    def _may_order(
        self,
        service: str,
        state: _ServiceRoles,
        order: placement.RoleOrder,
    ) -> bool:
        now_s = self._client.now_s()
        if self._lease.remaining_s(now_s) < MIN_LEASE_LEFT_S:
            return False
        if order.urgent or not state.used:
            return True
        count = len(self._loads(service, state))
        limit = max(int(count * MAX_CHANGING_SHARE), 1)
        return len(state.pending) < limit

    def _accepts_orders(self, upstream: cluster_state.Upstream) -> bool:
        """Return whether an engine may be sent a call now."""
        reason = None
        if not upstream.endpoint.ready:
            reason = "the engine leaves"
        elif upstream.pause.left_s(self._steady_s()):
            reason = "the engine has asked for a pause"
        elif not upstream.limit.share.take(self._steady_s()):
            reason = "the engine's limit is used up"
        if reason is not None:
            LOG.info(
                "Role not ordered.",
                endpoint=upstream.endpoint.endpoint_id,
                reason=reason,
            )
        return reason is None

    async def _send_order(self, order: placement.RoleOrder) -> bool:
        """Send an order; return whether the engine accepted it."""
        upstream = self._cluster.endpoints[order.engine_id]
        if not self._accepts_orders(upstream):
            return False
        on_signals = self._cluster.signals_recorder(upstream, self._steady_s)
        accepted_order_count = await self._engines.accepted_order_count(
            upstream.pool, on_signals
        )
        now_s = self._client.now_s()
        if accepted_order_count is None:
            LOG.warning("Engine report unavailable.", endpoint=order.engine_id)
            return False
        if not self._accepts_orders(upstream):
            return False
        if self._lease.remaining_s(now_s) < MIN_LEASE_LEFT_S:
            return False
        fence = self._lease.fence(now_s)
        accepted = await self._engines.order_role(
            upstream.pool,
            upstream.endpoint,
            order.role,
            self._host_id,
            fence,
            accepted_order_count,
            on_signals,
        )
        need = self._services[upstream.endpoint.service].needs.learned
        LOG.info(
            "Role ordered.",
            endpoint=order.engine_id,
            stage=order.role,
            fence=fence,
            orders_before=accepted_order_count,
            accepted=accepted,
            decode_engines_needed=need and round(need.decode_engines, 1),
            prefill_engines_needed=need and round(need.prefill_engines, 1),
        )
        return accepted

"""Orders engines to change their roles, under a lease."""

import attrs

from .. import catalogue
from .. import leases
from .. import platform
from .. import store
from .. import telemetry
from ..systems import placement
from . import _knowledge

LOG = telemetry.logger("roles")
#: An order is sent only while the lease lasts for longer, in seconds.
LEASE_FLOOR_S = 1.8
#: Time beyond a role change after which an order counts as lost, in seconds.
ORDER_SLACK_S = 2.0


@attrs.frozen
class _Outstanding:
    """An order whose effect has not shown yet."""

    order: placement.RoleOrder
    until_s: float


class RoleKeeper:
    """Brings the roles of each service's engines to the plan."""

    def __init__(
        self,
        client: store.StoreClient,
        knowledge: _knowledge.Knowledge,
        lease: leases.Lease,
        host_id: str,
    ) -> None:
        self._client = client
        self._knowledge = knowledge
        self._lease = lease
        self._host_id = host_id
        self._engines = platform.EngineApi()
        self._outstanding: dict[str, _Outstanding] = {}
        self._seen: dict[str, frozenset[str]] = {}
        self._stable_since_s: dict[str, float] = {}

    async def round(self) -> None:
        """Give at most one order for each service."""
        now_s = self._client.now_s()
        if self._lease.time_left_s(now_s) < LEASE_FLOOR_S:
            self._seen.clear()
            return
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.engine is not None:
                await self._round(service, service.engine, now_s)

    async def _round(
        self,
        service: catalogue.Service,
        limits: catalogue.EngineLimits,
        now_s: float,
    ) -> None:
        engines = [
            known.load
            for known in self._knowledge.of_service(service.name)
            if known.load is not None and known.endpoint.ready
        ]
        stable_s = self._stable_s(service.name, engines, now_s)
        if self._waits(service.name, engines, now_s):
            return
        order = placement.plan_roles(engines)
        if order is None or stable_s < order.patience_s:
            return
        bound_s = limits.role_switch_s + ORDER_SLACK_S
        self._outstanding[service.name] = _Outstanding(order, now_s + bound_s)
        await self._give(order)

    def _stable_s(
        self,
        service: str,
        engines: list[placement.EngineLoad],
        now_s: float,
    ) -> float:
        """Return for how long the engines have been the same."""
        present = frozenset(engine.engine_id for engine in engines)
        if self._seen.get(service) != present:
            self._seen[service] = present
            self._stable_since_s[service] = now_s
        return now_s - self._stable_since_s[service]

    def _waits(
        self,
        service: str,
        engines: list[placement.EngineLoad],
        now_s: float,
    ) -> bool:
        """Return whether an earlier order may still take effect."""
        waiting = self._outstanding.get(service)
        if waiting is None:
            return False
        done = any(
            engine.engine_id == waiting.order.engine_id
            and engine.role is waiting.order.role
            for engine in engines
        )
        if done or now_s >= waiting.until_s:
            del self._outstanding[service]
            return False
        return True

    async def _give(self, order: placement.RoleOrder) -> None:
        known = self._knowledge.endpoints[order.engine_id]
        taken = await self._engines.orders_taken(known.pool)
        now_s = self._client.now_s()
        if taken is None:
            LOG.warning("Engine gave no report.", endpoint=order.engine_id)
            return
        if self._lease.time_left_s(now_s) < LEASE_FLOOR_S:
            return
        accepted = await self._engines.order_stage(
            known.pool,
            known.endpoint,
            order.role,
            self._host_id,
            self._lease.fence(now_s),
            taken,
        )
        LOG.info(
            "Role ordered.",
            endpoint=order.engine_id,
            stage=order.role,
            fence=self._lease.fence(now_s),
            orders_before=taken,
            accepted=accepted,
        )

"""Reconciles the engine with its committed order."""

import asyncio
import collections.abc
import time

from .. import errors
from .. import orders
from .. import ports
from .. import store
from .. import telemetry

LOG = telemetry.logger("orders")

#: Timeout of a change of model or role.
APPLY_TIMEOUT_S = 300.0
#: Timeout of any other call to the engine.
STATE_TIMEOUT_S = 2.0
#: Poll interval while the engine is changing or not responding.
STATE_POLL_S = 0.2
#: Longest time that an order can be in transit. Orders left by a crashed
#: predecessor or a broken call have arrived by then or never will.
MAX_ORDER_DELAY_S = 2.0
#: Delay before a retry when the weight store is unavailable.
WEIGHTS_RETRY_S = 1.0

Drain = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class OrderReconciler:
    """Applies the latest committed order, one at a time.

    Only the table and the engine are authoritative: a hint merely makes it
    read the row sooner. Before a change it stops accepting requests and waits
    for accepted ones to end. If a change fails, it waits until the engine
    reports a stable state and continues from there.
    """

    def __init__(
        self,
        endpoint_id: str,
        engine: ports.Engine,
        weights: ports.WeightStore,
        client: store.StoreClient,
        poll_s: float,
        drain: Drain,
        on_readiness_change: collections.abc.Callable[[], None],
        max_order_delay_s: float = MAX_ORDER_DELAY_S,
    ) -> None:
        self._key = orders.order_key(endpoint_id)
        self._engine = engine
        self._weights = weights
        self._client = client
        self._poll_s = poll_s
        self._drain = drain
        self._on_readiness_change = on_readiness_change
        self._max_order_delay_s = max_order_delay_s
        self._orders_settled_at_s = time.monotonic() + max_order_delay_s
        self._wake = asyncio.Event()
        self._state_unknown = True
        self._changing = False
        self._admitted_version = 0
        self._refused_version = 0
        #: The last state that the engine reported.
        self.state: ports.EngineState | None = None

    @property
    def ready(self) -> bool:
        """Whether the engine can accept new requests."""
        return not self._state_unknown and not self._changing

    @property
    def order_version(self) -> int:
        """Version of the last order that the engine has applied."""
        return self.state.order_version if self.state else 0

    def order_announced(self, order_version: int) -> None:
        """Read the row soon if ``order_version`` is newer."""
        if order_version > self.order_version:
            self._wake.set()

    def mark_state_unknown(self) -> None:
        """Accept no requests until the engine has reported its state."""
        if not self._changing and not self._state_unknown:
            self._update(state_unknown=True)
            self._wake.set()

    async def run(self) -> None:
        """Apply orders as they are committed; never returns."""
        while True:
            await self._refresh_state()
            await self._reconcile()
            try:
                async with asyncio.timeout(self._poll_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _refresh_state(self) -> None:
        """Detect state changes that this agent did not order.

        An engine that does not check fencing numbers can be reverted to an
        old order by a late order of a crashed predecessor.
        """
        if not self._state_unknown:
            try:
                self.state = await self._engine.state(STATE_TIMEOUT_S)
            except ports.EngineFailure:
                # Callers that send it requests will detect and report it.
                return
            self._update(state_unknown=self.state.changing)
        if self._state_unknown:
            await self._wait_until_stable()

    async def _reconcile(self) -> None:
        """Apply orders until the engine matches the latest one."""
        try:
            order = await self._read_order()
            while order is not None and self._is_pending(order):
                order = await self._try_order(order)
        finally:
            self._update(changing=False)

    async def _try_order(
        self, order: orders.CommittedOrder
    ) -> orders.CommittedOrder | None:
        """Try once to apply an order; return the latest order afterwards."""
        if await self._acquire_download_slot(order):
            self._update(changing=True)
            await self._drain()
            latest = await self._read_order()
            if latest == order:
                await self._apply(order)
        return await self._read_order()

    def _is_pending(self, order: orders.CommittedOrder) -> bool:
        finished = max(self.order_version, self._refused_version)
        return order.order_version > finished

    async def _read_order(self) -> orders.CommittedOrder | None:
        """Return the committed order; ``None`` if there is none readable."""
        try:
            row = await self._client.read_one(self._key)
            return orders.decode_order(row) if row else None
        except errors.StoreUnavailable:
            return None
        except store.RowInvalid as error:
            LOG.error("Order row invalid.", reason=error.reason)
            return None

    async def _acquire_download_slot(
        self, order: orders.CommittedOrder
    ) -> bool:
        """Acquire a weight store slot if the order needs a download."""
        if (
            self._admitted_version == order.order_version
            or not self._needs_download(order)
        ):
            return True
        try:
            await self._weights.admit(
                order.model, order.model_version, self._client.call_timeout_s
            )
        except ports.WeightsBusy as error:
            await asyncio.sleep(error.retry_after_s)
            return False
        except (errors.StoreUnavailable, errors.OutcomeUnknown):
            await asyncio.sleep(WEIGHTS_RETRY_S)
            return False
        self._admitted_version = order.order_version
        return True

    def _needs_download(self, order: orders.CommittedOrder) -> bool:
        state = self.state
        return state is None or (
            (order.model, order.model_version, order.adapters)
            != (state.model, state.model_version, state.adapters)
        )

    async def _apply(self, order: orders.CommittedOrder) -> None:
        """Send the order once and wait for its result."""
        await asyncio.sleep(self._orders_settled_at_s - time.monotonic())
        await self._wait_until_stable()
        if not self._is_pending(order):
            return
        LOG.info("Applying order.", order_version=order.order_version)
        orders_taken = self.state.orders_taken if self.state else 0
        refused = False
        try:
            self.state = await self._engine.apply(
                order.to_engine_order(orders_taken), APPLY_TIMEOUT_S
            )
        except ports.OrderRefused:
            LOG.warning(
                "Engine refused the order.", order_version=order.order_version
            )
            refused = True
        except ports.EngineFailure as error:
            LOG.warning(
                "Order interrupted.", order_version=order.order_version
            )
            if error.started:
                self._orders_settled_at_s = (
                    time.monotonic() + self._max_order_delay_s
                )
        state = await self._wait_until_stable()
        if refused and state.orders_taken == orders_taken:
            # No other order intervened, so the fencing number is stale.
            self._refused_version = order.order_version
        LOG.info("Engine stable.", order_version=self.order_version)

    async def _wait_until_stable(self) -> ports.EngineState:
        """Return the engine's state once it is known and not changing."""
        while True:
            try:
                state = await self._engine.state(STATE_TIMEOUT_S)
            except ports.EngineFailure:
                self._update(state_unknown=True)
            else:
                self.state = state
                if not state.changing:
                    break
            await asyncio.sleep(STATE_POLL_S)
        self._update(state_unknown=False)
        return state

    def _update(
        self, changing: bool | None = None, state_unknown: bool | None = None
    ) -> None:
        before = self.ready
        if changing is not None:
            self._changing = changing
        if state_unknown is not None:
            self._state_unknown = state_unknown
        if self.ready != before:
            self._on_readiness_change()

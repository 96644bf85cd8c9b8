"""Keeps the engine what its committed order says."""

import asyncio
import collections.abc
import time

from .. import errors
from .. import orders
from .. import ports
from .. import store
from .. import telemetry

LOG = telemetry.logger("orders")

#: Longest wait for a change of model or role.
APPLY_TIMEOUT_S = 300.0
#: Longest wait for any other call of the engine.
STATE_TIMEOUT_S = 2.0
#: Time between two looks at an engine that changes or does not answer.
STATE_POLL_S = 0.2
#: An order that a dead predecessor or a broken call may have left on its
#: way has arrived, or never will, after this time.
QUIET_S = 2.0
#: Pause when the weight store cannot be asked.
WEIGHTS_PAUSE_S = 1.0

Drain = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class OrderKeeper:
    """Applies the newest committed order, one at a time.

    It believes only the table and the engine: a hint makes it read the row
    sooner and says nothing else. Before a change it stops new work and lets
    what was accepted end. After a failure in a change it waits until the
    engine says what it is, and goes on from there.
    """

    def __init__(
        self,
        endpoint_id: str,
        engine: ports.Engine,
        weights: ports.WeightStore,
        client: store.StoreClient,
        poll_s: float,
        drain: Drain,
        changed: collections.abc.Callable[[], None],
        quiet_s: float = QUIET_S,
    ) -> None:
        self._key = orders.order_key(endpoint_id)
        self._engine = engine
        self._weights = weights
        self._client = client
        self._poll_s = poll_s
        self._drain = drain
        self._changed = changed
        self._quiet_s = quiet_s
        self._quiet_until_s = time.monotonic() + quiet_s
        self._wake = asyncio.Event()
        self._doubt = True
        self._changing = False
        self._admitted = 0
        self._refused = 0
        #: What the engine was when it last said so.
        self.state: ports.EngineState | None = None

    @property
    def ready(self) -> bool:
        """Whether the engine can take new work."""
        return not self._doubt and not self._changing

    @property
    def order_version(self) -> int:
        """Version of the last order that the engine finished."""
        return self.state.order_version if self.state else 0

    def hint(self, order_version: int) -> None:
        """Look at the row soon if it may be newer."""
        if order_version > self.order_version:
            self._wake.set()

    def suspect(self) -> None:
        """Take no work until the engine has said again what it is."""
        if not self._changing and not self._doubt:
            self._set(doubt=True)
            self._wake.set()

    async def run(self) -> None:
        """Follow the row; never ends."""
        while True:
            await self._look()
            await self._catch_up()
            try:
                async with asyncio.timeout(self._poll_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _look(self) -> None:
        """Notice what became of the engine without this agent.

        An order of a dead predecessor may arrive late, at an engine that
        does not check fencing numbers, and take it back to an old order.
        """
        if not self._doubt:
            try:
                self.state = await self._engine.state(STATE_TIMEOUT_S)
            except ports.EngineFailure:
                # Whoever hands it work finds out and says so.
                return
            self._set(doubt=self.state.changing)
        if self._doubt:
            await self._learn()

    async def _catch_up(self) -> None:
        """Carry out orders until the engine is what the newest says."""
        try:
            order = await self._newest()
            while order is not None and self._due(order):
                order = await self._approach(order)
        finally:
            self._set(changing=False)

    async def _approach(
        self, order: orders.CommittedOrder
    ) -> orders.CommittedOrder | None:
        """Do what can be done for an order; return the newest after it."""
        if await self._admit(order):
            self._set(changing=True)
            await self._drain()
            newest = await self._newest()
            if newest == order:
                await self._carry_out(order)
        return await self._newest()

    def _due(self, order: orders.CommittedOrder) -> bool:
        done = max(self.order_version, self._refused)
        return order.order_version > done

    async def _newest(self) -> orders.CommittedOrder | None:
        """Return the committed order; ``None`` when there is none to see."""
        try:
            row = await self._client.read_one(self._key)
            return orders.decode_order(row) if row else None
        except errors.StoreUnavailable:
            return None
        except store.RowInvalid as error:
            LOG.error("Row is invalid.", reason=error.reason)
            return None

    async def _admit(self, order: orders.CommittedOrder) -> bool:
        """Take a slot of the weight store, if a download is needed."""
        if self._admitted == order.order_version or not self._loads(order):
            return True
        try:
            await self._weights.admit(
                order.model, order.model_version, self._client.call_timeout_s
            )
        except ports.WeightsBusy as error:
            await asyncio.sleep(error.retry_after_s)
            return False
        except (errors.StoreUnavailable, errors.OutcomeUnknown):
            await asyncio.sleep(WEIGHTS_PAUSE_S)
            return False
        self._admitted = order.order_version
        return True

    def _loads(self, order: orders.CommittedOrder) -> bool:
        state = self.state
        return state is None or (
            (order.model, order.model_version, order.adapters)
            != (state.model, state.model_version, state.adapters)
        )

    async def _carry_out(self, order: orders.CommittedOrder) -> None:
        """Give the order once and learn what became of it."""
        await asyncio.sleep(self._quiet_until_s - time.monotonic())
        await self._learn()
        if not self._due(order):
            return
        LOG.info("Order begins.", order_version=order.order_version)
        taken = self.state.orders_taken if self.state else 0
        overtaken = False
        try:
            self.state = await self._engine.apply(
                order.for_engine(taken), APPLY_TIMEOUT_S
            )
        except ports.OrderRefused:
            LOG.warning("Refused.", order_version=order.order_version)
            overtaken = True
        except ports.EngineFailure as error:
            LOG.warning("Broken off.", order_version=order.order_version)
            if error.started:
                self._quiet_until_s = time.monotonic() + self._quiet_s
        state = await self._learn()
        if overtaken and state.orders_taken == taken:
            # No other order came between: it is the fencing number.
            self._refused = order.order_version
        LOG.info("Engine is stable.", order_version=self.order_version)

    async def _learn(self) -> ports.EngineState:
        """Return what the engine is, once it says so and is not changing."""
        while True:
            try:
                state = await self._engine.state(STATE_TIMEOUT_S)
            except ports.EngineFailure:
                self._set(doubt=True)
            else:
                self.state = state
                if not state.changing:
                    break
            await asyncio.sleep(STATE_POLL_S)
        self._set(doubt=False)
        return state

    def _set(
        self, changing: bool | None = None, doubt: bool | None = None
    ) -> None:
        before = self.ready
        if changing is not None:
            self._changing = changing
        if doubt is not None:
            self._doubt = doubt
        if self.ready != before:
            self._changed()

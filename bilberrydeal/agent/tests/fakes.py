"""Fake port implementations that tests control."""

import asyncio
import collections.abc

import attrs

from bilberrydeal import ports


def _new_set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


#: Duration of a change after a crash; exceeds ``max_order_delay_s`` of tests.
CRASHED_CHANGE_S = 0.3


@attrs.define
class FakeEngine:
    """Engine that generates ``tokens`` and fails as configured."""

    tokens: tuple[str, ...] = ("a", "b", "c", "d")
    #: Tokens after which each further stream breaks; one item per stream.
    breaks: list[int] = attrs.field(factory=list)
    #: Number of next streams that fail as not admitted.
    not_admitted: int = 0
    #: Generations do not finish while it is clear.
    released: asyncio.Event = attrs.field(factory=asyncio.Event)
    generated: list[ports.EngineRequest] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    #: Resumed generations, each with the tokens to skip.
    resumed: list[tuple[str, int]] = attrs.field(factory=list)
    #: Calls of ``cancel`` block while it is clear.
    cancel_released: asyncio.Event = attrs.field(factory=_new_set_event)
    import_fails: bool = False
    #: State that the engine reports.
    engine_state: ports.EngineState = ports.EngineState(
        order_version=1,
        role=ports.EngineRole.BOTH,
        model="m",
        model_version="",
    )
    #: Outcomes of successive ``apply`` calls; later calls succeed.
    outcomes: list[str] = attrs.field(factory=list)
    applied: list[ports.EngineOrder] = attrs.field(factory=list)
    #: Orders received while another change was in progress.
    overlaps: int = 0
    unavailable: bool = False
    #: Generations that ``running`` reports.
    running_ids: tuple[str, ...] = ()
    #: Whether the next ``resume`` finds its generation unknown.
    forgets_generations: bool = False
    #: Number of calls of ``state``.
    state_calls: int = 0
    events: list[ports.CacheEvents] = attrs.field(factory=list)

    def generate(
        self, request: ports.EngineRequest, timeout_s: float
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        """Run a generation and yield its events."""
        self.generated.append(request)
        return self._stream(0)

    def resume(
        self, request_id: str, after_tokens: int, timeout_s: float
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        """Yield the events past some tokens."""
        self.resumed.append((request_id, after_tokens))
        if self.forgets_generations:
            self.not_admitted = 1
            self.forgets_generations = False
        return self._stream(after_tokens, request_id in self.cancelled)

    async def _stream(
        self, first: int, cancelled: bool = False
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        if self.not_admitted:
            self.not_admitted -= 1
            raise ports.EngineFailure(operation="generate", started=False)
        end = self.breaks.pop(0) if self.breaks else len(self.tokens)
        for token in self.tokens[first:end]:
            yield ports.EngineEvent(text=token, output_tokens=1)
        if end < len(self.tokens):
            raise ports.EngineFailure(operation="generate", started=True)
        if not cancelled:
            await self.released.wait()
        yield ports.EngineEvent(
            text="",
            output_tokens=0,
            finish_reason="cancelled" if cancelled else "stop",
            prompt_tokens=7,
            cached_tokens=3,
        )

    async def cancel(self, request_id: str, timeout_s: float) -> None:
        """Record the cancellation of a generation."""
        await self.cancel_released.wait()
        self.cancelled.append(request_id)

    async def running(self, timeout_s: float) -> tuple[str, ...]:
        """Return ``running_ids``."""
        self._raise_if_unavailable("running")
        return self.running_ids

    async def load(self, timeout_s: float) -> ports.LoadReport:
        """Return a load report."""
        self._raise_if_unavailable("load")
        return ports.LoadReport(0.0, 0, 0, 0, 0.5)

    async def cache_events(
        self, after: int, timeout_s: float
    ) -> ports.CacheEvents:
        """Return the next batch of events."""
        if self.events:
            return self.events.pop(0)
        return ports.CacheEvents(after + 1, after + 1, ())

    async def state(self, timeout_s: float) -> ports.EngineState:
        """Return ``engine_state``."""
        self.state_calls += 1
        self._raise_if_unavailable("state")
        return self.engine_state

    async def apply(
        self, order: ports.EngineOrder, timeout_s: float
    ) -> ports.EngineState:
        """Produce the next of ``outcomes``."""
        self.applied.append(order)
        self.overlaps += self.engine_state.changing
        outcome = self.outcomes.pop(0) if self.outcomes else "done"
        if outcome == "overtaken":
            self.engine_state = attrs.evolve(
                self.engine_state, orders_taken=len(self.applied)
            )
            outcome = "refused"
        if outcome == "refused":
            raise ports.OrderRefused(order_version=order.order_version)
        if outcome in ("crash", "lost"):
            await self._crash(order if outcome == "lost" else None)
        self._set_state(order)
        return self.engine_state

    async def _crash(self, order: ports.EngineOrder | None) -> None:
        """Fail the call; end the change later, with or without the order."""
        self.engine_state = attrs.evolve(self.engine_state, changing=True)
        asyncio.get_running_loop().call_later(
            CRASHED_CHANGE_S, self._set_state, order or self.engine_state
        )
        raise ports.EngineFailure(operation="apply", started=True)

    def _set_state(
        self, source: ports.EngineOrder | ports.EngineState
    ) -> None:
        self.engine_state = ports.EngineState(
            order_version=source.order_version,
            role=source.role,
            model=source.model,
            model_version=source.model_version,
            adapters=source.adapters,
            orders_taken=len(self.applied),
        )

    async def export_kv(self, request_id: str, timeout_s: float) -> str:
        """Return a handle."""
        return f"kv/{request_id}"

    async def import_kv(self, handle: str, timeout_s: float) -> None:
        """Fail if ``import_fails`` is set."""
        if self.import_fails:
            raise ports.EngineFailure(operation="import", started=False)

    def _raise_if_unavailable(self, operation: str) -> None:
        if self.unavailable:
            raise ports.EngineFailure(operation=operation, started=False)


@attrs.define
class FakePlain:
    """Plain service that responds once ``released`` is set."""

    failure: ports.PlainFailure | None = None
    released: asyncio.Event = attrs.field(factory=asyncio.Event)
    calls: list[ports.PlainRequest] = attrs.field(factory=list)

    async def call(
        self, request: ports.PlainRequest, timeout_s: float
    ) -> ports.PlainResponse:
        """Record one call and respond."""
        self.calls.append(request)
        if self.failure is not None:
            raise self.failure
        await self.released.wait()
        return ports.PlainResponse(201, "text/plain", b"receipt")


@attrs.define
class FakeWeights:
    """Weight store that is busy for the first ``busy`` calls."""

    busy: int = 0
    admitted: list[str] = attrs.field(factory=list)

    async def admit(self, model: str, version: str, timeout_s: float) -> None:
        """Grant a download slot unless busy."""
        if self.busy:
            self.busy -= 1
            raise ports.WeightsBusy(retry_after_s=0.01)
        self.admitted.append(model)

"""Fakes of the ports, small and under the test's control."""

import asyncio
import collections.abc

import attrs

from bilberrydeal import ports


def _set() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


#: How long a broken change goes on; longer than the keeper's pause.
CRASH_S = 0.3


@attrs.define
class FakeEngine:
    """Generates ``words``; breaks where the test says."""

    words: tuple[str, ...] = ("a", "b", "c", "d")
    #: Tokens after which each further stream breaks; one entry a stream.
    breaks: list[int] = attrs.field(factory=list)
    #: Raised by the next calls of ``generate``.
    not_admitted: int = 0
    #: Never ends a generation while it is clear.
    flowing: asyncio.Event = attrs.field(factory=asyncio.Event)
    generated: list[ports.EngineRequest] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    #: Generations resumed, and past how many tokens.
    resumed: list[tuple[str, int]] = attrs.field(factory=list)
    #: Holds up calls of ``cancel`` while it is clear.
    cancelling: asyncio.Event = attrs.field(factory=_set)
    import_fails: bool = False
    #: What the engine is.
    engine_state: ports.EngineState = ports.EngineState(
        order_version=1,
        role=ports.EngineRole.BOTH,
        model="m",
        model_version="",
    )
    #: What the calls of ``apply`` do, one after another; then they succeed.
    outcomes: list[str] = attrs.field(factory=list)
    applied: list[ports.EngineOrder] = attrs.field(factory=list)
    overlaps: int = 0
    down: bool = False
    #: Generations that have not ended.
    unended: tuple[str, ...] = ()
    #: Whether it knows no generation to resume.
    forgetful: bool = False
    #: Calls of ``state``.
    asked: int = 0
    events: list[ports.CacheEvents] = attrs.field(factory=list)

    def generate(
        self, request: ports.EngineRequest, timeout_s: float
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        """Run a generation."""
        self.generated.append(request)
        return self._stream(0)

    def resume(
        self, request_id: str, after_tokens: int, timeout_s: float
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        """Go on past some tokens."""
        self.resumed.append((request_id, after_tokens))
        if self.forgetful:
            self.not_admitted = 1
            self.forgetful = False
        return self._stream(after_tokens, request_id in self.cancelled)

    async def _stream(
        self, first: int, cancelled: bool = False
    ) -> collections.abc.AsyncIterator[ports.EngineEvent]:
        if self.not_admitted:
            self.not_admitted -= 1
            raise ports.EngineFailure(operation="generate", started=False)
        end = self.breaks.pop(0) if self.breaks else len(self.words)
        for word in self.words[first:end]:
            yield ports.EngineEvent(text=word, output_tokens=1)
        if end < len(self.words):
            raise ports.EngineFailure(operation="generate", started=True)
        if not cancelled:
            await self.flowing.wait()
        yield ports.EngineEvent(
            text="",
            output_tokens=0,
            finish_reason="cancelled" if cancelled else "stop",
            prompt_tokens=7,
            cached_tokens=3,
        )

    async def cancel(self, request_id: str, timeout_s: float) -> None:
        """End a generation."""
        await self.cancelling.wait()
        self.cancelled.append(request_id)

    async def running(self, timeout_s: float) -> tuple[str, ...]:
        """Return what the test says."""
        self._check("running")
        return self.unended

    async def load(self, timeout_s: float) -> ports.LoadReport:
        """Return a report."""
        self._check("load")
        return ports.LoadReport(0.0, 0, 0, 0, 0.5)

    async def cache_events(
        self, after: int, timeout_s: float
    ) -> ports.CacheEvents:
        """Return the next batch."""
        if self.events:
            return self.events.pop(0)
        return ports.CacheEvents(after + 1, after + 1, ())

    async def state(self, timeout_s: float) -> ports.EngineState:
        """Return what the engine is."""
        self.asked += 1
        self._check("state")
        return self.engine_state

    async def apply(
        self, order: ports.EngineOrder, timeout_s: float
    ) -> ports.EngineState:
        """Do what ``outcomes`` says next."""
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
        self._become(order)
        return self.engine_state

    async def _crash(self, order: ports.EngineOrder | None) -> None:
        """Change while nobody listens, then be as before or as ordered."""
        self.engine_state = attrs.evolve(self.engine_state, changing=True)
        asyncio.get_running_loop().call_later(
            CRASH_S, self._become, order or self.engine_state
        )
        raise ports.EngineFailure(operation="apply", started=True)

    def _become(self, given: ports.EngineOrder | ports.EngineState) -> None:
        self.engine_state = ports.EngineState(
            order_version=given.order_version,
            role=given.role,
            model=given.model,
            model_version=given.model_version,
            adapters=given.adapters,
            orders_taken=len(self.applied),
        )

    async def export_kv(self, request_id: str, timeout_s: float) -> str:
        """Return a handle."""
        return f"kv/{request_id}"

    async def import_kv(self, handle: str, timeout_s: float) -> None:
        """Succeed or fail as told."""
        if self.import_fails:
            raise ports.EngineFailure(operation="import", started=False)

    def _check(self, operation: str) -> None:
        if self.down:
            raise ports.EngineFailure(operation=operation, started=False)


@attrs.define
class FakePlain:
    """Answers when the test lets it."""

    failure: ports.PlainFailure | None = None
    flowing: asyncio.Event = attrs.field(factory=asyncio.Event)
    calls: list[ports.PlainRequest] = attrs.field(factory=list)

    async def call(
        self, request: ports.PlainRequest, timeout_s: float
    ) -> ports.PlainResponse:
        """Make one call."""
        self.calls.append(request)
        if self.failure is not None:
            raise self.failure
        await self.flowing.wait()
        return ports.PlainResponse(201, "text/plain", b"receipt")


@attrs.define
class FakeWeights:
    """Is busy as often as told."""

    busy: int = 0
    admitted: list[str] = attrs.field(factory=list)

    async def admit(self, model: str, version: str, timeout_s: float) -> None:
        """Take a slot."""
        if self.busy:
            self.busy -= 1
            raise ports.WeightsBusy(retry_after_s=0.01)
        self.admitted.append(model)

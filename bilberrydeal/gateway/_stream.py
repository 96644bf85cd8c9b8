"""Serves streams from engines."""

import asyncio
import collections.abc
import contextlib

import attrs

from .. import errors
from .. import http1
from .. import platform
from ..systems import placement
from . import _events
from . import _knowledge
from . import _repeating
from . import _sending
from . import _uplink
from . import _usage
from . import _work

#: A stream that can go on elsewhere does so after such a pause, in seconds.
STALL_S = 0.7
#: Times the expected reading time after which an engine counts as silent.
SILENT_FACTOR = 4.0
#: Time that is added to it, in seconds.
SILENT_SLACK_S = 0.5
#: Engines that one request may find unreachable.
TRIED_LIMIT = 4
#: Largest answer to the reading of a prompt, in bytes.
HANDLE_LIMIT_BYTES = 65_536
#: Largest answer of an engine that failed, in bytes.
FAILURE_LIMIT_BYTES = 1_048_576
#: Stands for a prompt that the caller did not describe.
_NO_PROMPT = placement.Prompt((placement.PromptPart(b"", 1),), 1)

Clock = collections.abc.Callable[[], float]


@attrs.define
class _Stream:
    """The answer that a caller gets, whoever makes its parts."""

    work: _work.Work
    journey: _work.Journey
    responder: http1.Responder
    cutter: _events.EventCutter


@attrs.frozen
class _Source:
    """Where an engine finds a prompt that another one read."""

    known: _knowledge.Known
    handle: str

    @property
    def text(self) -> str:
        """Return it as the engine is told."""
        return f"{self.known.endpoint.address}/{self.handle}"


class StreamServer:
    """Places prompts, hands them over and passes events on."""

    def __init__(
        self,
        knowledge: _knowledge.Knowledge,
        sender: _sending.Sender,
        repeater: _repeating.Repeater,
        begun: _usage.BegunCounter,
        placer: placement.Placer,
        uplink: _uplink.Uplink,
        failure_domain: str,
        clock: Clock,
    ) -> None:
        self._knowledge = knowledge
        self._sender = sender
        self._repeater = repeater
        self._begun = begun
        self._placer = placer
        self._uplink = uplink
        self._failure_domain = failure_domain
        self._clock = clock
        self._engines = platform.EngineApi()
        self._background: set[asyncio.Task[bool]] = set()

    async def serve(
        self,
        work: _work.Work,
        journey: _work.Journey,
        responder: http1.Responder,
    ) -> None:
        """Answer a request; raises ``Refusal``."""
        stream = _Stream(
            work, journey, responder, _events.EventCutter(work.last_event)
        )
        while True:
            try:
                await self._try(stream)
                return
            except _sending.NotOffered as error:
                reason = f"not offered, {error}"
                if len(journey.tried) < TRIED_LIMIT:
                    continue
            except _sending.Rejected as error:
                journey.attempts += 1
                reason = f"rejected, {error}"
            except _sending.Lost as error:
                journey.attempts += 1
                reason = f"lost, {error}"
                if journey.may_have_run and not work.route.idempotent:
                    raise _work.failed(journey, reason) from error
            stream.cutter.restart()
            if not self._repeater.granted(work, journey, reason):
                raise _work.failed(journey, reason)

    async def _try(self, stream: _Stream) -> None:
        """Serve a stream, or what is left of it, by one placement."""
        work = stream.work
        now_s = self._clock()
        request = placement.Request(
            prompt=work.prompt or _NO_PROMPT,
            target_s=self._target_s(stream, now_s),
            left_s=work.deadline_s - now_s,
            failure_domain=self._failure_domain,
            tried=frozenset(stream.journey.tried),
            uplink_s=self._uplink.wait_s(work.rank)
            + self._uplink.transfer_s(len(work.request.body)),
            rank=work.rank,
            begun=stream.journey.may_have_run,
        )
        engines = self._engines_for(stream, now_s)
        placed = self._placer.place(request, engines, now_s)
        if isinstance(placed, placement.Hopeless):
            raise self._hopeless(stream, placed)
        known = self._knowledge.endpoints[placed.engine_id]
        if not placed.split:
            await self._generate(stream, known, placed, None)
            return
        source = await self._read_prompt(stream, known, placed)
        await self._hand_over(stream, request, placed, source)

    def _target_s(self, stream: _Stream, now_s: float) -> float:
        """Return when the first event is due; a begun stream just goes on."""
        if stream.responder.started:
            return stream.work.deadline_s - now_s
        waited_s = now_s - stream.work.request.began_s
        return stream.work.route.target_latency_s - waited_s

    def _hopeless(
        self, stream: _Stream, placed: placement.Hopeless
    ) -> errors.Refusal:
        if stream.journey.may_have_run:
            return _work.failed(stream.journey, "no engine can go on")
        left_s = stream.work.deadline_s - self._clock()
        return _work.not_run(
            errors.ErrorCode.DEADLINE_HOPELESS,
            f"first token expected in {placed.expected_s:.2f} s,"
            f" {left_s:.2f} s left",
            placed.retry_after_s,
        )

    async def _read_prompt(
        self,
        stream: _Stream,
        known: _knowledge.Known,
        placed: placement.Placement,
    ) -> _Source:
        """Have a prompt read; return where it lies."""
        work = stream.work
        fields = attrs.evolve(
            self._fields(stream, known, placed), prefill=True
        )
        silent_s = placed.expected_s * SILENT_FACTOR + SILENT_SLACK_S
        with _under_way(stream, known, placed):
            async with self._sender.exchange(
                work,
                stream.journey,
                known,
                fields,
                min(fields.left_s, silent_s),
                placed,
            ) as exchange:
                body = await exchange.connection.body(HANDLE_LIMIT_BYTES)
        handle = self._engines.handle(body)
        if handle is None:
            raise _sending.Lost("no handle in the answer")
        if not placed.deferred and known.load is not None:
            known.load.learn(placed.read_s, self._clock() - exchange.sent_s)
        self._knowledge.observe(known, True, self._clock())
        return _Source(known, handle)

    async def _hand_over(
        self,
        stream: _Stream,
        request: placement.Request,
        placed: placement.Placement,
        source: _Source,
    ) -> None:
        """Have the tokens made where the prompt is fetched to."""
        taken = False
        try:
            engines = self._engines_for(stream, self._clock())
            engine_id = self._placer.decode_engine(
                request, source.known.endpoint.endpoint_id, engines
            )
            if engine_id is None:
                raise _sending.Rejected("no decode engine")
            known = self._knowledge.endpoints[engine_id]
            await self._generate(
                stream,
                known,
                attrs.evolve(placed, missing_tokens=0.0),
                source,
            )
            taken = True
        except _sending.Lost:
            taken = True
            raise
        finally:
            if not taken:
                self._free(source)

    async def _generate(
        self,
        stream: _Stream,
        known: _knowledge.Known,
        placed: placement.Placement,
        source: _Source | None,
    ) -> None:
        """Pass on the events that an engine makes."""
        work = stream.work
        fields = attrs.evolve(
            self._fields(stream, known, placed),
            kv_source=source.text if source else "",
            last_event=stream.cutter.last_id,
        )
        with _under_way(stream, known, placed) as reading:
            async with self._sender.exchange(
                work,
                stream.journey,
                known,
                fields,
                self._patience_s(stream, placed),
                placed,
            ) as exchange:
                if exchange.verdict is platform.Verdict.FAILURE:
                    await self._pass_failure(stream, known, exchange)
                    return
                await self._pass_events(stream, known, exchange, reading)

    async def _pass_events(
        self,
        stream: _Stream,
        known: _knowledge.Known,
        exchange: _sending.Exchange,
        reading: "_Reading",
    ) -> None:
        cutter = stream.cutter
        responder = stream.responder
        if not responder.started:
            responder.start(
                exchange.head.status,
                platform.passed_on(exchange.head),
                None,
            )
        first_s: float | None = None
        while True:
            data = await self._next_chunk(stream, exchange)
            if not data:
                break
            if first_s is None:
                first_s = self._clock()
                _note_first(stream, first_s)
                reading.done()
                self._begun.count_once(stream.work, stream.journey)
            if whole := cutter.feed(data):
                await responder.write_chunk(whole)
        if cutter.incomplete:
            self._knowledge.observe(known, False, self._clock())
            raise _sending.Lost("ended within an event")
        self._knowledge.observe(known, True, self._clock())
        if known.load is not None and first_s is not None:
            held_s = self._clock() - first_s
            known.load.slot_times.learn(stream.work.rank, held_s)
        responder.end_chunks()

    async def _next_chunk(
        self, stream: _Stream, exchange: _sending.Exchange
    ) -> bytes:
        if not _repeatable(stream):
            return await exchange.connection.chunk()
        while True:
            try:
                async with asyncio.timeout(STALL_S):
                    return await exchange.connection.chunk()
            except TimeoutError as error:
                if self._could_repeat(stream):
                    raise _sending.Lost("no event in time") from error

    async def _pass_failure(
        self,
        stream: _Stream,
        known: _knowledge.Known,
        exchange: _sending.Exchange,
    ) -> None:
        body = await exchange.connection.body(FAILURE_LIMIT_BYTES)
        self._knowledge.observe(known, False, self._clock())
        if stream.responder.started or self._could_repeat(stream):
            raise _sending.Lost(f"status {exchange.head.status}")
        stream.responder.send(
            exchange.head.status, platform.passed_on(exchange.head), body
        )

    def _fields(
        self,
        stream: _Stream,
        known: _knowledge.Known,
        placed: placement.Placement,
    ) -> platform.SendFields:
        work = stream.work
        return platform.SendFields(
            endpoint_id=known.endpoint.endpoint_id,
            left_s=work.deadline_s - self._clock(),
            organisation=work.organisation_name,
            rank=placement.engine_rank(work.rank, placed.deferred),
        )

    def _patience_s(
        self, stream: _Stream, placed: placement.Placement
    ) -> float:
        """Return how long the head of an answer may take.

        An engine whose slots are taken is not stalled, and what is deferred
        waits there for all others.
        """
        left_s = stream.work.deadline_s - self._clock()
        if not self._could_repeat(stream):
            return left_s
        silent_s = placed.expected_s * SILENT_FACTOR
        return min(left_s, max(silent_s, STALL_S))

    def _could_repeat(self, stream: _Stream) -> bool:
        """Return whether another engine may get the request after this."""
        if not _repeatable(stream):
            return False
        return any(
            not engine.reads_only
            and engine.engine_id not in stream.journey.tried
            for engine in self._engines_for(stream, self._clock())
        )

    def _engines_for(
        self, stream: _Stream, now_s: float
    ) -> list[placement.EngineLoad]:
        """Return the engines to weigh for a request."""
        prompt = stream.work.prompt
        # What tells no parts is spread by its id.
        affinity = prompt.affinity if prompt else stream.work.request_id
        return self._knowledge.engines(stream.work.service, affinity, now_s)

    def _free(self, source: _Source) -> None:
        """Free a handle that is not taken, beside the request."""
        task = asyncio.get_running_loop().create_task(
            self._engines.free(source.known.pool, source.handle)
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _repeatable(stream: _Stream) -> bool:
    """Return whether the route allows one more send after this one."""
    route = stream.work.route
    attempts = stream.journey.attempts + 1
    return route.idempotent and attempts < route.attempts_limit


def _note_first(stream: _Stream, now_s: float) -> None:
    """Note when the first event of a send came."""
    after_s = now_s - stream.work.request.began_s
    stream.journey.steps[-1].first_ms = round(after_s * 1000, 1)


class _Reading:
    """Prompt tokens that an engine still has to read."""

    def __init__(
        self, load: placement.EngineLoad, tokens: float, deferred: bool
    ) -> None:
        self._load = load
        self._tokens = tokens
        self._deferred = deferred
        load.own.add(tokens, deferred)

    def done(self) -> None:
        """Note that the prompt was read, or will not be."""
        self._load.own.add(-self._tokens, self._deferred)
        self._tokens = 0.0


@contextlib.contextmanager
def _under_way(
    stream: _Stream, known: _knowledge.Known, placed: placement.Placement
) -> collections.abc.Iterator[_Reading]:
    """Count a request at an engine for as long as it is there."""
    load = known.load
    assert load is not None
    stream.journey.tried.append(known.endpoint.endpoint_id)
    load.note_prompt(stream.work.prompt or _NO_PROMPT)
    rank = placement.engine_rank(stream.work.rank, placed.deferred)
    load.own_counts.add(rank, 1)
    reading = _Reading(load, placed.missing_tokens, placed.deferred)
    try:
        yield reading
    finally:
        reading.done()
        load.own_counts.add(rank, -1)

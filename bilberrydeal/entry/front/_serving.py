"""Serves callers' requests: admission, dispatch, answer."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs
import msgspec
import sanic
from sanic import response

from ... import configuration
from ... import errors
from ... import link
from ... import telemetry
from .. import core
from . import _answers
from . import _http

LOG = telemetry.logger("serving")


@attrs.frozen
class ModelObject:
    """A model as ``/v1/models`` lists it."""

    id: str
    object: str = "model"
    owned_by: str = "bilberrydeal"


@attrs.frozen
class ModelList:
    """The body of ``/v1/models``."""

    data: list[ModelObject]
    object: str = "list"


@attrs.frozen
class Clocks:
    """Where the present time comes from."""

    #: Monotonic seconds.
    monotonic: collections.abc.Callable[[], float]
    #: Seconds since the epoch.
    wall: collections.abc.Callable[[], float]


class Serving:
    """Answers callers over HTTP."""

    def __init__(
        self,
        gate: core.Gate,
        dispatcher: core.Dispatcher,
        once: core.OnceRunner,
        current: collections.abc.Callable[[], configuration.Configuration],
        tracing: telemetry.Tracing,
        observer: "Observer",
        clocks: Clocks,
    ) -> None:
        self._gate = gate
        self._dispatcher = dispatcher
        self._once = once
        self._current = current
        self._tracing = tracing
        self._observer = observer
        self._clocks = clocks

    async def handle(
        self, request: sanic.Request
    ) -> response.HTTPResponse | None:
        """Serve any request that is not an operator's."""
        now_s = self._clocks.monotonic()
        caller = _http.caller_request(request, now_s)
        try:
            return await self._serve(request, caller)
        except errors.Refusal as refusal:
            self._observer.refused(refusal)
            raise
        finally:
            if self._gate.closing:
                _http.request_stream(request).keep_alive = False

    async def _serve(
        self, request: sanic.Request, caller: core.CallerRequest
    ) -> response.HTTPResponse | None:
        route = self._gate.route(caller)
        key = self._gate.identify(caller, route, self._clocks.monotonic())
        if caller.path == core.MODELS_PATH:
            return _http.json_answer(self._models())
        if route.service:
            return await self._plain(caller, route, key)
        if caller.path == core.CHAT_PATH:
            generation = core.decode_chat(caller.body)
        else:
            generation = core.decode_completion(caller.body)
        parent = caller.headers.get(core.TRACE_HEADER, "")
        with self._tracing.span("entry", parent) as span:
            admitted = self._gate.admit_generation(
                caller, route, key, generation, self._clocks.monotonic()
            )
            admitted.work = attrs.evolve(
                admitted.work, traceparent=span.traceparent
            )
            span.set_attribute("request", str(admitted.work.number))
            return await self._generate(request, admitted, generation)

    def _models(self) -> bytes:
        names = sorted(self._current().models)
        return msgspec.json.encode(
            ModelList([ModelObject(name) for name in names])
        )

    async def _plain(
        self,
        caller: core.CallerRequest,
        route: configuration.Route,
        key: configuration.KeyRecord | None,
    ) -> response.HTTPResponse:
        parent = caller.headers.get(core.TRACE_HEADER, "")
        with self._tracing.span("entry", parent) as span:
            admitted = self._gate.admit_plain(
                caller, route, key, self._clocks.monotonic()
            )
            admitted.work = attrs.evolve(
                admitted.work, traceparent=span.traceparent
            )
            span.set_attribute("request", str(admitted.work.number))
            end = await self._run_plain(admitted)
        self._observer.answered(admitted.work, end)
        return response.HTTPResponse(
            end.body, status=end.status, content_type=end.content_type or None
        )

    async def _run_plain(self, admitted: core.Admitted) -> link.Finished:
        """Run a call; one that is not idempotent outlives its caller."""
        work = admitted.work
        if work.idempotent:
            run = core.last_part(self._dispatcher.run(work))
            return await self._releasing(admitted, run)
        task = asyncio.create_task(
            self._releasing(admitted, self._once.run(work))
        )
        return await asyncio.shield(task)

    async def _releasing(
        self,
        admitted: core.Admitted,
        run: collections.abc.Awaitable[link.Finished],
    ) -> link.Finished:
        """Await an answer and release its request."""
        refusal = None
        try:
            return await run
        except errors.Refusal as error:
            refusal = error
            raise
        finally:
            self._release(admitted, admitted.tokens, refusal)

    async def _generate(
        self,
        request: sanic.Request,
        admitted: core.Admitted,
        generation: core.Generation,
    ) -> response.HTTPResponse | None:
        writer = _answers.Writer(
            generation,
            f"{'chatcmpl' if generation.chat else 'cmpl'}"
            f"-{admitted.work.number}",
            int(self._clocks.wall()),
        )
        used = _Used()
        events = used.count(self._dispatcher.run(admitted.work))
        try:
            async with contextlib.aclosing(events):
                if generation.stream:
                    await self._stream(request, admitted, writer, events)
                    return None
                text = await _whole_text(events)
            self._observer.answered(admitted.work, used.end)
            return _http.json_answer(writer.whole(text, used.end))
        except asyncio.CancelledError:
            raise self._revoked(admitted) from None
        finally:
            self._release(admitted, used.tokens, used.refusal)

    async def _stream(
        self,
        request: sanic.Request,
        admitted: core.Admitted,
        writer: _answers.Writer,
        events: collections.abc.AsyncGenerator[core.Part, None],
    ) -> None:
        """Send events; a stream that had begun ends with an error event."""
        # The status line waits for the first part, so that a refusal before
        # it has a status of its own.
        event = await anext(events)
        answer: typing.Any = await request.respond(
            content_type=_http.EVENT_STREAM,
            headers={
                "Cache-Control": "no-store",
                "X-Request-Id": str(admitted.work.number),
            },
        )
        try:
            while isinstance(event, link.Chunk):
                await answer.send(writer.event(event.text))
                event = await anext(events)
            end = typing.cast(link.Finished, event)
            await answer.send(writer.end(end))
            self._observer.answered(admitted.work, end)
        except errors.Refusal as refusal:
            self._observer.refused(refusal)
            await answer.send(_answers.error_event(refusal))
        except asyncio.CancelledError:
            revoked = self._revoked(admitted)
            self._observer.refused(revoked)
            await answer.send(_answers.error_event(revoked))
        await answer.eof()

    def _revoked(self, admitted: core.Admitted) -> errors.Refusal:
        """Return why a request was cancelled, or let the cancel go on."""
        task = asyncio.current_task()
        if not admitted.revoked or task is None:
            raise asyncio.CancelledError
        task.uncancel()
        return errors.Refusal(
            reason=errors.ErrorCode.KEY_WITHDRAWN,
            sentence="This key was withdrawn.",
            status=401,
            executed=errors.Executed.UNKNOWN,
        )

    def _release(
        self,
        admitted: core.Admitted,
        tokens: float,
        refusal: errors.Refusal | None,
    ) -> None:
        now_s = self._clocks.monotonic()
        self._gate.release(admitted, tokens, refusal, now_s)


class Observer(typing.Protocol):
    """Counts outcomes."""

    def answered(self, work: core.Work, end: link.Finished) -> None:
        """Note an answer that went out whole."""

    def refused(self, refusal: errors.Refusal) -> None:
        """Note a refusal."""


async def _whole_text(
    events: collections.abc.AsyncGenerator[core.Part, None],
) -> str:
    """Return the text of an answer, of the last try that it took."""
    text: list[str] = []
    async for event in events:
        if isinstance(event, core.Restarted):
            text.clear()
        elif isinstance(event, link.Chunk):
            text.append(event.text)
    return "".join(text)


class _Used:
    """Follows what one generation uses."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.refusal: errors.Refusal | None = None
        self.end = link.Finished(sequence=0, chunk=0, status=0)

    async def count(
        self, events: collections.abc.AsyncGenerator[core.Part, None]
    ) -> collections.abc.AsyncGenerator[core.Part, None]:
        async with contextlib.aclosing(events):
            try:
                async for event in events:
                    self._note(event)
                    yield event
            except errors.Refusal as refusal:
                self.refusal = refusal
                raise

    def _note(self, event: core.Part) -> None:
        if isinstance(event, link.Chunk):
            self.tokens += event.tokens
        elif isinstance(event, link.Finished):
            self.end = event
            self.tokens = float(
                event.prompt_tokens + event.cached_tokens + event.output_tokens
            )

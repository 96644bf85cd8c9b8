"""Handles callers' requests: admission, dispatch and response."""

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
from . import _http
from . import _responses

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
    """Sources of the current time."""

    #: Monotonic seconds.
    monotonic: collections.abc.Callable[[], float]
    #: Seconds since the epoch.
    wall_clock: collections.abc.Callable[[], float]


class CallerHandler:
    """Handles callers' HTTP requests."""

    def __init__(
        self,
        admitter: core.RequestAdmitter,
        dispatcher: core.Dispatcher,
        once: core.AtMostOnceRunner,
        current: collections.abc.Callable[[], configuration.Configuration],
        tracing: telemetry.Tracing,
        observer: "Observer",
        clocks: Clocks,
    ) -> None:
        self._request_admitter = admitter
        self._dispatcher = dispatcher
        self._at_most_once = once
        self._current = current
        self._tracing = tracing
        self._observer = observer
        self._clocks = clocks

    async def handle(
        self, request: sanic.Request
    ) -> response.HTTPResponse | None:
        """Handle any request that no operator or status route matches."""
        now_s = self._clocks.monotonic()
        caller = _http.caller_request(request, now_s)
        try:
            return await self._serve(request, caller)
        except errors.Refusal as refusal:
            self._observer.refused(refusal)
            raise
        finally:
            if self._request_admitter.closing:
                _http.request_stream(request).keep_alive = False

    async def _serve(
        self, request: sanic.Request, caller: core.CallerRequest
    ) -> response.HTTPResponse | None:
        route = self._request_admitter.find_route(caller)
        key = self._request_admitter.authenticate(
            caller, route, self._clocks.monotonic()
        )
        if caller.path == core.MODELS_PATH:
            return _http.json_response(self._list_models())
        if route.service:
            return await self._serve_plain(caller, route, key)
        if caller.path == core.CHAT_PATH:
            generation = core.decode_chat(caller.body)
        else:
            generation = core.decode_completion(caller.body)
        parent = caller.headers.get(core.TRACE_HEADER, "")
        with self._tracing.span("entry", parent) as span:
            admission = self._request_admitter.admit_generation(
                caller, route, key, generation, self._clocks.monotonic()
            )
            admission.request = attrs.evolve(
                admission.request, traceparent=span.traceparent
            )
            span.set_attribute("request", str(admission.request.number))
            return await self._generate(request, admission, generation)

    def _list_models(self) -> bytes:
        names = sorted(self._current().models)
        return msgspec.json.encode(
            ModelList([ModelObject(name) for name in names])
        )

    async def _serve_plain(
        self,
        caller: core.CallerRequest,
        route: configuration.Route,
        key: configuration.KeyRecord | None,
    ) -> response.HTTPResponse:
        parent = caller.headers.get(core.TRACE_HEADER, "")
        with self._tracing.span("entry", parent) as span:
            admission = self._request_admitter.admit_plain(
                caller, route, key, self._clocks.monotonic()
            )
            admission.request = attrs.evolve(
                admission.request, traceparent=span.traceparent
            )
            span.set_attribute("request", str(admission.request.number))
            end = await self._run_plain(admission)
        self._observer.answered(admission.request, end)
        return response.HTTPResponse(
            end.body, status=end.status, content_type=end.content_type or None
        )

    async def _run_plain(self, admission: core.Admission) -> link.Finished:
        """Run a call; one that is not idempotent continues if cancelled."""
        admitted_request = admission.request
        if admitted_request.idempotent:
            run = core.final_event(self._dispatcher.run(admitted_request))
            return await self._run_and_release(admission, run)
        task = asyncio.create_task(
            self._run_and_release(
                admission, self._at_most_once.run(admitted_request)
            )
        )
        return await asyncio.shield(task)

    async def _run_and_release(
        self,
        admission: core.Admission,
        run: collections.abc.Awaitable[link.Finished],
    ) -> link.Finished:
        """Await the answer and release the admission."""
        refusal = None
        try:
            return await run
        except errors.Refusal as error:
            refusal = error
            raise
        finally:
            self._release(admission, admission.tokens, refusal)

    async def _generate(
        self,
        request: sanic.Request,
        admission: core.Admission,
        generation: core.Generation,
    ) -> response.HTTPResponse | None:
        writer = _responses.ResponseWriter(
            generation,
            f"{'chatcmpl' if generation.chat else 'cmpl'}"
            f"-{admission.request.number}",
            int(self._clocks.wall_clock()),
        )
        usage = _UsageTracker()
        events = usage.track(self._dispatcher.run(admission.request))
        try:
            async with contextlib.aclosing(events):
                if generation.stream:
                    await self._stream(request, admission, writer, events)
                    return None
                text = await _collect_text(events)
            self._observer.answered(admission.request, usage.end)
            return _http.json_response(writer.full_response(text, usage.end))
        except asyncio.CancelledError:
            raise self._revocation(admission) from None
        finally:
            self._release(admission, usage.tokens, usage.refusal)

    async def _stream(
        self,
        request: sanic.Request,
        admission: core.Admission,
        writer: _responses.ResponseWriter,
        events: collections.abc.AsyncGenerator[core.ResponseEvent, None],
    ) -> None:
        """Stream the events; a later failure is sent as an error event."""
        # The status line is sent after the first event arrived, so that an
        # earlier refusal can set its own status.
        event = await anext(events)
        answer: typing.Any = await request.respond(
            content_type=_http.EVENT_STREAM,
            headers={
                "Cache-Control": "no-store",
                "X-Request-Id": str(admission.request.number),
            },
        )
        try:
            while isinstance(event, link.Chunk):
                await answer.send(writer.event(event.text))
                event = await anext(events)
            end = typing.cast(link.Finished, event)
            await answer.send(writer.end(end))
            self._observer.answered(admission.request, end)
        except errors.Refusal as refusal:
            self._observer.refused(refusal)
            await answer.send(_responses.error_event(refusal))
        except asyncio.CancelledError:
            revoked = self._revocation(admission)
            self._observer.refused(revoked)
            await answer.send(_responses.error_event(revoked))
        await answer.eof()

    def _revocation(self, admission: core.Admission) -> errors.Refusal:
        """Return the refusal of a revoked request.

        Any other cancellation is raised again.
        """
        task = asyncio.current_task()
        if not admission.revoked or task is None:
            raise asyncio.CancelledError
        task.uncancel()
        return errors.Refusal(
            reason=errors.ErrorCode.KEY_WITHDRAWN,
            message="This key was withdrawn.",
            status=401,
            executed=errors.Executed.UNKNOWN,
        )

    def _release(
        self,
        admission: core.Admission,
        tokens: float,
        refusal: errors.Refusal | None,
    ) -> None:
        now_s = self._clocks.monotonic()
        self._request_admitter.release(admission, tokens, refusal, now_s)


class Observer(typing.Protocol):
    """Is notified of the outcomes of requests."""

    def answered(
        self, request: core.AdmittedRequest, end: link.Finished
    ) -> None:
        """Record an answer that was sent completely."""

    def refused(self, refusal: errors.Refusal) -> None:
        """Record a refusal."""


async def _collect_text(
    events: collections.abc.AsyncGenerator[core.ResponseEvent, None],
) -> str:
    """Return the text of an answer, as generated by the last attempt."""
    text: list[str] = []
    async for event in events:
        if isinstance(event, core.Restarted):
            text.clear()
        elif isinstance(event, link.Chunk):
            text.append(event.text)
    return "".join(text)


class _UsageTracker:
    """Tracks the tokens and the outcome of one generation."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.refusal: errors.Refusal | None = None
        self.end = link.Finished(sequence=0, chunk=0, status=0)

    async def track(
        self, events: collections.abc.AsyncGenerator[core.ResponseEvent, None]
    ) -> collections.abc.AsyncGenerator[core.ResponseEvent, None]:
        async with contextlib.aclosing(events):
            try:
                async for event in events:
                    self._record(event)
                    yield event
            except errors.Refusal as refusal:
                self.refusal = refusal
                raise

    def _record(self, event: core.ResponseEvent) -> None:
        if isinstance(event, link.Chunk):
            self.tokens += event.tokens
        elif isinstance(event, link.Finished):
            self.end = event
            self.tokens = float(
                event.prompt_tokens + event.cached_tokens + event.output_tokens
            )

"""Drivers that run requests at an endpoint."""

import asyncio
import collections.abc
import time
import typing

import tenacity

from .. import link
from .. import ports
from .. import registry
from . import _meter

#: Timeout of calls that cancel a request or move its KV cache.
CONTROL_TIMEOUT_S = 2.0
#: Attempts to resume a broken stream without receiving a new token.
RESUME_ATTEMPTS = 6
#: Shortest and longest pause between attempts to resume a stream.
RESUME_MIN_PAUSE_S = 0.1
RESUME_MAX_PAUSE_S = 1.0
HTTP_OK = 200
#: Largest response of a plain service; it is sent in one link frame.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
#: Tokens generated for a prefill-only request, the least that engines
#: accept. They are neither sent nor counted.
PREFILL_OUTPUT_TOKENS = 1


class Driver(typing.Protocol):
    """Runs requests at one endpoint."""

    def stoppable(self, execution: link.RequestExecution) -> bool:
        """Whether a started request can be stopped before it finishes."""

    async def run(
        self, execution: link.RequestExecution, meter: _meter.Meter
    ) -> None:
        """Run a request and publish its response through ``execution``.

        Cancelling this call cancels the request at the endpoint; ``meter``
        is updated in that case too. Raises the port's failure.
        """


#: Driver factories by kind of endpoint; the argument implements its port.
DRIVERS: registry.Registry[collections.abc.Callable[[typing.Any], Driver]] = (
    registry.Registry("driver")
)


_RESUME_RETRYING = tenacity.AsyncRetrying(
    retry=tenacity.retry_if_exception_type(ports.EngineFailure),
    stop=tenacity.stop_after_attempt(RESUME_ATTEMPTS),
    wait=tenacity.wait_random_exponential(
        multiplier=RESUME_MIN_PAUSE_S, max=RESUME_MAX_PAUSE_S
    ),
    reraise=True,
)


@DRIVERS.register("engine")
class EngineDriver:
    """Runs generations at an engine."""

    def __init__(self, engine: ports.Engine) -> None:
        self._engine = engine

    def stoppable(self, execution: link.RequestExecution) -> bool:
        """Whether a started request can be stopped before it finishes."""
        return True

    async def run(
        self, execution: link.RequestExecution, meter: _meter.Meter
    ) -> None:
        """Run a generation and emit its tokens."""
        generation = _Generation(self._engine, execution, meter)
        try:
            await generation.run()
        except asyncio.CancelledError:
            await generation.stop()
            raise
        except ports.EngineFailure:
            generation.estimate_usage()
            raise


class _Generation:
    """One generation at the engine."""

    def __init__(
        self,
        engine: ports.Engine,
        execution: link.RequestExecution,
        meter: _meter.Meter,
    ) -> None:
        self._engine = engine
        self._execution = execution
        self._submit = execution.submit
        self._meter = meter
        self._request_id = str(execution.submit.number)
        #: Tokens received; a resumed stream starts after them.
        self._received = 0
        self._imported = False

    async def run(self) -> None:
        takeover = self._execution.takeover
        if takeover is None:
            last = await self._start()
        else:
            last = await self._take_over(takeover)
        self._count(last)
        kv_handle = ""
        if self._submit.prefill_only:
            kv_handle = await self._engine.export_kv(
                self._request_id, CONTROL_TIMEOUT_S
            )
        self._execution.finish(
            status=HTTP_OK,
            finish_reason=last.finish_reason,
            prompt_tokens=last.prompt_tokens,
            cached_tokens=last.cached_tokens,
            output_tokens=self._meter.output_tokens,
            kv_handle=kv_handle,
        )

    async def stop(self) -> None:
        """Cancel the request at the engine and count its usage."""
        if not self._execution.started:
            return
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                await self._engine.cancel(self._request_id, CONTROL_TIMEOUT_S)
                async for event in self._engine.resume(
                    self._request_id, self._received, CONTROL_TIMEOUT_S
                ):
                    self._receive(event)
                    self._count(event)
        except (ports.EngineFailure, TimeoutError):
            self.estimate_usage()

    def estimate_usage(self) -> None:
        """Count the prompt tokens as estimated by the entry.

        Applies only if the engine computed the prompt without reporting it.
        """
        known = self._meter.prompt_tokens or self._imported
        if self._received and not known and self._execution.takeover is None:
            self._meter.prompt_tokens = self._submit.prompt_tokens

    async def _start(self) -> ports.EngineEvent:
        """Start the generation and return its last event."""
        request = await self._request()
        self._execution.start()
        return await self._generate(request)

    async def _take_over(self, takeover: link.TakeOver) -> ports.EngineEvent:
        """Continue a generation that a previous agent process started.

        If the engine does not know the generation, it is started now, unless
        the caller has already received tokens of an earlier run.
        """
        self._received = takeover.tokens
        self._imported = bool(self._submit.kv_handle)
        if takeover.tokens:
            self._meter.calls = 1
            self._meter.output_tokens = takeover.tokens
        try:
            last = await self._resume()
        except ports.EngineFailure as error:
            if not error.started and not takeover.tokens:
                return await self._start()
            if not error.started:
                raise
            last = await self._resume_to_end()
        if last.finish_reason == ports.CANCELLED:
            raise ports.EngineFailure(operation="resume", started=True)
        return last

    async def _request(self) -> ports.EngineRequest:
        """Return the engine request; fetches the KV cache if possible."""
        submit = self._submit
        if submit.kv_handle:
            self._imported = await self._import_kv(submit.kv_handle)
        prefill = submit.prefill_only
        return ports.EngineRequest(
            request_id=self._request_id,
            model=submit.model,
            prompt=submit.prompt,
            max_tokens=PREFILL_OUTPUT_TOKENS if prefill else submit.max_tokens,
            priority=submit.request_class,
            kv_handle=submit.kv_handle if self._imported else "",
            sampling=submit.sampling,
        )

    async def _import_kv(self, handle: str) -> bool:
        """Fetch a KV cache; on failure the prompt is recomputed."""
        try:
            await self._engine.import_kv(handle, CONTROL_TIMEOUT_S)
        except ports.EngineFailure:
            return False
        return True

    async def _generate(
        self, request: ports.EngineRequest
    ) -> ports.EngineEvent:
        """Generate, resuming broken streams, and return the last event."""
        try:
            return await self._consume(
                self._engine.generate(request, self._time_left_s())
            )
        except ports.EngineFailure as error:
            if not error.started:
                # The engine did not admit the request, so none of it ran.
                self._execution.started = self._execution.takeover is not None
                raise
        return await self._resume_to_end()

    async def _resume_to_end(self) -> ports.EngineEvent:
        """Resume a broken stream as long as new tokens arrive."""
        while True:
            before = self._received
            try:
                return await _RESUME_RETRYING(self._resume)
            except ports.EngineFailure:
                if self._received == before:
                    raise

    async def _resume(self) -> ports.EngineEvent:
        return await self._consume(
            self._engine.resume(
                self._request_id, self._received, self._time_left_s()
            )
        )

    async def _consume(
        self, events: collections.abc.AsyncIterator[ports.EngineEvent]
    ) -> ports.EngineEvent:
        async for event in events:
            self._receive(event)
            if event.output_tokens and not self._submit.prefill_only:
                await self._execution.emit(event.text, event.output_tokens)
            if event.finish_reason:
                return event
        raise ports.EngineFailure(operation="stream", started=True)

    def _receive(self, event: ports.EngineEvent) -> None:
        self._received += event.output_tokens
        if not self._submit.prefill_only:
            # A call without a response is not billed.
            self._meter.calls = 1
            self._meter.output_tokens = self._received

    def _count(self, last: ports.EngineEvent) -> None:
        if not last.finish_reason:
            return
        self._meter.prompt_tokens = last.prompt_tokens
        # An imported KV cache was counted by the engine that computed it.
        if not self._imported:
            self._meter.cached_tokens = last.cached_tokens

    def _time_left_s(self) -> float:
        return max(0.0, self._execution.deadline_s - time.monotonic())


@DRIVERS.register("plain")
class PlainDriver:
    """Calls a plain service, with one attempt per request."""

    def __init__(self, service: ports.PlainService) -> None:
        self._service = service

    def stoppable(self, execution: link.RequestExecution) -> bool:
        """Whether a started request can be stopped: only if idempotent."""
        return execution.submit.idempotent

    async def run(
        self, execution: link.RequestExecution, meter: _meter.Meter
    ) -> None:
        """Make the call and publish its response."""
        submit = execution.submit
        execution.start()
        try:
            response = await self._service.call(
                ports.PlainRequest(
                    request_id=str(submit.number),
                    method=submit.method,
                    path=submit.path,
                    organisation=submit.organisation,
                    content_type=submit.content_type,
                    body=submit.body,
                ),
                max(0.0, execution.deadline_s - time.monotonic()),
            )
        except ports.PlainFailure as error:
            if not error.started:
                execution.started = False
            raise
        # A call without a response is not billed.
        meter.calls = 1
        if len(response.body) > MAX_RESPONSE_BYTES:
            raise ports.PlainFailure(started=True)
        execution.finish(
            status=response.status,
            content_type=response.content_type,
            body=response.body,
        )

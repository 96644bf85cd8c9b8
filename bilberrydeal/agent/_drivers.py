"""Run one request at the endpoint."""

import asyncio
import collections.abc
import time
import typing

import tenacity

from .. import link
from .. import ports
from .. import registry
from . import _meter

#: Longest wait for a call that ends or moves something.
CONTROL_TIMEOUT_S = 2.0
#: How often a broken stream is resumed without a new token in between.
RESUME_ATTEMPTS = 6
#: Shortest and longest pause before a stream is resumed.
RESUME_PAUSE_S = 0.1
RESUME_LONGEST_S = 1.0
HTTP_OK = 200
#: Largest answer of a plain service; one frame of the link carries it.
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
#: Tokens generated for a request that only wants its prefill; engines take
#: no fewer. They are neither sent nor counted.
PREFILL_OUTPUT_TOKENS = 1


class Driver(typing.Protocol):
    """Runs requests at one endpoint."""

    def stoppable(self, work: link.Work) -> bool:
        """Whether a request that has begun can be ended early."""

    async def run(self, work: link.Work, meter: _meter.Meter) -> None:
        """Run a request and give its answer.

        Counts in ``meter`` also when it is cancelled, which ends the request
        at the endpoint. Raises the port's failure.
        """


#: Drivers by the kind of endpoint, built with the port's implementation.
DRIVERS: registry.Registry[collections.abc.Callable[[typing.Any], Driver]] = (
    registry.Registry("driver")
)


_RESUMING = tenacity.AsyncRetrying(
    retry=tenacity.retry_if_exception_type(ports.EngineFailure),
    stop=tenacity.stop_after_attempt(RESUME_ATTEMPTS),
    wait=tenacity.wait_random_exponential(
        multiplier=RESUME_PAUSE_S, max=RESUME_LONGEST_S
    ),
    reraise=True,
)


@DRIVERS.register("engine")
class EngineDriver:
    """Runs generations."""

    def __init__(self, engine: ports.Engine) -> None:
        self._engine = engine

    def stoppable(self, work: link.Work) -> bool:
        """Whether a request that has begun can be ended early."""
        return True

    async def run(self, work: link.Work, meter: _meter.Meter) -> None:
        """Run a generation and pass its tokens on."""
        generation = _Generation(self._engine, work, meter)
        try:
            await generation.run()
        except asyncio.CancelledError:
            await generation.stop()
            raise
        except ports.EngineFailure:
            generation.estimate()
            raise


class _Generation:
    """One request at the engine."""

    def __init__(
        self, engine: ports.Engine, work: link.Work, meter: _meter.Meter
    ) -> None:
        self._engine = engine
        self._work = work
        self._submit = work.submit
        self._meter = meter
        self._request_id = str(work.submit.number)
        #: Tokens that came, which a resumed stream leaves out.
        self._received = 0
        self._imported = False

    async def run(self) -> None:
        taken = self._work.taken
        if taken is None:
            last = await self._begun()
        else:
            last = await self._taken_over(taken)
        self._count(last)
        kv_handle = ""
        if self._submit.prefill_only:
            kv_handle = await self._engine.export_kv(
                self._request_id, CONTROL_TIMEOUT_S
            )
        self._work.finish(
            status=HTTP_OK,
            finish_reason=last.finish_reason,
            prompt_tokens=last.prompt_tokens,
            cached_tokens=last.cached_tokens,
            output_tokens=self._meter.output_tokens,
            kv_handle=kv_handle,
        )

    async def stop(self) -> None:
        """End the request at the engine and count what it used."""
        if not self._work.started:
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
            self.estimate()

    def estimate(self) -> None:
        """Count the prompt as the entry estimated it, if it was computed."""
        known = self._meter.prompt_tokens or self._imported
        if self._received and not known and self._work.taken is None:
            self._meter.prompt_tokens = self._submit.prompt_tokens

    async def _begun(self) -> ports.EngineEvent:
        """Begin at the engine and take the whole answer."""
        request = await self._request()
        self._work.start()
        return await self._whole(request)

    async def _taken_over(self, taken: link.TakeOver) -> ports.EngineEvent:
        """Go on with what a predecessor of this agent had begun.

        What the engine never had begins now, unless a caller has got a part
        of another run of it.
        """
        self._received = taken.tokens
        self._imported = bool(self._submit.kv_handle)
        if taken.tokens:
            self._meter.calls = 1
            self._meter.output_tokens = taken.tokens
        try:
            last = await self._resume()
        except ports.EngineFailure as error:
            if not error.started and not taken.tokens:
                return await self._begun()
            if not error.started:
                raise
            last = await self._resumed()
        if last.finish_reason == ports.CANCELLED:
            raise ports.EngineFailure(operation="resume", started=True)
        return last

    async def _request(self) -> ports.EngineRequest:
        """Return what to ask for, with the KV cache fetched if possible."""
        submit = self._submit
        if submit.kv_handle:
            self._imported = await self._import(submit.kv_handle)
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

    async def _import(self, handle: str) -> bool:
        """Fetch a KV cache; without it the prompt is computed again."""
        try:
            await self._engine.import_kv(handle, CONTROL_TIMEOUT_S)
        except ports.EngineFailure:
            return False
        return True

    async def _whole(self, request: ports.EngineRequest) -> ports.EngineEvent:
        """Take all events, over as many streams as it needs."""
        try:
            return await self._take(
                self._engine.generate(request, self._left_s())
            )
        except ports.EngineFailure as error:
            if not error.started:
                # The engine did not admit it: nothing has run here.
                self._work.started = self._work.taken is not None
                raise
        return await self._resumed()

    async def _resumed(self) -> ports.EngineEvent:
        """Go on with a broken stream as long as that brings tokens."""
        while True:
            before = self._received
            try:
                return await _RESUMING(self._resume)
            except ports.EngineFailure:
                if self._received == before:
                    raise

    async def _resume(self) -> ports.EngineEvent:
        return await self._take(
            self._engine.resume(
                self._request_id, self._received, self._left_s()
            )
        )

    async def _take(
        self, events: collections.abc.AsyncIterator[ports.EngineEvent]
    ) -> ports.EngineEvent:
        async for event in events:
            self._receive(event)
            if event.output_tokens and not self._submit.prefill_only:
                await self._work.emit(event.text, event.output_tokens)
            if event.finish_reason:
                return event
        raise ports.EngineFailure(operation="stream", started=True)

    def _receive(self, event: ports.EngineEvent) -> None:
        self._received += event.output_tokens
        if not self._submit.prefill_only:
            # A call without an answer is not billed.
            self._meter.calls = 1
            self._meter.output_tokens = self._received

    def _count(self, last: ports.EngineEvent) -> None:
        if not last.finish_reason:
            return
        self._meter.prompt_tokens = last.prompt_tokens
        # A KV cache that was fetched was counted where it was computed.
        if not self._imported:
            self._meter.cached_tokens = last.cached_tokens

    def _left_s(self) -> float:
        return max(0.0, self._work.deadline_s - time.monotonic())


@DRIVERS.register("plain")
class PlainDriver:
    """Makes calls of a plain service, each once."""

    def __init__(self, service: ports.PlainService) -> None:
        self._service = service

    def stoppable(self, work: link.Work) -> bool:
        """Only what may run again is cut off."""
        return work.submit.idempotent

    async def run(self, work: link.Work, meter: _meter.Meter) -> None:
        """Make the call and pass its answer on."""
        submit = work.submit
        work.start()
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
                max(0.0, work.deadline_s - time.monotonic()),
            )
        except ports.PlainFailure as error:
            if not error.started:
                work.started = False
            raise
        # A call without an answer is not billed.
        meter.calls = 1
        if len(response.body) > ANSWER_LIMIT_BYTES:
            raise ports.PlainFailure(started=True)
        work.finish(
            status=response.status,
            content_type=response.content_type,
            body=response.body,
        )

"""Reads streams of engines, and lets others continue those of silent ones."""

import asyncio
import collections.abc
import functools
import typing

import attrs

from ... import errors
from ... import telemetry
from .. import sending
from . import _client_stream
from . import _continuation
from . import _events
from . import _stream_placement

LOG = telemetry.logger("stream")

Clock = collections.abc.Callable[[], float]
#: Serves a stream, or the rest of it, at another engine.
Attempt = collections.abc.Callable[
    [_client_stream.ClientStream],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]


class StreamReader:
    """Returns the bytes of streams as long as their engines have them."""

    def __init__(
        self,
        stream_placement: _stream_placement.StreamPlacement,
        retry_policy: sending.RetryPolicy,
        attempt: Attempt,
        clock: Clock,
    ) -> None:
        self._placement = stream_placement
        self._retry_policy = retry_policy
        self._attempt = attempt
        self._clock = clock

    async def next_chunk(
        self, stream: _client_stream.ClientStream, exchange: sending.Exchange
    ) -> bytes:
        """Return the next bytes of a stream, empty at its end.

        Bytes that complete no event are no progress. After a time without an
        event another engine may continue the stream if it would do so sooner;
        raises ``Continued`` once it has.
        """
        began_s = max(stream.progressed_s, exchange.sent_s)
        wait_s = began_s + stream.stall_s - self._clock()
        while True:
            if stream.continuation is not None:
                data = await self._chunk_or_continuation(
                    stream, stream.continuation, exchange
                )
                if data is not None:
                    return data
                wait_s = _stream_placement.RECONSIDER_INTERVAL_S
            if not stream.retry_allowed:
                return await exchange.connection.chunk()
            try:
                async with asyncio.timeout(max(wait_s, 0.0)):
                    return await exchange.connection.chunk()
            except TimeoutError:
                wait_s = _stream_placement.RECONSIDER_INTERVAL_S
            stalled_s = self._clock() - began_s
            if self._placement.sooner_elsewhere(stream, stalled_s):
                self._start_continuation(stream, exchange)

    async def _chunk_or_continuation(
        self,
        stream: _client_stream.ClientStream,
        continuation: _continuation.Continuation,
        exchange: sending.Exchange,
    ) -> bytes | None:
        """Return the silent engine's next bytes unless another takes over.

        Returns ``None`` if the other one does not continue the stream.
        """
        chunk = asyncio.ensure_future(exchange.connection.chunk())
        try:
            await asyncio.wait(
                [chunk, continuation.task],
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            chunk.cancel()
            # A connection has one reader at a time.
            await asyncio.gather(chunk, return_exceptions=True)
        # The other engine may have taken over until here.
        if continuation.took_over:
            await self.await_continuation(stream)
        if not chunk.cancelled():
            return chunk.result()
        self._end_continuation(stream)
        return None

    async def await_continuation(
        self, stream: _client_stream.ClientStream
    ) -> None:
        """Wait for another engine's attempt to continue a stream, if any.

        Raises ``Continued`` if the other engine has taken the stream over.
        """
        continuation = stream.continuation
        if continuation is None:
            return
        await continuation.decided()
        if continuation.took_over:
            stream.continuation = None
            raise _continuation.Continued(continuation)

    def _start_continuation(
        self, stream: _client_stream.ClientStream, exchange: sending.Exchange
    ) -> None:
        """Let another engine continue a stream whose engine is silent."""
        progress = stream.progress
        allowed = self._retry_policy.allows_retry(
            stream.admitted, progress, "no event in time"
        )
        if not allowed:
            return
        # The silent engine counts as one attempt while another one is made.
        progress.attempts += 1

        def abort_silent() -> None:
            # The engine whose stream this one continues is silent too.
            stream.take_over()
            exchange.connection.abort()

        stream.continuation = _continuation.Continuation(
            functools.partial(self._continue, stream), abort_silent
        )

    async def _continue(
        self,
        stream: _client_stream.ClientStream,
        continuation: _continuation.Continuation,
    ) -> None:
        """Continue a stream at another engine, after its last event."""
        continued = attrs.evolve(
            stream,
            splitter=_events.EventSplitter(stream.splitter.last_id),
            continues=continuation,
            continuation=None,
        )
        try:
            await self._attempt(continued)
        finally:
            if continuation.took_over:
                stream.splitter = continued.splitter
                stream.progressed_s = continued.progressed_s

    async def drop_continuation(
        self, stream: _client_stream.ClientStream
    ) -> None:
        """Cancel the attempt of another engine; the first one goes on."""
        continuation = stream.continuation
        if continuation is None:
            return
        await continuation.cancel()
        if continuation.took_over:
            stream.continuation = None
        else:
            self._end_continuation(stream)

    def _end_continuation(self, stream: _client_stream.ClientStream) -> None:
        """Record that another engine did not continue a stream."""
        continuation = stream.continuation
        if continuation is None:
            return
        stream.continuation = None
        progress = stream.progress
        self._retry_policy.release(stream.admitted, progress)
        progress.attempts -= 1
        task = continuation.task
        error = None if task.cancelled() else task.exception()
        if error is None:
            # The request was sent to both engines.
            progress.attempts += 1
        elif isinstance(error, sending.FAILED_SENDS):
            sending.count_failure(progress, error)
        elif not isinstance(error, errors.Refusal):
            LOG.error("Continuation failed unexpectedly.", exc_info=error)
        LOG.info(
            "Stream not continued elsewhere.",
            request=stream.admitted.request_id.decode("latin-1"),
            reason="engine resumed" if error is None else str(error),
            attempts=progress.attempts,
        )

"""Serves streaming requests from engines."""

import asyncio
import collections.abc
import functools

import attrs

from .. import errors
from .. import http1
from .. import platform
from .. import telemetry
from ..systems import placement
from . import _cluster_state
from . import _continuation
from . import _events
from . import _pending_prefill
from . import _quarantine
from . import _requests
from . import _retry_policy
from . import _sending
from . import _uplink
from . import _usage

LOG = telemetry.logger("stream")
#: Shortest time without an event after which a resumable stream may move to
#: another engine, in seconds; else it is a multiple of the longest gap that
#: callers accept.
MIN_STALL_S = 0.5
STALL_GAPS = 3.5
#: Multiple of the expected time after which another engine is considered.
OVERDUE_FACTOR = 2.0
#: Time added to that product, in seconds.
OVERDUE_SLACK_S = 0.25
#: Interval at which another engine is considered from then on, in seconds.
RECONSIDER_INTERVAL_S = 0.1
#: Time by which a prefill is abandoned before the caller closes the stream, in
#: seconds.
REFUSAL_MARGIN_S = 0.25
#: Share of the time left within which another engine must be expected to
#: answer.
ELSEWHERE_SHARE = 0.6
#: Most engines that one request tries while they are unreachable.
TRIED_LIMIT = 4
#: Largest response to a prefill, in bytes.
HANDLE_LIMIT_BYTES = 65_536
#: Largest failure response of an engine, in bytes.
FAILURE_LIMIT_BYTES = 1_048_576
Clock = collections.abc.Callable[[], float]


@attrs.define
class _ClientStream:
    """The response to a caller, which several engines may produce."""

    admitted: _requests.AdmittedRequest
    progress: _requests.RequestProgress
    responder: http1.Responder
    splitter: _events.EventSplitter
    #: When the last event was sent, or else when the request began, monotonic
    #: seconds.
    progressed_s: float
    #: Set on a stream that continues the one of a silent engine.
    continues: _continuation.Continuation | None = None
    #: Attempt of another engine to continue this stream.
    continuation: _continuation.Continuation | None = None

    def take_over(self) -> None:
        """End the run of a silent engine whose stream this one continues."""
        if self.continues is not None:
            self.continues.take_over()

    @property
    def event_deadline_s(self) -> float:
        """Return when the caller no longer waits for the next event."""
        limit_s = self.progressed_s + self.admitted.route.stall_limit_s
        return min(limit_s, self.admitted.deadline_s)

    @property
    def stall_s(self) -> float:
        """Return the time without an event after which to look elsewhere."""
        return max(MIN_STALL_S, STALL_GAPS * self.admitted.route.target_gap_s)


class _PrefillLost(_sending.Lost):
    """A prefill had no result; the request did not run because of it."""


#: Failures of a send after which another engine may be tried.
_FAILED_SENDS = (_sending.NotOffered, _sending.Rejected, _sending.Lost)


@attrs.frozen
class _KvSource:
    """Location of a KV cache that another engine's prefill produced."""

    upstream: _cluster_state.Upstream
    handle: str

    @property
    def header_value(self) -> str:
        """Return the value of the ``kv-source`` header."""
        return f"{self.upstream.endpoint.address}/{self.handle}"


class StreamServer:
    """Places prompts, transfers KV caches and forwards events."""

    def __init__(
        self,
        cluster: _cluster_state.ClusterState,
        sender: _sending.Sender,
        retry_policy: _retry_policy.RetryPolicy,
        usage_counter: _usage.UsageCounter,
        placer: placement.Placer,
        uplink: _uplink.Uplink,
        failure_domain: str,
        quarantine: _quarantine.PartQuarantine,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._cluster = cluster
        self._sender = sender
        self._retry_policy = retry_policy
        self._usage_counter = usage_counter
        self._placer = placer
        self._uplink = uplink
        self._failure_domain = failure_domain
        self._clock = clock
        self._engines = platform.EngineApi()
        self._background: set[asyncio.Task[bool]] = set()

    async def serve(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
        responder: http1.Responder,
    ) -> None:
        """Respond to a request; raises ``Refusal``."""
        stream = _ClientStream(
            admitted,
            progress,
            responder,
            _events.EventSplitter(admitted.last_event),
            admitted.request.started_s,
        )
        while True:
            try:
                await self._attempt(stream)
                return
            except _FAILED_SENDS as error:
                _count_failure(progress, error)
                reason = _failure_reason(error)
                if not progress.sent and len(progress.tried) < TRIED_LIMIT:
                    continue
                if _is_final(admitted, progress, error):
                    raise _requests.failure_refusal(
                        progress, reason
                    ) from error
            stream.splitter.discard_partial()
            if not self._retry_policy.allows_retry(admitted, progress, reason):
                raise _requests.failure_refusal(progress, reason)

    async def _attempt(self, stream: _ClientStream) -> None:
        """Serve a stream, or the rest of it, with one placement."""
        self._quarantine.check(stream.admitted, stream.progress)
        now_s = self._clock()
        request = self._placement_request(stream, now_s)
        engines = self._engines_for(stream, now_s)
        placed = self._placer.place(request, engines, now_s)
        if isinstance(placed, placement.DeadlineUnreachable):
            raise self._deadline_refusal(stream, placed)
        upstream = self._cluster.endpoints[placed.engine_id]
        if not placed.separate_decode:
            await self._generate(stream, upstream, placed, None)
            return
        try:
            source = await self._prefill(stream, upstream, placed)
        except _sending.Lost as error:
            raise _PrefillLost(*error.args) from error
        await self._decode_transferred(stream, request, placed, source)

    def _placement_request(
        self, stream: _ClientStream, now_s: float
    ) -> placement.Request:
        admitted = stream.admitted
        return placement.Request(
            prompt=admitted.prompt or _requests.NO_PROMPT,
            target_s=self._target_s(stream, now_s),
            time_left_s=stream.event_deadline_s - now_s,
            failure_domain=self._failure_domain,
            tried=frozenset(stream.progress.tried),
            uplink_s=self._uplink.wait_s(admitted.priority)
            + self._uplink.transfer_s(len(admitted.request.body)),
            rank=admitted.priority,
            may_have_run=stream.progress.may_have_run,
            may_separate=_may_prefill(stream),
        )

    def _target_s(self, stream: _ClientStream, now_s: float) -> float:
        """Return the time left until the target or, once started, deadline."""
        if stream.responder.started:
            return stream.event_deadline_s - now_s
        waited_s = now_s - stream.admitted.request.started_s
        return stream.admitted.route.target_latency_s - waited_s

    def _deadline_refusal(
        self, stream: _ClientStream, placed: placement.DeadlineUnreachable
    ) -> errors.Refusal:
        if stream.progress.may_have_run:
            return _requests.failure_refusal(
                stream.progress, "no engine can resume the request"
            )
        time_left_s = stream.event_deadline_s - self._clock()
        return _requests.not_run_refusal(
            errors.ErrorCode.DEADLINE_HOPELESS,
            f"first token expected in {placed.expected_s:.2f} s,"
            f" {time_left_s:.2f} s left",
            placed.retry_after_s,
        )

    async def _prefill(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        placed: placement.Placement,
    ) -> _KvSource:
        """Prefill a prompt; return the location of its KV cache."""
        admitted = stream.admitted
        fields = attrs.evolve(
            self._fields(stream, upstream, placed), prefill=True
        )
        with _pending_prefill.tracked(
            upstream, placed, stream.admitted, stream.progress, self._clock
        ) as pending:
            async with self._sender.exchange(
                admitted,
                stream.progress,
                upstream,
                fields,
                placed,
                self._prefill_patience(stream, placed),
            ) as exchange:
                body = await exchange.connection.body(HANDLE_LIMIT_BYTES)
            pending.finished(exchange.sent_s)
        handle = self._engines.decode_kv_handle(body)
        if handle is None:
            raise _PrefillLost("no KV handle in the response")
        if stream.progress.lost_prefills:
            # Only the first prefill that an engine accepts is not counted.
            stream.progress.attempts += 1
        took_s = self._clock() - exchange.sent_s
        exchange.record.prefill_ms = round(took_s * 1000, 1)
        self._cluster.observe(upstream, True, self._clock())
        return _KvSource(upstream, handle)

    async def _decode_transferred(
        self,
        stream: _ClientStream,
        request: placement.Request,
        placed: placement.Placement,
        source: _KvSource,
    ) -> None:
        """Decode on an engine that fetches the prompt's KV cache."""
        placed = attrs.evolve(
            placed, uncached_tokens=0.0, work_tokens=0.0, fetch_from=None
        )
        consumed = False
        try:
            while not consumed:
                upstream = self._decode_upstream(stream, request, source)
                self._quarantine.check(stream.admitted, stream.progress)
                try:
                    await self._generate(stream, upstream, placed, source)
                    consumed = True
                except _sending.NotOffered:
                    if len(stream.progress.tried) >= TRIED_LIMIT:
                        raise
        except _sending.Lost:
            consumed = True
            raise
        finally:
            if not consumed:
                self._free_handle(source)

    def _decode_upstream(
        self,
        stream: _ClientStream,
        request: placement.Request,
        source: _KvSource,
    ) -> _cluster_state.Upstream:
        """Return the engine to decode on; raises ``Rejected`` for none."""
        engine_id = self._placer.decode_engine(
            attrs.evolve(request, tried=frozenset(stream.progress.tried)),
            source.upstream.endpoint.endpoint_id,
            self._engines_for(stream, self._clock()),
        )
        if engine_id is None:
            raise _sending.Rejected("no decode engine available")
        return self._cluster.endpoints[engine_id]

    async def _generate(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        placed: placement.Placement,
        source: _KvSource | None,
    ) -> None:
        """Forward the events that an engine generates."""
        try:
            await self._send_and_forward(stream, upstream, placed, source)
        except _continuation.Continued as continued:
            try:
                failure = await continued.continuation.failure()
            finally:
                await continued.continuation.cancel()
            if failure is not None:
                raise failure from continued

    async def _send_and_forward(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        placed: placement.Placement,
        source: _KvSource | None,
    ) -> None:
        admitted = stream.admitted
        fields = attrs.evolve(
            self._fields(stream, upstream, placed),
            kv_source=source.header_value if source else "",
            last_event=stream.splitter.last_id,
        )
        with _pending_prefill.tracked(
            upstream, placed, stream.admitted, stream.progress, self._clock
        ) as pending:
            async with self._sender.exchange(
                admitted,
                stream.progress,
                upstream,
                fields,
                placed,
                self._patience(stream, placed),
            ) as exchange:
                self._retry_policy.release(admitted, stream.progress)
                if exchange.response_class is platform.ResponseClass.FAILURE:
                    await self._forward_failure(stream, upstream, exchange)
                    return
                try:
                    await self._forward_events(
                        stream, upstream, exchange, pending, source
                    )
                except (_sending.Lost, http1.IncompleteResponse):
                    await self._await_continuation(stream)
                    raise
                finally:
                    await self._drop_continuation(stream)

    async def _forward_events(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        exchange: _sending.Exchange,
        pending: _pending_prefill.PendingPrefill,
        source: _KvSource | None,
    ) -> None:
        splitter = stream.splitter
        responder = stream.responder
        if not responder.started:
            responder.start(
                exchange.head.status,
                platform.forwarded_headers(exchange.head),
                None,
            )
        first_s: float | None = None
        told_sound = False
        while True:
            data = await self._next_chunk(stream, exchange)
            if not data:
                break
            if first_s is None:
                first_s = self._clock()
                _record_first_event(stream, exchange, first_s)
                if source is None:
                    pending.finished(exchange.sent_s)
                else:
                    pending.transferred(exchange.sent_s)
                self._usage_counter.count_once(
                    stream.admitted, stream.progress
                )
            if complete := self._split(stream, upstream, data):
                await self._drop_continuation(stream)
                stream.take_over()
                stream.progressed_s = self._clock()
                begun_s = stream.progressed_s - first_s
                if not told_sound and begun_s >= _quarantine.SOUND_AFTER_S:
                    told_sound = True
                    self._quarantine.stream_sound(stream.admitted)
                self._cluster.observe_progress(upstream, stream.progressed_s)
                await responder.write_chunk(complete)
        if splitter.incomplete or first_s is None:
            # A response that ends with its connection may be broken off.
            self._quarantine.engine_lost(
                upstream, stream.admitted, True, first_s
            )
        elif (
            not exchange.connection.delimited_by_eof
            or self._clock() - first_s >= _quarantine.BEGINNING_S
        ):
            self._quarantine.stream_sound(stream.admitted)
        if splitter.incomplete:
            self._cluster.observe(upstream, False, self._clock())
            raise _sending.Lost("stream ended within an event")
        if first_s is None and exchange.connection.delimited_by_eof:
            self._cluster.observe(upstream, False, self._clock())
            raise _sending.Lost("connection ended before an event")
        self._cluster.observe(upstream, True, self._clock())
        if upstream.load is not None and first_s is not None:
            held_s = self._clock() - first_s
            upstream.load.slot_times.update(stream.admitted.priority, held_s)
        await self._drop_continuation(stream)
        stream.take_over()
        responder.end_chunks()

    def _split(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        data: bytes,
    ) -> bytes:
        """Return the events that ``data`` completes."""
        try:
            return stream.splitter.feed(data)
        except _events.EventTooLarge as error:
            self._cluster.observe(upstream, False, self._clock())
            raise _sending.Lost(f"event without end, {error}") from error

    async def _next_chunk(
        self, stream: _ClientStream, exchange: _sending.Exchange
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
                wait_s = RECONSIDER_INTERVAL_S
            if not _retry_allowed(stream):
                return await exchange.connection.chunk()
            try:
                async with asyncio.timeout(max(wait_s, 0.0)):
                    return await exchange.connection.chunk()
            except TimeoutError:
                wait_s = RECONSIDER_INTERVAL_S
            stalled_s = self._clock() - began_s
            if self._sooner_elsewhere(stream, stalled_s):
                self._start_continuation(stream, exchange)

    async def _chunk_or_continuation(
        self,
        stream: _ClientStream,
        continuation: _continuation.Continuation,
        exchange: _sending.Exchange,
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
            await self._await_continuation(stream)
        if not chunk.cancelled():
            return chunk.result()
        self._end_continuation(stream)
        return None

    async def _await_continuation(self, stream: _ClientStream) -> None:
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
        self, stream: _ClientStream, exchange: _sending.Exchange
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
        stream: _ClientStream,
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

    async def _drop_continuation(self, stream: _ClientStream) -> None:
        """Cancel the attempt of another engine; the first one goes on."""
        continuation = stream.continuation
        if continuation is None:
            return
        await continuation.cancel()
        if continuation.took_over:
            stream.continuation = None
        else:
            self._end_continuation(stream)

    def _end_continuation(self, stream: _ClientStream) -> None:
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
        elif isinstance(error, _FAILED_SENDS):
            _count_failure(progress, error)
        elif not isinstance(error, errors.Refusal):
            LOG.error("Continuation failed unexpectedly.", exc_info=error)
        LOG.info(
            "Stream not continued elsewhere.",
            request=stream.admitted.request_id.decode("latin-1"),
            reason="engine resumed" if error is None else str(error),
            attempts=progress.attempts,
        )

    async def _forward_failure(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        exchange: _sending.Exchange,
    ) -> None:
        body = await exchange.connection.body(FAILURE_LIMIT_BYTES)
        self._cluster.observe(upstream, False, self._clock())
        if stream.responder.started or self._can_retry(stream):
            raise _sending.Lost(f"status {exchange.head.status}")
        stream.responder.send(
            exchange.head.status,
            platform.forwarded_headers(exchange.head),
            body,
        )

    def _fields(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        placed: placement.Placement,
    ) -> platform.SendFields:
        admitted = stream.admitted
        return platform.SendFields(
            endpoint_id=upstream.endpoint.endpoint_id,
            time_left_s=admitted.deadline_s - self._clock(),
            organisation=admitted.organisation_name,
            priority=placement.engine_rank(admitted.priority, placed.deferred),
            kv_fetch=self._fetch_address(placed),
        )

    def _fetch_address(self, placed: placement.Placement) -> str:
        """Return the address of the engine to fetch cached parts from."""
        source = self._cluster.endpoints.get(placed.fetch_from or "")
        return source.endpoint.address if source is not None else ""

    def _patience(
        self, stream: _ClientStream, placed: placement.Placement
    ) -> _sending.Patience | None:
        """Return when to consider another engine, if the route allows one."""
        if not _retry_allowed(stream):
            return None
        sent_s = self._clock()
        first_s = placed.expected_s * OVERDUE_FACTOR + OVERDUE_SLACK_S

        def gives_up() -> bool:
            waited_s = self._clock() - sent_s
            # Others that wait for the same engine may ask at this moment too.
            return self._sooner_elsewhere(
                stream, waited_s
            ) and self._retry_policy.reserve(stream.admitted, stream.progress)

        return _sending.Patience(
            max(first_s, stream.stall_s), RECONSIDER_INTERVAL_S, gives_up
        )

    def _prefill_patience(
        self, stream: _ClientStream, placed: placement.Placement
    ) -> _sending.Patience:
        """Return when to abandon a prefill.

        It runs nothing, so this may be done on any route: for another engine
        if the route allows one, and shortly before the caller would close the
        stream, since one that is told that nothing ran can come back.
        """
        sent_s = self._clock()
        limit_s = stream.event_deadline_s - REFUSAL_MARGIN_S
        elsewhere = self._patience(stream, placed)
        first_s = limit_s - sent_s
        if elsewhere is not None:
            first_s = min(first_s, elsewhere.first_s)

        def gives_up() -> bool:
            if self._clock() >= limit_s:
                return True
            return elsewhere is not None and elsewhere.gives_up()

        return _sending.Patience(
            max(first_s, 0.0), RECONSIDER_INTERVAL_S, gives_up
        )

    def _sooner_elsewhere(
        self, stream: _ClientStream, waited_s: float
    ) -> bool:
        """Return whether another engine would answer sooner.

        A send that is overdue is expected to take as long again as it has
        taken: most that are only slow are finished by then.
        """
        now_s = self._clock()
        if not self._retry_policy.has_budget(stream.admitted, stream.progress):
            return False
        try:
            self._quarantine.check(stream.admitted, stream.progress)
        except errors.Refusal:
            return False
        request = self._placement_request(stream, now_s)
        engines = self._engines_for(stream, now_s)
        placed = self._placer.place(request, engines, now_s)
        if isinstance(placed, placement.DeadlineUnreachable):
            return False
        limit_s = min(waited_s, request.time_left_s * ELSEWHERE_SHARE)
        return placed.expected_s < limit_s

    def _can_retry(self, stream: _ClientStream) -> bool:
        """Return whether another engine could run the request next."""
        if not _retry_allowed(stream):
            return False
        return any(
            not engine.prefill_only
            and engine.engine_id not in stream.progress.tried
            for engine in self._engines_for(stream, self._clock())
        )

    def _engines_for(
        self, stream: _ClientStream, now_s: float
    ) -> list[placement.EngineLoad]:
        """Return the candidate engines for a request."""
        prompt = stream.admitted.prompt
        # Requests without prompt parts are spread by their id.
        affinity = prompt.affinity if prompt else stream.admitted.request_id
        return self._cluster.engines(stream.admitted.service, affinity, now_s)

    def _free_handle(self, source: _KvSource) -> None:
        """Free an unused KV handle in the background."""
        task = asyncio.get_running_loop().create_task(
            self._engines.free_kv_handle(source.upstream.pool, source.handle)
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _may_prefill(stream: _ClientStream) -> bool:
    """Return whether a prefill leaves an attempt to run the request.

    Only the first prefill that an engine may have accepted is not counted.
    """
    progress = stream.progress
    if not progress.lost_prefills:
        return True
    return progress.attempts + 1 < stream.admitted.route.max_attempts


def _retry_allowed(stream: _ClientStream) -> bool:
    """Return whether the route allows a retry after this send."""
    route = stream.admitted.route
    attempts = stream.progress.attempts + 1
    return route.idempotent and attempts < route.max_attempts


def _count_failure(
    progress: _requests.RequestProgress, error: Exception
) -> None:
    """Count a failed send against the attempts that the route allows.

    The first lost prefill is no attempt to run the request.
    """
    if isinstance(error, _sending.NotOffered):
        return
    if not isinstance(error, _PrefillLost):
        progress.attempts += 1
        return
    if progress.lost_prefills:
        progress.attempts += 1
    progress.lost_prefills += 1


def _failure_reason(error: Exception) -> str:
    """Return what happened to a send, for logs and refusals."""
    if isinstance(error, _sending.NotOffered):
        return f"not offered, {error}"
    if isinstance(error, _sending.Rejected):
        return f"rejected, {error}"
    return f"lost, {error}"


def _is_lost_run(error: Exception) -> bool:
    """Return whether a send that may have run was lost."""
    lost = isinstance(error, _sending.Lost)
    return lost and not isinstance(error, _PrefillLost)


def _is_final(
    admitted: _requests.AdmittedRequest,
    progress: _requests.RequestProgress,
    error: Exception,
) -> bool:
    """Return whether a request that may have run must not be sent again."""
    return (
        _is_lost_run(error)
        and progress.may_have_run
        and not admitted.route.idempotent
    )


def _record_first_event(
    stream: _ClientStream, exchange: _sending.Exchange, now_s: float
) -> None:
    """Record when the first event of a send arrived."""
    after_s = now_s - stream.admitted.request.started_s
    exchange.record.first_ms = round(after_s * 1000, 1)

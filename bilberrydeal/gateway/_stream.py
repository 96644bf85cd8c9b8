"""Serves streaming requests from engines."""

import asyncio
import collections.abc
import contextlib

import attrs

from .. import errors
from .. import http1
from .. import platform
from ..systems import placement
from . import _cluster_state
from . import _events
from . import _requests
from . import _retry_policy
from . import _sending
from . import _uplink
from . import _usage

#: Stall after which a resumable stream moves to another engine, in seconds.
STALL_S = 0.7
#: Multiple of the expected prefill time before an engine is unresponsive.
UNRESPONSIVE_FACTOR = 4.0
#: Time added to that product, in seconds.
UNRESPONSIVE_SLACK_S = 0.5
#: Most engines that one request tries while they are unreachable.
TRIED_LIMIT = 4
#: Largest response to a prefill, in bytes.
HANDLE_LIMIT_BYTES = 65_536
#: Largest failure response of an engine, in bytes.
FAILURE_LIMIT_BYTES = 1_048_576
#: Placeholder for a prompt that the caller did not describe.
_NO_PROMPT = placement.Prompt((placement.PromptPart(b"", 1),), 1)

Clock = collections.abc.Callable[[], float]


@attrs.define
class _ClientStream:
    """The response to a caller, which several engines may produce."""

    admitted: _requests.AdmittedRequest
    progress: _requests.RequestProgress
    responder: http1.Responder
    splitter: _events.EventSplitter


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
        clock: Clock,
    ) -> None:
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
        )
        while True:
            try:
                await self._attempt(stream)
                return
            except _sending.NotOffered as error:
                reason = f"not offered, {error}"
                if len(progress.tried) < TRIED_LIMIT:
                    continue
            except _sending.Rejected as error:
                progress.attempts += 1
                reason = f"rejected, {error}"
            except _sending.Lost as error:
                progress.attempts += 1
                reason = f"lost, {error}"
                if progress.may_have_run and not admitted.route.idempotent:
                    raise _requests.failure_refusal(
                        progress, reason
                    ) from error
            stream.splitter.discard_partial()
            if not self._retry_policy.allows_retry(admitted, progress, reason):
                raise _requests.failure_refusal(progress, reason)

    async def _attempt(self, stream: _ClientStream) -> None:
        """Serve a stream, or the rest of it, with one placement."""
        admitted = stream.admitted
        now_s = self._clock()
        request = placement.Request(
            prompt=admitted.prompt or _NO_PROMPT,
            target_s=self._target_s(stream, now_s),
            time_left_s=admitted.deadline_s - now_s,
            failure_domain=self._failure_domain,
            tried=frozenset(stream.progress.tried),
            uplink_s=self._uplink.wait_s(admitted.priority)
            + self._uplink.transfer_s(len(admitted.request.body)),
            rank=admitted.priority,
            may_have_run=stream.progress.may_have_run,
        )
        engines = self._engines_for(stream, now_s)
        placed = self._placer.place(request, engines, now_s)
        if isinstance(placed, placement.DeadlineUnreachable):
            raise self._deadline_refusal(stream, placed)
        upstream = self._cluster.endpoints[placed.engine_id]
        if not placed.separate_decode:
            await self._generate(stream, upstream, placed, None)
            return
        source = await self._prefill(stream, upstream, placed)
        await self._decode_transferred(stream, request, placed, source)

    def _target_s(self, stream: _ClientStream, now_s: float) -> float:
        """Return the time left until the target or, once started, deadline."""
        if stream.responder.started:
            return stream.admitted.deadline_s - now_s
        waited_s = now_s - stream.admitted.request.started_s
        return stream.admitted.route.target_latency_s - waited_s

    def _deadline_refusal(
        self, stream: _ClientStream, placed: placement.DeadlineUnreachable
    ) -> errors.Refusal:
        if stream.progress.may_have_run:
            return _requests.failure_refusal(
                stream.progress, "no engine can resume the request"
            )
        time_left_s = stream.admitted.deadline_s - self._clock()
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
        timeout_s = (
            placed.expected_s * UNRESPONSIVE_FACTOR + UNRESPONSIVE_SLACK_S
        )
        with _tracked(stream, upstream, placed):
            async with self._sender.exchange(
                admitted,
                stream.progress,
                upstream,
                fields,
                min(fields.time_left_s, timeout_s),
                placed,
            ) as exchange:
                body = await exchange.connection.body(HANDLE_LIMIT_BYTES)
        handle = self._engines.decode_kv_handle(body)
        if handle is None:
            raise _sending.Lost("no KV handle in the response")
        if not placed.deferred and upstream.load is not None:
            upstream.load.update_speed(
                placed.prefill_s, self._clock() - exchange.sent_s
            )
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
        consumed = False
        try:
            engines = self._engines_for(stream, self._clock())
            engine_id = self._placer.decode_engine(
                request, source.upstream.endpoint.endpoint_id, engines
            )
            if engine_id is None:
                raise _sending.Rejected("no decode engine available")
            upstream = self._cluster.endpoints[engine_id]
            await self._generate(
                stream,
                upstream,
                attrs.evolve(placed, uncached_tokens=0.0),
                source,
            )
            consumed = True
        except _sending.Lost:
            consumed = True
            raise
        finally:
            if not consumed:
                self._free_handle(source)

    async def _generate(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        placed: placement.Placement,
        source: _KvSource | None,
    ) -> None:
        """Forward the events that an engine generates."""
        admitted = stream.admitted
        fields = attrs.evolve(
            self._fields(stream, upstream, placed),
            kv_source=source.header_value if source else "",
            last_event=stream.splitter.last_id,
        )
        with _tracked(stream, upstream, placed) as pending:
            async with self._sender.exchange(
                admitted,
                stream.progress,
                upstream,
                fields,
                self._head_timeout_s(stream, placed),
                placed,
            ) as exchange:
                if exchange.response_class is platform.ResponseClass.FAILURE:
                    await self._forward_failure(stream, upstream, exchange)
                    return
                await self._forward_events(stream, upstream, exchange, pending)

    async def _forward_events(
        self,
        stream: _ClientStream,
        upstream: _cluster_state.Upstream,
        exchange: _sending.Exchange,
        pending: "_PendingPrefill",
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
        while True:
            data = await self._next_chunk(stream, exchange)
            if not data:
                break
            if first_s is None:
                first_s = self._clock()
                _record_first_event(stream, first_s)
                pending.done()
                self._usage_counter.count_once(
                    stream.admitted, stream.progress
                )
            if complete := splitter.feed(data):
                await responder.write_chunk(complete)
        if splitter.incomplete:
            self._cluster.observe(upstream, False, self._clock())
            raise _sending.Lost("stream ended within an event")
        self._cluster.observe(upstream, True, self._clock())
        if upstream.load is not None and first_s is not None:
            held_s = self._clock() - first_s
            upstream.load.slot_times.update(stream.admitted.priority, held_s)
        responder.end_chunks()

    async def _next_chunk(
        self, stream: _ClientStream, exchange: _sending.Exchange
    ) -> bytes:
        if not _retry_allowed(stream):
            return await exchange.connection.chunk()
        while True:
            try:
                async with asyncio.timeout(STALL_S):
                    return await exchange.connection.chunk()
            except TimeoutError as error:
                if self._can_retry(stream):
                    raise _sending.Lost("no event in time") from error

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
        )

    def _head_timeout_s(
        self, stream: _ClientStream, placed: placement.Placement
    ) -> float:
        """Return the timeout for the head of a response.

        An engine whose slots are all in use is not stalled, and a deferred
        request waits there for all others.
        """
        time_left_s = stream.admitted.deadline_s - self._clock()
        if not self._can_retry(stream):
            return time_left_s
        timeout_s = placed.expected_s * UNRESPONSIVE_FACTOR
        return min(time_left_s, max(timeout_s, STALL_S))

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


def _retry_allowed(stream: _ClientStream) -> bool:
    """Return whether the route allows a retry after this send."""
    route = stream.admitted.route
    attempts = stream.progress.attempts + 1
    return route.idempotent and attempts < route.max_attempts


def _record_first_event(stream: _ClientStream, now_s: float) -> None:
    """Record when the first event of a send arrived."""
    after_s = now_s - stream.admitted.request.started_s
    stream.progress.sends[-1].first_ms = round(after_s * 1000, 1)


class _PendingPrefill:
    """Prompt tokens that an engine still has to prefill."""

    def __init__(
        self, load: placement.EngineLoad, tokens: float, deferred: bool
    ) -> None:
        self._load = load
        self._tokens = tokens
        self._deferred = deferred
        load.own_tokens.add(tokens, deferred)

    def done(self) -> None:
        """Remove the tokens: the prefill is done or was abandoned."""
        self._load.own_tokens.add(-self._tokens, self._deferred)
        self._tokens = 0.0


@contextlib.contextmanager
def _tracked(
    stream: _ClientStream,
    upstream: _cluster_state.Upstream,
    placed: placement.Placement,
) -> collections.abc.Iterator[_PendingPrefill]:
    """Count a request in the engine's load while it is there."""
    load = upstream.load
    assert load is not None
    stream.progress.tried.append(upstream.endpoint.endpoint_id)
    load.record_prompt(stream.admitted.prompt or _NO_PROMPT)
    rank = placement.engine_rank(stream.admitted.priority, placed.deferred)
    load.own_counts.add(rank, 1)
    pending = _PendingPrefill(load, placed.uncached_tokens, placed.deferred)
    try:
        yield pending
    finally:
        pending.done()
        load.own_counts.add(rank, -1)

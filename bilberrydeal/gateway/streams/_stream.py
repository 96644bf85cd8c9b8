"""Serves streaming requests from engines."""

import asyncio
import collections.abc

import attrs

from ... import http1
from ... import platform
from ... import telemetry
from ...systems import placement
from .. import _uplink
from .. import accounting
from .. import cluster_state
from .. import core
from .. import origins
from .. import sending
from . import _client_stream
from . import _continuation
from . import _event_forwarder
from . import _events
from . import _pending_prefill
from . import _stream_placement
from . import _stream_reader

LOG = telemetry.logger("stream")
#: Most engines that one request tries while they are unreachable.
TRIED_LIMIT = 4
#: Largest response to a prefill, in bytes.
HANDLE_LIMIT_BYTES = 65_536
#: Largest failure response of an engine, in bytes.
FAILURE_LIMIT_BYTES = 262_144
Clock = collections.abc.Callable[[], float]


@attrs.frozen
class _KvSource:
    """Location of a KV cache that another engine's prefill produced."""

    upstream: cluster_state.Upstream
    handle: str

    @property
    def header_value(self) -> str:
        """Return the value of the ``kv-source`` header."""
        return f"{self.upstream.endpoint.address}/{self.handle}"


class StreamServer:
    """Places prompts, transfers KV caches and forwards events."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        sender: sending.Sender,
        retry_policy: sending.RetryPolicy,
        usage_counter: accounting.UsageCounter,
        placer: placement.Placer,
        uplink: _uplink.Uplink,
        failure_domain: str,
        quarantine: sending.RequestQuarantine,
        resolver: origins.OriginResolver,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._resolver = resolver
        self._cluster = cluster
        self._sender = sender
        self._retry_policy = retry_policy
        self._placement = _stream_placement.StreamPlacement(
            cluster,
            placer,
            uplink,
            retry_policy,
            quarantine,
            failure_domain,
            clock,
        )
        self._reader = _stream_reader.StreamReader(
            self._placement, retry_policy, self._attempt, clock
        )
        self._forwarder = _event_forwarder.EventForwarder(
            cluster, self._reader, usage_counter, quarantine, resolver, clock
        )
        self._decode_wait = cluster_state.DecodeWait(cluster, clock)
        self._clock = clock
        self._engines = platform.EngineApi()
        self._background: set[asyncio.Task[bool]] = set()

    async def serve(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        responder: http1.Responder,
    ) -> None:
        """Respond to a request; raises ``Refusal``."""
        if admitted.resumes_stream:
            progress.origin = await self._resolver.resolve(admitted)
        stream = _client_stream.ClientStream(
            admitted,
            progress,
            responder,
            _events.EventSplitter(admitted.last_event),
            admitted.request.started_s,
        )
        while True:
            await self._await_decode(stream)
            try:
                await self._attempt(stream)
                return
            except sending.FAILED_SENDS as error:
                sending.count_failure(progress, error)
                reason = sending.failure_reason(error)
                if not progress.sent and len(progress.tried) < TRIED_LIMIT:
                    continue
                if sending.is_final(admitted, progress, error):
                    raise core.failure_refusal(progress, reason) from error
            stream.splitter.discard_partial()
            if not self._retry_policy.allows_retry(admitted, progress, reason):
                raise core.failure_refusal(progress, reason)

    async def _await_decode(self, stream: _client_stream.ClientStream) -> None:
        """Wait for an engine to go on with a stream that has broken off.

        If there is none in time, the next attempt tells so.
        """
        origin = stream.progress.origin
        if origin is None or not stream.progress.tried:
            return
        objective_s = stream.admitted.route.target_latency_s
        tried = stream.progress.tried
        prefilling = {each for each in tried if self._prefills(each)}
        await self._decode_wait.wait(
            cluster_state.StreamRest(
                origin.service,
                origin.software_version,
                stream.event_deadline_s - objective_s,
                frozenset(tried) - prefilling,
            )
        )
        # What prefilled its prompt may decode for it in its new role.
        tried[:] = [
            each
            for each in tried
            if each not in prefilling or self._prefills(each)
        ]

    def _prefills(self, engine_id: str) -> bool:
        load = self._cluster.load_of(engine_id)
        return load is not None and load.prefill_only

    async def _attempt(self, stream: _client_stream.ClientStream) -> None:
        """Serve a stream, or the rest of it, with one placement."""
        self._quarantine.check(stream.admitted, stream.progress)
        request, placed = self._placement.place(stream, self._clock())
        upstream = self._cluster.endpoints[placed.engine_id]
        if not placed.separate_decode:
            await self._generate(stream, upstream, placed, None)
            return
        try:
            with self._placement.decode_reserved(stream):
                source = await self._prefill(stream, upstream, placed)
        except sending.Lost as error:
            if stream.too_late and not stream.retry_allowed:
                raise self._placement.late_refusal(stream) from error
            raise sending.PrefillLost(*error.args) from error
        await self._decode_transferred(stream, request, placed, source)

    async def _prefill(
        self,
        stream: _client_stream.ClientStream,
        upstream: cluster_state.Upstream,
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
                self._placement.prefill_patience(stream, placed),
            ) as exchange:
                body = await exchange.connection.body(HANDLE_LIMIT_BYTES)
            pending.finished(exchange.sent_s)
        handle = self._engines.decode_kv_handle(body)
        if handle is None:
            raise sending.PrefillLost("no KV handle in the response")
        if stream.progress.lost_prefills:
            # Only the first prefill that an engine accepts is not counted.
            stream.progress.attempts += 1
        took_s = self._clock() - exchange.sent_s
        exchange.record.prefill_ms = round(took_s * 1000, 1)
        self._cluster.observe(upstream, True, self._clock())
        return _KvSource(upstream, handle)

    async def _decode_transferred(
        self,
        stream: _client_stream.ClientStream,
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
                upstream = self._placement.decode_upstream(
                    stream, request, source.upstream.endpoint.endpoint_id
                )
                self._quarantine.check(stream.admitted, stream.progress)
                try:
                    await self._generate(stream, upstream, placed, source)
                    consumed = True
                except sending.NotOffered:
                    if len(stream.progress.tried) >= TRIED_LIMIT:
                        raise
        except sending.Lost:
            consumed = True
            raise
        finally:
            if not consumed:
                self._free_handle(source)

    async def _generate(
        self,
        stream: _client_stream.ClientStream,
        upstream: cluster_state.Upstream,
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
        stream: _client_stream.ClientStream,
        upstream: cluster_state.Upstream,
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
                self._placement.patience(stream, placed),
            ) as exchange:
                self._retry_policy.release(admitted, stream.progress)
                if exchange.response_class is platform.ResponseClass.FAILURE:
                    await self._forward_failure(stream, upstream, exchange)
                    return
                try:
                    await self._forwarder.forward(
                        stream,
                        _event_forwarder.EngineResponse(
                            upstream, exchange, pending, source is not None
                        ),
                    )
                except (sending.Lost, http1.IncompleteResponse):
                    await self._reader.await_continuation(stream)
                    raise
                finally:
                    await self._reader.drop_continuation(stream)

    async def _forward_failure(
        self,
        stream: _client_stream.ClientStream,
        upstream: cluster_state.Upstream,
        exchange: sending.Exchange,
    ) -> None:
        body = await exchange.connection.body(FAILURE_LIMIT_BYTES)
        self._cluster.observe(upstream, False, self._clock())
        if stream.responder.started or self._placement.can_retry(stream):
            raise sending.Lost(f"status {exchange.head.status}")
        stream.responder.send(
            exchange.head.status,
            platform.forwarded_headers(exchange.head),
            body,
        )

    def _fields(
        self,
        stream: _client_stream.ClientStream,
        upstream: cluster_state.Upstream,
        placed: placement.Placement,
    ) -> platform.SendFields:
        admitted = stream.admitted
        return platform.SendFields(
            endpoint_id=upstream.endpoint.endpoint_id,
            time_left_s=admitted.deadline_s - self._clock(),
            organisation=admitted.organisation_name,
            priority=placement.engine_rank(admitted.priority, placed.deferred),
        )

    def _free_handle(self, source: _KvSource) -> None:
        """Free an unused KV handle in the background."""
        if not source.upstream.limit.share.take(self._clock()):
            LOG.info(
                "KV handle left to expire.",
                endpoint=source.upstream.endpoint.endpoint_id,
                reason="the engine's limit is used up",
            )
            return
        task = asyncio.get_running_loop().create_task(
            self._engines.free_kv_handle(
                source.upstream.pool,
                source.handle,
                self._cluster.signals_recorder(source.upstream, self._clock),
            )
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)

"""Forwards the events of an engine's response to the caller."""

import collections.abc

import attrs

from ... import decoding
from ... import platform
from .. import accounting
from .. import cluster_state
from .. import core
from .. import origins
from .. import sending
from . import _client_stream
from . import _pending_prefill
from . import _stream_reader

Clock = collections.abc.Callable[[], float]


@attrs.frozen(eq=False)
class EngineResponse:
    """The response of an engine to one send of a stream."""

    upstream: cluster_state.Upstream
    exchange: sending.Exchange
    #: Work of the engine until its first event.
    pending: _pending_prefill.PendingPrefill
    #: Whether the engine fetched the prompt's KV cache from another one.
    transferred: bool


@attrs.frozen
class _Forwarded:
    """What of a response was forwarded until it ended."""

    #: When its first bytes came, ``None`` if there were none.
    first_s: float | None
    #: Whether it ended within an event.
    incomplete: bool


class EventForwarder:
    """Forwards events, and tells what they show about engine and prompt."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        reader: _stream_reader.StreamReader,
        usage_counter: accounting.UsageCounter,
        quarantine: sending.RequestQuarantine,
        resolver: origins.OriginResolver,
        clock: Clock,
    ) -> None:
        self._cluster = cluster
        self._reader = reader
        self._usage_counter = usage_counter
        self._quarantine = quarantine
        self._resolver = resolver
        self._clock = clock

    async def forward(
        self, stream: _client_stream.ClientStream, response: EngineResponse
    ) -> None:
        """Forward all events; raises ``Lost`` if the stream breaks off."""
        exchange = response.exchange
        if not stream.responder.started:
            stream.responder.start(
                exchange.head.status,
                platform.forwarded_headers(exchange.head),
                None,
            )
        forwarded = await self._forward_chunks(stream, response)
        self._tell_quarantine(stream, response, forwarded)
        self._check_complete(response, forwarded)
        self._cluster.observe(response.upstream, True, self._clock())
        load = response.upstream.load
        if load is not None and forwarded.first_s is not None:
            held_s = self._clock() - forwarded.first_s
            load.record_slot_time(stream.admitted.priority, held_s)
        await self._reader.drop_continuation(stream)
        stream.take_over()
        stream.responder.end_chunks()

    async def _forward_chunks(
        self, stream: _client_stream.ClientStream, response: EngineResponse
    ) -> _Forwarded:
        """Forward events as they come, until the response ends."""
        upstream = response.upstream
        # A continuation that takes over replaces the stream's splitter.
        splitter = stream.splitter
        first_s: float | None = None
        told_sound = False
        while data := await self._reader.next_chunk(stream, response.exchange):
            if first_s is None:
                first_s = self._clock()
                self._note_begin(stream, response, first_s)
            complete = self._split(stream, upstream, data)
            if not complete:
                continue
            await self._reader.drop_continuation(stream)
            stream.take_over()
            self._note_origin(stream, upstream)
            stream.progressed_s = self._clock()
            begun_s = stream.progressed_s - first_s
            if not told_sound and begun_s >= sending.SOUND_AFTER_S:
                told_sound = True
                self._quarantine.prompt_sound(stream.admitted)
            self._cluster.observe_progress(upstream, stream.progressed_s)
            await stream.responder.write_chunk(complete)
        return _Forwarded(first_s, splitter.incomplete)

    def _note_begin(
        self,
        stream: _client_stream.ClientStream,
        response: EngineResponse,
        now_s: float,
    ) -> None:
        """Record that the first bytes of a response arrived."""
        exchange = response.exchange
        after_s = now_s - stream.admitted.request.started_s
        exchange.record.first_ms = round(after_s * 1000, 1)
        if response.transferred:
            response.pending.transferred(exchange.sent_s)
        else:
            response.pending.finished(exchange.sent_s)
        self._usage_counter.count_once(stream.admitted, stream.progress)

    def _split(
        self,
        stream: _client_stream.ClientStream,
        upstream: cluster_state.Upstream,
        data: bytes,
    ) -> bytes:
        """Return the events that ``data`` completes."""
        try:
            return stream.splitter.feed(data)
        except decoding.EventTooLarge as error:
            self._cluster.observe(upstream, False, self._clock())
            raise sending.Lost(f"event without end, {error}") from error

    def _note_origin(
        self,
        stream: _client_stream.ClientStream,
        upstream: cluster_state.Upstream,
    ) -> None:
        """Bind a stream to the software version of what began it."""
        progress = stream.progress
        if progress.origin is None:
            progress.origin = core.StreamOrigin.of(upstream.endpoint)
        if not stream.origin_noted:
            stream.origin_noted = True
            self._resolver.note(stream.admitted, progress.origin)

    def _tell_quarantine(
        self,
        stream: _client_stream.ClientStream,
        response: EngineResponse,
        forwarded: _Forwarded,
    ) -> None:
        """Report what the end of a response shows about its prompt."""
        exchange = response.exchange
        first_s = forwarded.first_s
        if forwarded.incomplete or first_s is None:
            # A response that ends with its connection may be broken off.
            self._quarantine.endpoint_lost(
                response.upstream,
                stream.admitted,
                True,
                exchange.sent_s,
                first_s,
            )
            return
        if not exchange.connection.delimited_by_eof:
            self._quarantine.request_sound(stream.admitted)
            return
        if self._clock() - first_s >= sending.STREAM_BEGINNING_S:
            self._quarantine.prompt_sound(stream.admitted)
        self._quarantine.request_ended(response.upstream, stream.admitted)

    def _check_complete(
        self, response: EngineResponse, forwarded: _Forwarded
    ) -> None:
        """Raise ``Lost`` if a response broke off before its end."""
        upstream = response.upstream
        if forwarded.incomplete:
            self._cluster.observe(upstream, False, self._clock())
            raise sending.Lost("stream ended within an event")
        ended_by_eof = response.exchange.connection.delimited_by_eof
        if forwarded.first_s is None and ended_by_eof:
            self._cluster.observe(upstream, False, self._clock())
            raise sending.Lost("connection ended before an event")

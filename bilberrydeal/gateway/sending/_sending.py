"""Sends one request to one endpoint."""

import asyncio
import collections.abc
import contextlib

import attrs

from ... import http1
from ... import platform
from ... import telemetry
from ...systems import placement
from .. import _uplink
from .. import cluster_state
from .. import core
from . import _quarantine
from . import _retry_policy

#: A rejection within this time means that the endpoint accepts nothing now,
#: in seconds; a later one means that the request waited there in vain.
IMMEDIATE_S = 0.05
#: Longest wait for the rest of a discarded response, in seconds.
DISCARD_TIMEOUT_S = 0.05
#: Largest such rest, in bytes.
DISCARD_LIMIT_BYTES = 65_536

Clock = collections.abc.Callable[[], float]


class NotOffered(Exception):
    """The request was never sent to the endpoint."""


class Rejected(Exception):
    """The endpoint did not run the request and will not."""


class Lost(Exception):
    """The endpoint may have run the request, but its response was lost."""


@attrs.frozen
class Patience:
    """When to ask whether a send is worth waiting for any longer."""

    #: Time after the send when this is asked first, in seconds.
    first_s: float
    #: Time between two such questions, in seconds.
    interval_s: float
    #: Returns whether to abandon the send.
    gives_up: collections.abc.Callable[[], bool]

    @contextlib.contextmanager
    def applied_to(
        self, limit: asyncio.Timeout
    ) -> collections.abc.Iterator[None]:
        """Let a timeout expire as soon as the send is abandoned."""
        loop = asyncio.get_running_loop()
        timer: asyncio.TimerHandle

        def ask() -> None:
            nonlocal timer
            if self.gives_up():
                limit.reschedule(loop.time())
            else:
                timer = loop.call_later(self.interval_s, ask)

        timer = loop.call_later(self.first_s, ask)
        try:
            yield
        finally:
            timer.cancel()


@attrs.frozen
class Exchange:
    """A send whose response has started."""

    #: The connection that carries it.
    connection: http1.ClientConnection
    #: Head of the response.
    head: http1.ResponseHead
    #: Outcome according to the head.
    response_class: platform.ResponseClass
    #: Estimated time when its last byte left this host, monotonic seconds.
    sent_s: float
    #: The send as logged.
    record: core.SendRecord


class Sender:
    """Sends requests and records their outcomes."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        retry_policy: _retry_policy.RetryPolicy,
        uplink: _uplink.Uplink,
        tracing: telemetry.Tracing,
        quarantine: _quarantine.RequestQuarantine,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._tracing = tracing
        self._cluster = cluster
        self._uplink = uplink
        self._retry_policy = retry_policy
        self._clock = clock

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        upstream: cluster_state.Upstream,
        fields: platform.SendFields,
        placed: placement.Placement | None = None,
        patience: Patience | None = None,
    ) -> collections.abc.AsyncIterator[Exchange]:
        """Send a request and wait for the head of its response.

        Raises :class:`NotOffered`, :class:`Rejected` or :class:`Lost`. The
        connection is reset if the response is incomplete on exit. From the
        first byte sent ``progress.may_have_run`` is set, until the endpoint
        proves that the request did not run. A prefill never sets it, as it
        does not run the request. ``patience`` may end the wait for the head
        before the deadline.
        """
        with self._tracing.span("endpoint", progress.traceparent) as span:
            span.set_attribute("endpoint", upstream.endpoint.endpoint_id)
            span.set_attribute("step", "read" if fields.prefill else "serve")
            fields = attrs.evolve(fields, traceparent=span.traceparent)
            async with self._exchange(
                admitted,
                progress,
                upstream,
                fields,
                placed,
                patience,
            ) as exchange:
                yield exchange

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        upstream: cluster_state.Upstream,
        fields: platform.SendFields,
        placed: placement.Placement | None,
        patience: Patience | None,
    ) -> collections.abc.AsyncIterator[Exchange]:
        record = self._new_record(admitted, upstream, fields, placed)
        progress.sends.append(record)
        size_bytes = len(admitted.request.body)
        priority = (
            admitted.priority if fields.priority is None else fields.priority
        )
        queued_s = self._clock()
        await self._uplink.acquire(size_bytes, priority)
        waited_s = self._clock() - queued_s
        record.link_wait_ms = round(waited_s * 1000, 1)
        _check_accepting(upstream, record, self._clock())
        try:
            connection = await upstream.pool.acquire(self._clock())
        except http1.NotSent as error:
            record.outcome = f"not offered, {error}"
            if not upstream.pool.exhausted:
                self._cluster.observe(upstream, False, self._clock())
                self._quarantine.endpoint_gone(upstream)
            raise NotOffered(str(error)) from error
        try:
            _check_accepting(upstream, record, self._clock())
        except NotOffered:
            upstream.pool.release(connection, self._clock())
            raise
        upstream.limit.share.take(self._clock())
        sent_s = self._clock()
        time_left_s = admitted.deadline_s - sent_s
        fields = attrs.evolve(
            fields,
            time_left_s=time_left_s,
            kv_fetch=self._fetch_address(placed),
        )
        may_have_run_before = progress.may_have_run
        progress.may_have_run = may_have_run_before or not fields.prefill
        try:
            head = await self._head(
                connection, admitted, progress, upstream, fields, patience
            )
            signals = platform.endpoint_signals(head)
            self._cluster.note_signals(
                upstream, signals, sent_s, self._clock()
            )
            if not platform.misdirected(head):
                self._quarantine.endpoint_responded(upstream, sent_s)
            response_class = platform.classify_response(
                head, connection.reused
            )
            if fields.prefill:
                response_class = platform.classify_prefill_response(
                    head, connection.reused
                )
            if response_class is platform.ResponseClass.NOT_RUN:
                progress.may_have_run = may_have_run_before
                upstream.misdirected |= platform.misdirected(head)
                if self._clock() - sent_s < IMMEDIATE_S:
                    upstream.note_rejection(self._clock())
                await self._discard_body(connection)
                raise Rejected(str(head.status))
            if response_class is platform.ResponseClass.INVALID:
                self._cluster.observe(upstream, False, self._clock())
                raise Lost(f"status {head.status} without proof of execution")
            upstream.note_acceptance(self._clock())
            if fields.prefill:
                self._retry_policy.record_prefill(progress)
            record.outcome = f"status {head.status}, incomplete"
            left_host_s = sent_s + self._uplink.transfer_s(size_bytes)
            yield Exchange(
                connection, head, response_class, left_host_s, record
            )
            record.outcome = f"status {head.status}"
        except NotOffered:
            progress.may_have_run = may_have_run_before
            record.outcome = "not offered"
            raise
        except asyncio.CancelledError:
            if not fields.prefill and not connection.done:
                self._quarantine.request_abandoned(
                    upstream, admitted, connection.responding, sent_s
                )
            raise
        except (Rejected, Lost) as error:
            record.outcome = f"{type(error).__name__.lower()}, {error}"
            raise
        except http1.IncompleteResponse as error:
            if not fields.prefill:
                self._quarantine.endpoint_lost(
                    upstream,
                    admitted,
                    connection.responding,
                    sent_s,
                    _first_event_s(admitted, record),
                )
            record.outcome += ", connection broke"
            self._cluster.observe(upstream, False, self._clock())
            raise Lost("connection broke") from error
        finally:
            upstream.pool.release(connection, self._clock())

    def _new_record(
        self,
        admitted: core.AdmittedRequest,
        upstream: cluster_state.Upstream,
        fields: platform.SendFields,
        placed: placement.Placement | None,
    ) -> core.SendRecord:
        at_s = self._clock() - admitted.request.started_s
        record = core.SendRecord(
            kind="read" if fields.prefill else "serve",
            endpoint=upstream.endpoint.endpoint_id,
            software_version=upstream.endpoint.software_version,
            at_ms=round(at_s * 1000, 1),
        )
        if placed is not None:
            record.expected_ms = round(placed.expected_s * 1000, 1)
            record.expected_prefill_ms = round(placed.prefill_s * 1000, 1)
            record.fetch_from = placed.fetch_from
            record.work_tokens = int(placed.work_tokens)
            record.deferred = placed.deferred
        return record

    def _fetch_address(self, placed: placement.Placement | None) -> str:
        """Return the address of the engine to fetch cached parts from."""
        if placed is None:
            return ""
        source = self._cluster.endpoints.get(placed.fetch_from or "")
        if source is None or not source.endpoint.ready:
            return ""
        return source.endpoint.address

    async def _head(
        self,
        connection: http1.ClientConnection,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        upstream: cluster_state.Upstream,
        fields: platform.SendFields,
        patience: Patience | None,
    ) -> http1.ResponseHead:
        sent = platform.forward_head(admitted.request, fields)
        try:
            connection.send(sent, admitted.request.body, admitted.request_id)
        except http1.NotSent as error:
            raise NotOffered("connection closed") from error
        self._retry_policy.record_send(admitted, progress, fields.prefill)
        try:
            async with asyncio.timeout(fields.time_left_s) as limit:
                if patience is None:
                    return await connection.head()
                with patience.applied_to(limit):
                    return await connection.head()
        except TimeoutError as error:
            self._cluster.observe(upstream, False, self._clock(), silent=True)
            raise Lost("no response before the timeout") from error

    async def _discard_body(self, connection: http1.ClientConnection) -> None:
        """Read the rest of a response so that the connection can be reused."""
        with contextlib.suppress(http1.IncompleteResponse, TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await connection.body(DISCARD_LIMIT_BYTES)


def _first_event_s(
    admitted: core.AdmittedRequest, record: core.SendRecord
) -> float | None:
    """Return when the first event of a send arrived, monotonic seconds."""
    if record.first_ms is None:
        return None
    return admitted.request.started_s + record.first_ms / 1000


def _check_accepting(
    upstream: cluster_state.Upstream,
    record: core.SendRecord,
    now_s: float,
) -> None:
    """Raise ``NotOffered`` for an endpoint that wants no request now."""
    reason = None
    if upstream.pause.left_s(now_s):
        reason = "the endpoint has asked for a pause"
    elif not upstream.endpoint.ready:
        reason = "the endpoint is leaving"
    elif upstream.limit.share.wait_s(now_s):
        reason = "the endpoint's limit is used up"
    if reason is not None:
        record.outcome = f"not offered, {reason}"
        raise NotOffered(reason)

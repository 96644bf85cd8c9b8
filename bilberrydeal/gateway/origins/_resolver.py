"""Finds what a resumed stream is bound to."""

import asyncio
import collections.abc
import math
import typing

from ... import errors
from ... import telemetry
from .. import cluster_state
from .. import core
from . import _announcer
from . import _memory
from . import _patience
from . import _rows
from . import _unknown
from . import _version_history
from . import _write_pace

LOG = telemetry.logger("origins")
#: Longest Retry-After of a stream whose origin is unknown, as a share of the
#: time that its caller has left: two more tries fit into the rest.
RETRY_SHARE = 1 / 3

Clock = collections.abc.Callable[[], float]
_Found = typing.TypeVar("_Found")
#: A search for what began a stream.
_Search = collections.abc.Coroutine[typing.Any, typing.Any, _Found]


class OriginResolver:
    """Binds streams that callers resume to the version that began them.

    A stream is bound to what this gateway remembers of it, or others have
    announced or stored, or to the only version that served lately. What may
    have begun at any of several versions is refused: no answer is better than
    one that is joined from two.
    """

    def __init__(
        self,
        memory: _memory.OriginMemory,
        history: _version_history.VersionHistory,
        rows: _rows.OriginRows,
        announcer: _announcer.OriginAnnouncer,
        cluster: cluster_state.ClusterState,
        decode_wait: cluster_state.DecodeWait,
        metrics: core.GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._memory = memory
        self._history = history
        self._rows = rows
        self._patience = _patience.ReadPatience(rows.reads, clock)
        self._announcer = announcer
        self._cluster = cluster
        self._decode_wait = decode_wait
        self._metrics = metrics
        self._clock = clock

    def note(
        self, admitted: core.AdmittedRequest, origin: core.StreamOrigin
    ) -> None:
        """Remember what began the stream of a request, and tell others.

        Called before the first event is sent to the caller, so that no stream
        that the caller can resume is unknown to the others. They are told only
        while several versions serve.
        """
        now_s = self._clock()
        for request_id in (admitted.request_id, admitted.resumed_id):
            if request_id:
                self._memory.note(request_id, origin, now_s)
        self._announcer.announce(now_s)
        if self._history.mixed(now_s):
            self._rows.note_begun()

    async def resolve(
        self, admitted: core.AdmittedRequest
    ) -> core.StreamOrigin:
        """Return what began a stream; raises ``Refusal`` if unknown.

        If no engine of its version decodes, it waits for one that may do so
        in time.
        """
        asked_s = self._clock()
        origin = await self._find(admitted, asked_s)
        if isinstance(origin, _unknown.UnknownOrigin):
            raise self._unknown_refusal(admitted, origin, asked_s)
        rest = cluster_state.StreamRest(
            origin.service, origin.software_version, _latest_s(admitted)
        )
        if not await self._decode_wait.wait(rest):
            self._metrics.count_resumption("absent")
            raise core.not_run_refusal(
                errors.ErrorCode.STREAM_ORIGIN_ABSENT,
                f"no engine of version {origin.software_version} decodes",
                self._absent_retry_s(rest),
            )
        self._metrics.count_resumption("bound")
        return origin

    def _unknown_refusal(
        self,
        admitted: core.AdmittedRequest,
        unknown: _unknown.UnknownOrigin,
        asked_s: float,
    ) -> errors.Refusal:
        """Return the refusal of a stream that can't be bound, and log it."""
        cause = unknown.cause.value
        self._metrics.count_resumption(cause)
        LOG.info(
            "Stream origin unknown.",
            resumes=admitted.resumed_id.decode("latin-1"),
            cause=cause,
            reason=unknown.reason,
            took_s=round(self._clock() - asked_s, 3),
        )
        return core.not_run_refusal(
            errors.ErrorCode.STREAM_ORIGIN_UNKNOWN,
            "the software version that began the stream is not known: "
            + cause,
            self._unknown_retry_s(admitted, unknown.cause),
        )

    def _unknown_retry_s(
        self, admitted: core.AdmittedRequest, cause: _unknown.UnknownCause
    ) -> float:
        """Return the time until another try may find the origin.

        After a write the row is there, and another gateway may read it at
        once. What is doubtful stays so; the fewest tries cost least.
        """
        left_s = max(admitted.deadline_s - self._clock(), 0.0)
        longest_s = left_s * RETRY_SHARE
        if cause is _unknown.UnknownCause.UNSTORED:
            return min(self._rows.write_interval_s(), longest_s)
        if cause is _unknown.UnknownCause.UNREAD:
            return min(_write_pace.WRITE_INTERVAL_S, longest_s)
        return longest_s

    async def _find(
        self, admitted: core.AdmittedRequest, asked_s: float
    ) -> core.StreamOrigin | _unknown.UnknownOrigin:
        """Return what began a stream, or why that is not known."""
        origin = await self._find_any(admitted, asked_s)
        if isinstance(origin, _unknown.UnknownOrigin):
            return origin
        if self._is_doubtful(origin):
            return _unknown.UnknownOrigin(
                _unknown.UnknownCause.DOUBTFUL, "its engine began anew"
            )
        return origin

    async def _find_any(
        self, admitted: core.AdmittedRequest, asked_s: float
    ) -> core.StreamOrigin | _unknown.UnknownOrigin:
        """Return what is known of a stream, though it may be doubtful."""
        self._rows.observe()
        known = self._known(admitted)
        if known is not None:
            return known
        if self._rows.versions.loaded and self._fresh(asked_s):
            only = self._only_version(admitted.service)
            if only is not None:
                return only
        return await _first_found(
            self._ask_peers(admitted), self._read_store(admitted, asked_s)
        )

    async def _ask_peers(
        self, admitted: core.AdmittedRequest
    ) -> core.StreamOrigin | None:
        """Return what other gateways say that a stream is bound to."""
        if not admitted.resumed_id:
            return None
        left_s = admitted.deadline_s - self._clock()
        # If nobody knows the stream, its caller waits for all of that.
        limit_s = min(admitted.route.target_latency_s, left_s)
        found = await self._announcer.ask(
            _memory.digest(admitted.resumed_id), limit_s
        )
        if found is None or found.service != admitted.service:
            return None
        return found

    async def _read_store(
        self, admitted: core.AdmittedRequest, asked_s: float
    ) -> core.StreamOrigin | _unknown.UnknownOrigin:
        """Return what the store tells of a stream, or why that is nothing."""
        try:
            found = await self._read(admitted, asked_s)
        except (TimeoutError, errors.BilberrydealError) as error:
            return _unknown.UnknownOrigin(
                _unknown.UnknownCause.UNREAD, str(error) or "timeout"
            )
        return found or _unknown.UnknownOrigin(_unknown.UnknownCause.UNSTORED)

    async def _read(
        self, admitted: core.AdmittedRequest, asked_s: float
    ) -> core.StreamOrigin | None:
        """Return what the store tells of a stream."""
        if admitted.resumed_id:
            await self._patience.wait(
                admitted,
                asked_s,
                lambda: self._rows.streams.read(admitted.resumed_id),
            )
        known = self._known(admitted)
        if known is not None:
            return known
        await self._patience.wait(
            admitted, asked_s, lambda: self._rows.versions.read(asked_s)
        )
        return self._only_version(admitted.service)

    def _known(
        self, admitted: core.AdmittedRequest
    ) -> core.StreamOrigin | None:
        found = self._memory.find(admitted.resumed_id, self._clock())
        # A route may lead to another service by now.
        if found is None or found.service != admitted.service:
            return None
        return found

    def _fresh(self, now_s: float) -> bool:
        """Return whether no stream can be of a version that is unknown here.

        Engines of a new version begin none for longer than that.
        """
        return self._cluster.endpoints_freshness.is_fresh(now_s)

    def _absent_retry_s(self, rest: cluster_state.StreamRest) -> float:
        """Return the time until an engine of the version may decode."""
        decodes_in_s = self._decode_wait.decodes_in_s(rest, self._clock())
        if math.isinf(decodes_in_s):
            decodes_in_s = self._decode_wait.role_switch_s(rest.service)
        if math.isinf(decodes_in_s):
            return core.FAILED_RETRY_S
        return max(decodes_in_s, core.FAILED_RETRY_S)

    def _only_version(self, service: str) -> core.StreamOrigin | None:
        """Return what stands for the only version that served lately."""
        versions = self._history.recent(service, self._clock())
        if len(versions) != 1:
            return None
        return core.StreamOrigin(service, "", 0, versions.pop())

    def _is_doubtful(self, origin: core.StreamOrigin) -> bool:
        """Return whether the engine had another version under the same id.

        The stream may have begun just after the engine started again, before
        its entry told so. That entry may be gone by now.
        """
        if self._rows.engines.began_anew(origin, self._clock()):
            return True
        upstream = self._cluster.endpoints.get(origin.endpoint_id)
        return (
            upstream is not None
            and upstream.endpoint.started_ms != origin.started_ms
            and not upstream.has_version(origin.software_version)
        )


def _latest_s(admitted: core.AdmittedRequest) -> float:
    """Return when an engine must decode so that its caller has an event.

    The objective of the route is left for that event.
    """
    route = admitted.route
    gives_up_s = admitted.request.started_s + route.stall_limit_s
    return min(gives_up_s, admitted.deadline_s) - route.target_latency_s


async def _first_found(
    asking: _Search[core.StreamOrigin | None],
    reading: _Search[core.StreamOrigin | _unknown.UnknownOrigin],
) -> core.StreamOrigin | _unknown.UnknownOrigin:
    """Return the origin that is found first, or why the store tells none."""
    asked = asyncio.ensure_future(asking)
    read = asyncio.ensure_future(reading)
    try:
        await asyncio.wait([asked, read], return_when=asyncio.FIRST_COMPLETED)
        if not asked.done() and isinstance(
            read.result(), _unknown.UnknownOrigin
        ):
            await asked
        told = asked.result() if asked.done() else None
        return told or await read
    finally:
        asked.cancel()
        read.cancel()
        # Each ends before what it waits for is used again.
        await asyncio.gather(asked, read, return_exceptions=True)

"""Finds what a resumed stream is bound to."""

import asyncio
import collections.abc
import typing

from ... import errors
from ... import telemetry
from .. import cluster_state
from .. import core
from . import _announcer
from . import _memory
from . import _rows
from . import _version_history

LOG = telemetry.logger("origins")
#: Retry-After while the origin is unknown, in intervals between writes: until
#: then the gateway that began the stream has stored it.
UNKNOWN_RETRY_WRITES = 2.0
#: Longest wait for an answer of other gateways, in seconds.
ASK_LIMIT_S = 0.15

Clock = collections.abc.Callable[[], float]


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
        metrics: core.GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._memory = memory
        self._history = history
        self._rows = rows
        self._announcer = announcer
        self._cluster = cluster
        self._metrics = metrics
        self._clock = clock

    def bind(
        self, admitted: core.AdmittedRequest, origin: core.StreamOrigin
    ) -> bool:
        """Bind a request to a version, and tell other gateways.

        Returns ``False``, and does nothing, while one version serves: a stream
        is then bound by its first event. Called before a request is sent to an
        engine that may send this event.
        """
        versions = self._history.recent(admitted.service, self._clock())
        if len(versions) < 2:
            return False
        self.note(admitted, origin)
        self.announce(admitted, origin)
        return True

    def announce(
        self, admitted: core.AdmittedRequest, origin: core.StreamOrigin
    ) -> None:
        """Tell other gateways what the stream of a request is bound to."""
        self._announcer.announce(admitted.request_id, origin)

    def note(
        self, admitted: core.AdmittedRequest, origin: core.StreamOrigin
    ) -> None:
        """Remember what began the stream of a request."""
        now_s = self._clock()
        self._memory.note(admitted.request_id, origin, now_s)
        if admitted.resumed_id:
            self._memory.note(admitted.resumed_id, origin, now_s)

    async def resolve(
        self, admitted: core.AdmittedRequest
    ) -> core.StreamOrigin:
        """Return what began a stream; raises ``Refusal`` if unknown."""
        origin = await self._find(admitted)
        if origin is None or self._is_doubtful(origin):
            self._metrics.count_resumption("unknown")
            raise core.not_run_refusal(
                errors.ErrorCode.STREAM_ORIGIN_UNKNOWN,
                "the software version that began the stream is not known",
                self._rows.pause_s() * UNKNOWN_RETRY_WRITES,
            )
        if not self._decodes(origin):
            self._metrics.count_resumption("absent")
            raise core.not_run_refusal(
                errors.ErrorCode.STREAM_ORIGIN_ABSENT,
                f"no engine of version {origin.software_version} decodes",
                self._absent_retry_s(admitted.service),
            )
        self._metrics.count_resumption("bound")
        return origin

    async def _find(
        self, admitted: core.AdmittedRequest
    ) -> core.StreamOrigin | None:
        asked_s = self._clock()
        self._rows.observe()
        known = self._known(admitted)
        if known is not None:
            return known
        if self._rows.loaded and self._fresh(asked_s):
            only = self._only_version(admitted.service)
            if only is not None:
                return only
        return await _first_found(
            self._ask_peers(admitted), self._read_rows(admitted, asked_s)
        )

    async def _ask_peers(
        self, admitted: core.AdmittedRequest
    ) -> core.StreamOrigin | None:
        """Return what other gateways say that a stream is bound to."""
        left_s = admitted.deadline_s - self._clock()
        found = await self._announcer.ask(
            _memory.digest(admitted.resumed_id), min(ASK_LIMIT_S, left_s)
        )
        if found is None or found.service != admitted.service:
            return None
        return found

    async def _read_rows(
        self, admitted: core.AdmittedRequest, asked_s: float
    ) -> core.StreamOrigin | None:
        """Return what the rows of all gateways say."""
        # A new stream would have begun by then.
        limit_s = admitted.route.target_latency_s
        if not await self._read(asked_s, limit_s):
            return None
        return self._known(admitted) or self._only_version(admitted.service)

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

    def _absent_retry_s(self, service: str) -> float:
        """Return the time until an engine that prefills may decode."""
        configuration = self._cluster.configuration
        found = configuration.services.get(service) if configuration else None
        if found is None or found.engine is None:
            return core.FAILED_RETRY_S
        return max(found.engine.role_switch_s, core.FAILED_RETRY_S)

    async def _read(self, asked_s: float, limit_s: float) -> bool:
        """Read what other gateways stored; return whether that worked."""
        next_s = self._rows.read_s + self._rows.read_interval_s()
        wait_s = next_s - asked_s
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(max(wait_s, 0.0))
                await self._rows.read(asked_s)
        except (TimeoutError, errors.BilberrydealError) as error:
            LOG.info("Origins not read.", reason=str(error) or "timeout")
            return False
        return True

    def _only_version(self, service: str) -> core.StreamOrigin | None:
        """Return what stands for the only version that served lately."""
        versions = self._history.recent(service, self._clock())
        if len(versions) != 1:
            return None
        return core.StreamOrigin(service, "", 0, versions.pop())

    def _is_doubtful(self, origin: core.StreamOrigin) -> bool:
        """Return whether the engine has another version under the same id.

        The stream may have begun just after the engine started again, before
        its entry told so.
        """
        upstream = self._cluster.endpoints.get(origin.endpoint_id)
        return (
            upstream is not None
            and upstream.endpoint.started_ms != origin.started_ms
            and not upstream.has_version(origin.software_version)
        )

    def _decodes(self, origin: core.StreamOrigin) -> bool:
        """Return whether an engine of the version can run the rest."""
        return any(
            upstream.load is not None
            and upstream.endpoint.ready
            and not upstream.load.prefill_only
            and upstream.has_version(origin.software_version)
            for upstream in self._cluster.of_service(origin.service)
        )


async def _first_found(
    *searches: collections.abc.Coroutine[
        typing.Any, typing.Any, core.StreamOrigin | None
    ],
) -> core.StreamOrigin | None:
    """Return what the first search finds; ``None`` if all find nothing."""
    tasks = [asyncio.ensure_future(search) for search in searches]
    try:
        for finished in asyncio.as_completed(tasks):
            found = await finished
            if found is not None:
                return found
    finally:
        for task in tasks:
            task.cancel()
        # Each ends before its locks are used again.
        await asyncio.gather(*tasks, return_exceptions=True)
    return None

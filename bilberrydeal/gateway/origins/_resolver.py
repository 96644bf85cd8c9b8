"""Finds what a resumed stream is bound to."""

import asyncio
import collections.abc

from ... import errors
from ... import telemetry
from .. import cluster_state
from .. import core
from . import _memory
from . import _rows
from . import _version_history

LOG = telemetry.logger("origins")
#: Retry-After while the origin is unknown, in intervals between writes: until
#: then the gateway that began the stream has stored it.
UNKNOWN_RETRY_WRITES = 2.0

Clock = collections.abc.Callable[[], float]


class OriginResolver:
    """Binds streams that callers resume to the version that began them.

    A stream is bound to what this gateway remembers of it or others have
    stored, or to the only version that served lately. What may have begun at
    any of several versions is refused: no answer is better than one that is
    joined from two.
    """

    def __init__(
        self,
        memory: _memory.OriginMemory,
        history: _version_history.VersionHistory,
        rows: _rows.OriginRows,
        cluster: cluster_state.ClusterState,
        metrics: core.GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._memory = memory
        self._history = history
        self._rows = rows
        self._cluster = cluster
        self._metrics = metrics
        self._clock = clock

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
                self._absent_retry_s(origin),
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

    def _absent_retry_s(self, origin: core.StreamOrigin) -> float:
        """Return the time until an engine of the version may decode."""
        configuration = self._cluster.configuration
        found = (
            configuration.services.get(origin.service)
            if configuration
            else None
        )
        if found is None or found.engine is None:
            return core.FAILED_RETRY_S
        switch_s = found.engine.role_switch_s
        now_s = self._clock()
        waits_s = [
            upstream.decodes_in_s(switch_s, now_s)
            for upstream in self._cluster.of_service(origin.service)
            if upstream.load is not None
            and upstream.load.prefill_only
            and upstream.has_version(origin.software_version)
        ]
        return max(min(waits_s, default=switch_s), core.FAILED_RETRY_S)

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

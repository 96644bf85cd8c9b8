"""Waits for an engine that may run the rest of a stream."""

import asyncio
import collections.abc
import math

import attrs

from . import _cluster_state
from . import _lost_engines
from . import _upstream

#: Interval at which a waiting request looks for an engine, in seconds.
CHECK_INTERVAL_S = 0.05

Clock = collections.abc.Callable[[], float]


@attrs.frozen
class StreamRest:
    """The rest of a stream that is bound to a software version."""

    service: str
    software_version: str
    #: When an engine must decode for the caller to get it, monotonic seconds.
    latest_s: float
    #: Engines at which it broke off.
    tried: frozenset[str] = frozenset()


class DecodeWait:
    """Lets the rest of a stream wait for a change of an engine's role.

    If the only decode engine of a version is lost, another one of it is
    ordered to decode. What waits for that is neither sent nor run anywhere.

    Example::

        if not await decode_wait.wait(rest):
            raise refusal
    """

    def __init__(
        self, cluster: _cluster_state.ClusterState, clock: Clock
    ) -> None:
        self._cluster = cluster
        self._lost_engines = _lost_engines.LostEngines(cluster, clock)
        self._clock = clock

    async def wait(self, rest: StreamRest) -> bool:
        """Return whether an engine decodes, waiting for it if that helps.

        It does not if no engine of the version could decode in time.
        """
        while not await self._decodes(rest):
            now_s = self._clock()
            decodes_s = now_s + self.decodes_in_s(rest, now_s)
            if decodes_s > rest.latest_s:
                return False
            await asyncio.sleep(CHECK_INTERVAL_S)
        return True

    def decodes_in_s(self, rest: StreamRest, now_s: float) -> float:
        """Return the time until an engine that prefills may decode.

        It is infinite if none of the version prefills.
        """
        switch_s = self.role_switch_s(rest.service)
        return min(
            (
                upstream.decodes_in_s(switch_s, now_s)
                for upstream in self._of_version(rest)
                if upstream.load is not None and upstream.load.prefill_only
            ),
            default=math.inf,
        )

    def role_switch_s(self, service: str) -> float:
        """Return the time of a change of role, infinite if not known."""
        configuration = self._cluster.configuration
        found = configuration.services.get(service) if configuration else None
        if found is None or found.engine is None:
            return math.inf
        return found.engine.role_switch_s

    async def _decodes(self, rest: StreamRest) -> bool:
        decoding = [
            upstream
            for upstream in self._of_version(rest)
            if upstream.decodes
            and upstream.view.available
            and not upstream.changing_role(self._clock())
            and upstream.endpoint.endpoint_id not in rest.tried
        ]
        # One that has not failed is not asked.
        for upstream in sorted(decoding, key=lambda each: each.failed):
            if not await self._lost_engines.is_lost(upstream):
                return True
        return False

    def _of_version(self, rest: StreamRest) -> list[_upstream.Upstream]:
        return [
            upstream
            for upstream in self._cluster.of_service(rest.service)
            if upstream.endpoint.ready
            and upstream.has_version(rest.software_version)
        ]

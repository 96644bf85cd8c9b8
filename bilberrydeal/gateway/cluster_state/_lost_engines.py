"""Finds out whether engines are gone before their entries lapse."""

import asyncio
import collections.abc

import attrs

from ... import platform
from . import _cluster_state
from . import _upstream

#: Time for which an answer holds, in seconds.
VALID_S = 0.25

Clock = collections.abc.Callable[[], float]


@attrs.frozen
class _Check:
    """A call to an engine that may be lost."""

    upstream: _upstream.Upstream
    began_s: float
    task: "asyncio.Task[bool]"


class LostEngines:
    """Tells whether an engine breaks off connections.

    The entry of an engine that ended lapses only after some heartbeats. One
    at which the last send failed may have ended, and is asked for its report:
    that runs nothing, and counts neither as an attempt nor as a retry.

    Example::

        if await lost_engines.is_lost(upstream):
            ...
    """

    def __init__(
        self, cluster: _cluster_state.ClusterState, clock: Clock
    ) -> None:
        self._cluster = cluster
        self._clock = clock
        self._engines = platform.EngineApi()
        #: The latest call to each engine.
        self._checks: dict[str, _Check] = {}

    async def is_lost(self, upstream: _upstream.Upstream) -> bool:
        """Return whether an engine at which a send failed breaks off calls."""
        if not upstream.failed:
            return False
        # Others wait for the same call.
        return await asyncio.shield(self._check(upstream).task)

    def _check(self, upstream: _upstream.Upstream) -> _Check:
        now_s = self._clock()
        for endpoint_id, check in list(self._checks.items()):
            if check.task.done() and now_s - check.began_s > VALID_S:
                del self._checks[endpoint_id]
        endpoint_id = upstream.endpoint.endpoint_id
        found = self._checks.get(endpoint_id)
        if found is None or found.upstream is not upstream:
            task = asyncio.get_running_loop().create_task(self._ask(upstream))
            found = _Check(upstream, now_s, task)
            self._checks[endpoint_id] = found
        return found

    async def _ask(self, upstream: _upstream.Upstream) -> bool:
        now_s = self._clock()
        if upstream.pause.left_s(now_s):
            return False
        if not upstream.limit.share.take(now_s):
            return False
        return await self._engines.breaks_connections(
            upstream.pool,
            self._cluster.signals_recorder(upstream, self._clock),
        )

"""Keeps what others need of streams in the store while versions differ."""

import asyncio
import collections.abc

from .. import cluster_state
from . import _access
from . import _engine_history
from . import _memory
from . import _shared_calls
from . import _stream_rows
from . import _stream_sweep
from . import _version_history
from . import _version_rows
from . import _write_pace

#: Most calls of one gateway a second: two a read of the versions, and two a
#: write of streams. Reads of single streams share them.
ORIGIN_CALLS_PER_S = (
    2.0 / _version_rows.READ_INTERVAL_S + 2.0 / _write_pace.WRITE_INTERVAL_S
)

#: Time for which a write waits for further streams, in seconds.
GATHER_S = 0.02


class OriginRows:
    """The rows of streams and of software versions."""

    def __init__(
        self,
        access: _access.StoreAccess,
        incarnation: str,
        memory: _memory.OriginMemory,
        history: _version_history.VersionHistory,
        cluster: cluster_state.ClusterState,
        writes_versions: collections.abc.Callable[[], bool],
    ) -> None:
        self._client = access.client
        self._clock = access.clock
        self._memory = memory
        self._history = history
        self._cluster = cluster
        self._pace = _write_pace.WritePace(
            incarnation, lambda: cluster.members
        )
        #: Which versions the engine of each id had.
        self.engines = _engine_history.EngineHistory(access.kept_s)
        #: Reads that are under way.
        self.reads = _shared_calls.SharedCalls()
        #: Which software versions serve.
        self.versions = _version_rows.VersionRows(
            access, self.reads, history, cluster, writes_versions
        )
        #: What began each stream.
        self.streams = _stream_rows.StreamRows(
            access, memory, self.reads, self._pace
        )
        self._sweep = _stream_sweep.StreamSweep(access, self.streams)
        self._writing = asyncio.Lock()
        #: Set while streams have begun that no write was tried for.
        self._begun = asyncio.Event()
        self._era: int | None = None
        #: Whether several versions served lately.
        self._mixed = False

    def write_interval_s(self) -> float:
        """Return the mean interval between two writes of this gateway."""
        return self._pace.interval_s()

    def pause_s(self) -> float:
        """Return the interval between two runs.

        As long as the versions can't be read it grows with the number of
        gateways; else the writes are paced by themselves.
        """
        if self.versions.loaded:
            return _write_pace.WRITE_INTERVAL_S
        return self._pace.interval_s()

    def observe(self) -> None:
        """Record which versions are in service now, and at which engines."""
        now_s = self._clock()
        for service, versions in self._cluster.software_versions().items():
            self._history.observe(service, versions, now_s)
        for upstream in self._cluster.endpoints.values():
            if upstream.load is not None:
                self.engines.observe(upstream.endpoint, now_s)

    async def run_once(self) -> None:
        """Write the versions and streams that are not stored yet."""
        self.observe()
        if self._client.era != self._era:
            self._era = self._client.era
            self.versions.loaded = False
            self._memory.forget_writes()
        if not self.versions.loaded:
            await self.versions.read(self._clock())
        await self.write_versions()
        await self._write_streams()
        if self._cluster.is_first_gateway:
            await self._sweep.run_once()

    def note_begun(self) -> None:
        """Let a stream be stored soon that has begun now."""
        self._begun.set()

    async def write_begun(self) -> None:
        """Wait until streams have begun, and write them if a write is due."""
        await self._begun.wait()
        await asyncio.sleep(GATHER_S)
        self._begun.clear()
        await self._write_streams()

    async def _write_streams(self) -> None:
        self._observe_mixed()
        async with self._writing:
            await self.streams.write(may_add=self._mixed)

    async def write_versions(self) -> None:
        """Write the versions in service that are not stored yet."""
        self.observe()
        await self.versions.write()

    def _observe_mixed(self) -> None:
        mixed = self._history.mixed(self._clock())
        if mixed and not self._mixed:
            self._pace.spread(self._clock())
        self._mixed = mixed

"""Keeps the origins of streams in the store while versions differ."""

import asyncio
import collections.abc

import attrs

from ... import errors
from ... import ports
from ... import store
from ... import telemetry
from .. import cluster_state
from .. import core
from . import _memory
from . import _version_history

LOG = telemetry.logger("origins")
#: Table with the origins of streams, a row for each slot of a gateway.
STREAM_ORIGINS = "stream_origins"
#: Table with one row for each service: its software versions.
ENGINE_VERSIONS = "engine_versions"
#: Shortest interval between writes of new origins, in seconds.
WRITE_INTERVAL_S = 0.2
#: Interval between checks whether the versions in service were written, in
#: seconds. No stream begins at a new one before that is over many times.
VERSIONS_INTERVAL_S = 0.2
#: A gateway that doesn't write versions adds one that is still missing after
#: so long, in seconds: those that write them may be cut off.
ADD_AFTER_S = 1.0
#: Most such writes of all gateways together a second.
WRITES_PER_S = 40.0
#: Rows are removed at this multiple of the time for which origins are kept.
STALE_FACTOR = 2.0
#: Shortest interval between reads of all rows, in seconds.
READ_INTERVAL_S = 0.05
#: Most such reads of all gateways together a second.
READS_PER_S = 400.0
#: Most calls of one gateway a second: two a read, and two a write.
ORIGIN_CALLS_PER_S = 2.0 / READ_INTERVAL_S + 2.0 / WRITE_INTERVAL_S
#: Most rows that one transaction writes: full ones have less than 1 MB.
WRITES_LIMIT = 16
#: Most rows that it removes.
REMOVALS_LIMIT = 50

Clock = collections.abc.Callable[[], float]
#: Returns the store's clock, ``None`` before its first response.
StoreClock = collections.abc.Callable[[], float | None]


@attrs.frozen
class OriginGroup:
    """Streams that one process of an engine began."""

    origin: core.StreamOrigin
    #: Digests of the ids of their requests.
    streams: tuple[str, ...]


@attrs.frozen
class OriginRow:
    """A slot of one gateway as stored."""

    #: The store's clock when it was written, in seconds.
    written_s: float
    groups: tuple[OriginGroup, ...]


@attrs.frozen
class VersionsRow:
    """Software versions of a service as stored."""

    #: Versions in service.
    present: tuple[str, ...]
    #: The store's clock when others were last in service, in seconds.
    gone_s: dict[str, float] = attrs.field(factory=dict)
    #: The store's clock when each one in service was written first, in
    #: seconds; one without it has been in service for long.
    since_s: dict[str, float] = attrs.field(factory=dict)


class OriginRows:
    """Reads and writes the rows.

    A stream's origin is stored after its first event has been sent: what was
    not stored is not known to others, and a resumption of it is refused.
    """

    def __init__(
        self,
        client: store.StoreClient,
        incarnation: str,
        memory: _memory.OriginMemory,
        history: _version_history.VersionHistory,
        kept_s: collections.abc.Callable[[], float],
        cluster: cluster_state.ClusterState,
        store_s: StoreClock,
        writes_versions: collections.abc.Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._client = client
        self._incarnation = incarnation
        self._memory = memory
        self._history = history
        self._kept_s = kept_s
        self._cluster = cluster
        self._store_s = store_s
        #: Whether this gateway is one of those that write versions.
        self._writes_versions = writes_versions
        self._clock = clock
        #: Whether the rows were read in the present era of the store.
        self.loaded = False
        #: When the last successful read began, monotonic seconds.
        self.read_s = float("-inf")
        self._reading = asyncio.Lock()
        self._writing_versions = asyncio.Lock()
        self._era: int | None = None
        #: Versions in service by service, as stored.
        self._stored: dict[str, tuple[str, ...]] = {}
        #: Since when a version in service is not stored, as far as is known
        #: here, by service, monotonic seconds.
        self._missing_since_s: dict[str, float] = {}
        #: Numbers of the slots of this gateway that are stored.
        self._written: dict[int, None] = {}
        #: Keys of rows that are of no use any more.
        self._stale: list[str] = []

    def pause_s(self) -> float:
        """Return the interval between two writes of this gateway."""
        return max(WRITE_INTERVAL_S, self._cluster.members / WRITES_PER_S)

    def read_interval_s(self) -> float:
        """Return the shortest interval between two reads of this gateway."""
        return max(READ_INTERVAL_S, self._cluster.members / READS_PER_S)

    def observe(self) -> None:
        """Record which versions are in service now."""
        now_s = self._clock()
        for service, versions in self._cluster.software_versions().items():
            self._history.observe(service, versions, now_s)

    async def run_once(self) -> None:
        """Write the versions and origins that are not stored yet."""
        self.observe()
        if self._client.era != self._era:
            self._era = self._client.era
            self.loaded = False
            self._memory.forget_writes()
        if not self.loaded:
            await self.read(self._clock())
        await self.write_versions()
        if self._history.mixed(self._clock()):
            await self._write_origins()

    async def write_versions(self) -> None:
        """Write the versions in service that are not stored yet."""
        self.observe()
        if not self.loaded:
            return
        async with self._writing_versions:
            if self._writes_versions():
                await self._write_versions()
            else:
                await self._add_versions()

    async def read(self, asked_s: float) -> None:
        """Read all rows, unless that was done since ``asked_s``."""
        async with self._reading:
            if self.loaded and self.read_s >= asked_s:
                return
            began_s = self._clock()
            versions = await self._client.scan_all(ENGINE_VERSIONS, "")
            origins = await self._client.scan_all(STREAM_ORIGINS, "")
            self._apply_versions(store.decode_rows(versions, VersionsRow))
            self._apply_origins(store.decode_rows(origins, OriginRow))
            self.loaded = True
            self.read_s = began_s

    def _apply_versions(self, rows: dict[str, VersionsRow]) -> None:
        now_s = self._clock()
        store_s = self._store_s()
        # Rows that a restore took away are to be written again.
        self._stored = {key: row.present for key, row in rows.items()}
        for service, row in rows.items():
            self._learn_new(service, row, now_s)
            # Those that left while no gateway ran have just gone.
            self._history.observe(service, row.present, now_s)
            for version, gone_s in row.gone_s.items():
                age_s = 0.0 if store_s is None else max(store_s - gone_s, 0.0)
                self._history.observe(service, [version], now_s - age_s)

    def _learn_new(self, service: str, row: VersionsRow, now_s: float) -> None:
        """Learn since when versions have been in service."""
        store_s = self._store_s()
        if store_s is None:
            return
        for version in row.present:
            age_s = max(store_s - row.since_s.get(version, 0.0), 0.0)
            self._cluster.new_versions.learn(service, version, now_s - age_s)

    def _apply_origins(self, rows: dict[str, OriginRow]) -> None:
        store_s = self._store_s()
        learned: dict[str, core.StreamOrigin] = {}
        self._stale = []
        for key, row in rows.items():
            if store_s is not None and self._is_over(store_s - row.written_s):
                self._stale.append(key)
                continue
            for group in row.groups:
                learned |= dict.fromkeys(group.streams, group.origin)
        self._memory.learn(learned)

    async def _write_versions(self) -> None:
        for service, versions in self._cluster.software_versions().items():
            present = tuple(sorted(versions))
            if self._stored.get(service) != present:
                await self._write_service(service, present)

    async def _add_versions(self) -> None:
        """Add versions that nobody else has stored in time."""
        now_s = self._clock()
        for service, versions in self._cluster.software_versions().items():
            if versions.issubset(self._stored.get(service, ())):
                self._missing_since_s.pop(service, None)
                continue
            since_s = self._missing_since_s.setdefault(service, now_s)
            if now_s - since_s >= ADD_AFTER_S:
                await self._write_service(service, tuple(versions), True)

    async def _write_service(
        self, service: str, present: tuple[str, ...], adds: bool = False
    ) -> None:
        """Store the versions of a service unless another gateway has.

        With ``adds`` those that are stored already are kept.
        """
        store_s = self._store_s()
        if store_s is None:
            return
        key = ports.RowKey(ENGINE_VERSIONS, service)
        found = await self._client.read_one(key)
        before = _decoded(found)
        if adds:
            present = tuple(sorted({*before.present, *present}))
        if before.present != present:
            row = _updated(before, present, store_s, self._kept_s())
            check = ports.Check(
                ENGINE_VERSIONS, service, found.version if found else 0
            )
            write = ports.Write(ENGINE_VERSIONS, service, store.encode(row))
            try:
                await self._client.commit(
                    ports.Transaction((check,), (write,))
                )
            except errors.TableConflict:
                LOG.info("Versions written by another.", service=service)
                return
            LOG.info(
                "Software versions stored.",
                service=service,
                present=present,
                before=before.present,
            )
        self._stored[service] = present

    async def _write_origins(self) -> None:
        store_s = self._store_s()
        slots = self._memory.unwritten(self._clock())[:WRITES_LIMIT]
        if store_s is None or not slots:
            return
        self._drop_expired()
        removed = self._stale[:REMOVALS_LIMIT]
        writes = [ports.Write(STREAM_ORIGINS, key, None) for key in removed]
        for slot in slots:
            # Streams that begin during the write are for the next one.
            slot.unwritten = False
            value = store.encode(_origin_row(slot, store_s))
            writes.append(
                ports.Write(STREAM_ORIGINS, self._key(slot.number), value)
            )
            self._written[slot.number] = None
        try:
            await self._client.commit(ports.Transaction((), tuple(writes)))
        except errors.BilberrydealError:
            for slot in slots:
                slot.unwritten = True
            raise
        self._stale = [key for key in self._stale if key not in removed]

    def _drop_expired(self) -> None:
        """Let the rows of slots that are no longer kept be removed."""
        oldest = self._memory.oldest()
        for number in [each for each in self._written if each < oldest]:
            del self._written[number]
            self._stale.append(self._key(number))

    def _key(self, number: int) -> str:
        return f"{self._incarnation}/{number}"

    def _is_over(self, age_s: float) -> bool:
        """Return whether a row of such an age is of no use any more."""
        return age_s > STALE_FACTOR * self._kept_s()


def _decoded(row: ports.Row | None) -> VersionsRow:
    """Return the versions in a row; one that is unreadable has none."""
    if row is None:
        return VersionsRow(())
    return store.decode_rows([row], VersionsRow).get(row.key, VersionsRow(()))


def _updated(
    before: VersionsRow,
    present: tuple[str, ...],
    store_s: float,
    kept_s: float,
) -> VersionsRow:
    """Return a row with the versions that are in service now."""
    gone_s = {
        version: at_s
        for version, at_s in before.gone_s.items()
        if store_s - at_s < kept_s
    }
    gone_s |= dict.fromkeys(before.present, store_s)
    since_s = {
        version: at_s
        for version, at_s in before.since_s.items()
        if version in present
    }
    since_s |= {
        version: store_s
        for version in present
        if version not in before.present
    }
    return VersionsRow(
        present,
        {
            version: at_s
            for version, at_s in gone_s.items()
            if version not in present
        },
        since_s,
    )


def _origin_row(slot: _memory.Slot, store_s: float) -> OriginRow:
    groups: dict[core.StreamOrigin, list[str]] = {}
    for stream, origin in slot.origins.items():
        groups.setdefault(origin, []).append(stream)
    return OriginRow(
        round(store_s, 3),
        tuple(
            OriginGroup(origin, tuple(streams))
            for origin, streams in groups.items()
        ),
    )

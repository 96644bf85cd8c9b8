"""Keeps which software versions serve in the store."""

import asyncio
import collections.abc

import attrs

from ... import errors
from ... import ports
from ... import store
from ... import telemetry
from .. import cluster_state
from . import _access
from . import _shared_calls
from . import _version_history

LOG = telemetry.logger("origins")
#: Table with one row for each service: its software versions.
ENGINE_VERSIONS = "engine_versions"
#: Interval between checks whether the versions in service were written, in
#: seconds. No stream begins at a new one before that is over many times.
VERSIONS_INTERVAL_S = 0.2
#: A gateway that doesn't write versions adds one that is still missing after
#: so long, in seconds: those that write them may be cut off.
ADD_AFTER_S = 1.0
#: Shortest interval between reads of all rows, in seconds.
READ_INTERVAL_S = 0.05
#: Most such reads of all gateways together a second.
READS_PER_S = 400.0


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


class VersionRows:
    """Reads and writes the rows of all services."""

    def __init__(
        self,
        access: _access.StoreAccess,
        calls: _shared_calls.SharedCalls,
        history: _version_history.VersionHistory,
        cluster: cluster_state.ClusterState,
        writes_versions: collections.abc.Callable[[], bool],
    ) -> None:
        self._client = access.client
        self._kept_s = access.kept_s
        self._store_s = access.store_s
        self._clock = access.clock
        self._calls = calls
        self._history = history
        self._cluster = cluster
        #: Whether this gateway is one of those that write versions.
        self._writes_versions = writes_versions
        #: Whether the rows were read in the present era of the store.
        self.loaded = False
        #: When the last successful read began, monotonic seconds.
        self._read_s = float("-inf")
        self._writing = asyncio.Lock()
        #: Versions in service by service, as stored.
        self._stored: dict[str, tuple[str, ...]] = {}
        #: Since when a version in service is not stored, as far as is known
        #: here, by service, monotonic seconds.
        self._missing_since_s: dict[str, float] = {}

    async def write(self) -> None:
        """Write the versions in service that are not stored yet."""
        if not self.loaded:
            return
        async with self._writing:
            if self._writes_versions():
                await self._write_versions()
            else:
                await self._add_versions()

    async def read(self, asked_s: float) -> None:
        """Read all rows, unless that was done since ``asked_s``.

        What began to be read before that may be too old. Raises if the first
        attempt fails.
        """
        while not (self.loaded and self._read_s >= asked_s):
            await self._calls.run(ENGINE_VERSIONS, self._read)

    async def _read(self) -> None:
        pause_s = self._read_s + self._read_interval_s() - self._clock()
        await asyncio.sleep(max(pause_s, 0.0))
        began_s = self._clock()
        rows = await self._client.scan_all(ENGINE_VERSIONS, "", retried=False)
        self._apply(store.decode_rows(rows, VersionsRow))
        self.loaded = True
        self._read_s = began_s

    def _read_interval_s(self) -> float:
        """Return the shortest interval between two reads of this gateway."""
        return max(READ_INTERVAL_S, self._cluster.members / READS_PER_S)

    def _apply(self, rows: dict[str, VersionsRow]) -> None:
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

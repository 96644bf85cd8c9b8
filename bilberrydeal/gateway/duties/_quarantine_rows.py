"""Keeps quarantines in the store for the time when all gateways restart.

Each gateway reads the rows when it starts and after the store was away; only
the lease holder writes them.
"""

import collections.abc
import hashlib
import typing

import attrs

from ... import errors
from ... import leases
from ... import ports
from ... import store
from ... import telemetry
from ...systems import quarantine
from .. import accounting

LOG = telemetry.logger("quarantine")
#: Table with one row for each quarantine.
QUARANTINES = "quarantines"
#: Interval between checks for rows to write, in seconds.
QUARANTINE_ROWS_INTERVAL_S = 1.0


@attrs.frozen
class QuarantineRow:
    """A quarantine as stored."""

    parts: tuple[str, ...]
    #: When it was decided, Unix seconds.
    decided_s: float
    #: When it was last renewed, Unix seconds.
    renewed_s: float
    #: Crashes that made it so.
    crashes: int
    #: The engines that crashed.
    engines: tuple[str, ...]


class QuarantineState(typing.Protocol):
    """The quarantines of this gateway."""

    def in_force(self) -> tuple[quarantine.Quarantine, ...]:
        """Return the quarantines in force."""

    def restore(self, found: quarantine.Quarantine) -> None:
        """Add a quarantine that was stored."""


class Connectivity(typing.Protocol):
    """When the store was last regained."""

    @property
    def recovered_s(self) -> float:
        """Return when the store was last regained."""


class QuarantineRows:
    """Reads and, while this gateway holds the lease, writes the rows."""

    def __init__(
        self,
        client: store.StoreClient,
        lease: leases.Lease,
        state: QuarantineState,
        connectivity: Connectivity,
        clock: accounting.ClusterClock,
        steady_s: collections.abc.Callable[[], float],
    ) -> None:
        self._client = client
        self._lease = lease
        self._state = state
        self._connectivity = connectivity
        self._clock = clock
        self._steady_s = steady_s
        #: Stored rows by key, ``None`` until they are read.
        self._rows: dict[str, QuarantineRow | None] | None = None
        self._recovered_s = float("-inf")
        self._held = False

    async def run_once(self) -> None:
        """Read the rows if that is due, and write what has changed."""
        recovered_s = self._connectivity.recovered_s
        held = self._lease.is_held(self._client.now_s())
        if recovered_s != self._recovered_s or (held and not self._held):
            # Others may have written.
            self._rows = None
        if self._rows is None:
            self._rows = await self._read()
            self._recovered_s = recovered_s
        self._held = held
        if held:
            await self._write_changes(self._rows)

    async def _read(self) -> dict[str, QuarantineRow | None]:
        found = await self._client.scan_all(QUARANTINES, "")
        rows: dict[str, QuarantineRow | None] = {}
        for row in found:
            try:
                rows[row.key] = store.decode(row.value, QuarantineRow)
            except store.RowInvalid as error:
                LOG.warning(
                    "Stored quarantine unreadable.",
                    key=row.key,
                    reason=str(error),
                )
                rows[row.key] = None
        for each in rows.values():
            if each is not None:
                self._state.restore(self._from_row(each))
        return rows

    async def _write_changes(
        self, rows: dict[str, QuarantineRow | None]
    ) -> None:
        present = {
            _key(each): self._to_row(each) for each in self._state.in_force()
        }
        writes = [
            ports.Write(QUARANTINES, key, store.encode(row))
            for key, row in present.items()
            if _differs(rows.get(key), row)
        ]
        writes += [
            ports.Write(QUARANTINES, key, None)
            for key in rows.keys() - present
        ]
        if not writes:
            return
        checks = self._lease.checks(self._client.now_s())
        try:
            await self._client.commit(
                ports.Transaction(tuple(checks), tuple(writes))
            )
        except (errors.OutcomeUnknown, errors.TableConflict):
            # The rows are read again, since it may have been written.
            self._rows = None
            raise
        self._rows = dict(present)
        LOG.info("Quarantines stored.", rows=len(present), writes=len(writes))

    def _to_row(self, found: quarantine.Quarantine) -> QuarantineRow:
        unix_s = self._clock.now_s() - self._steady_s()
        return QuarantineRow(
            tuple(part.decode("latin-1") for part in sorted(found.parts)),
            round(unix_s + found.decided_s, 1),
            round(unix_s + found.renewed_s, 1),
            found.crashes,
            found.engines,
        )

    def _from_row(self, row: QuarantineRow) -> quarantine.Quarantine:
        steady_s = self._steady_s()
        unix_s = self._clock.now_s() - steady_s
        renewed_s = min(row.renewed_s - unix_s, steady_s)
        return quarantine.Quarantine(
            frozenset(part.encode("latin-1") for part in row.parts),
            min(row.decided_s - unix_s, renewed_s),
            renewed_s,
            row.crashes,
            row.engines,
        )


def _key(found: quarantine.Quarantine) -> str:
    """Return a key of bounded length for any parts."""
    joined = b",".join(sorted(found.parts))
    return hashlib.sha256(joined).hexdigest()[:32]


def _differs(before: QuarantineRow | None, after: QuarantineRow) -> bool:
    """Return whether a row has to be written; clocks differ a little."""
    if before is None:
        return True
    return (
        after.renewed_s - before.renewed_s >= quarantine.PROBE_INTERVAL_S / 2
    )

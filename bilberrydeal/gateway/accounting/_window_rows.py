"""Rows of settled usage windows, and of the era that settles them."""

import attrs

from ... import leases
from ... import ports
from ... import store
from ... import telemetry

LOG = telemetry.logger("window_rows")
#: Table with one row for each settled window.
WINDOWS = "windows"
#: Table with one row: the era of the store in which windows are settled.
ERAS = "usage_eras"
#: Key of that row.
CURRENT_ERA = "current"
#: Digits of a window's number in its key, so that keys sort by number.
KEY_DIGITS = 14


@attrs.frozen
class WindowRow:
    """A settled window; its counts never change."""

    #: Requests that began, by organisation.
    counts: dict[str, int]
    #: Whether the platform accepted the report.
    reported: bool
    #: The store's clock when the row was written, in seconds.
    settled_s: float = 0.0


#: Stands for a row that cannot be read: its window may have been reported.
UNREADABLE = WindowRow(counts={}, reported=True)


@attrs.frozen
class EraRow:
    """An era of the store."""

    #: The era; ``None`` if the store names none.
    era: int | None
    #: The store's clock when a holder first saw the era, in seconds.
    begun_s: float


class WindowRows:
    """Reads and writes settled windows under the lease of the duty."""

    def __init__(self, client: store.StoreClient, lease: leases.Lease) -> None:
        self._client = client
        self._lease = lease

    async def read(self) -> dict[int, WindowRow]:
        """Return the windows that lease holders settled."""
        rows = await self._client.scan_all(WINDOWS, "")
        found = store.decode_rows(rows, WindowRow)
        return {
            int(row.key): found.get(row.key, UNREADABLE)
            for row in rows
            if row.key.isascii() and row.key.isdecimal()
        }

    async def write(
        self, window: int, row: WindowRow, version: int | None
    ) -> None:
        """Write a window, on condition of its version if there is one."""
        key = f"{window:0{KEY_DIGITS}d}"
        await self._commit(
            ports.Write(WINDOWS, key, store.encode(row)), version
        )

    async def begin_era(self, store_s: float) -> float:
        """Return when the present era of the store was first seen by a holder.

        The first holder of an era notes the present time of the store's
        clock, so that all later holders of the era know it.
        """
        found = await self._client.read_one(ports.RowKey(ERAS, CURRENT_ERA))
        era = self._client.era
        if found is not None:
            # An unreadable row is replaced.
            known = store.decode_rows([found], EraRow).get(found.key)
            if known is not None and known.era == era:
                return known.begun_s
        row = EraRow(era, store_s)
        write = ports.Write(ERAS, CURRENT_ERA, store.encode(row))
        await self._commit(write, found.version if found is not None else 0)
        LOG.info("Windows are settled in a new era.", era=era)
        return store_s

    async def _commit(self, write: ports.Write, version: int | None) -> None:
        checks: tuple[ports.Check, ...] = ()
        if version is not None:
            checks = (ports.Check(write.table, write.key, version),)
        transaction = self._lease.transaction(
            self._client.now_s(), (write,), checks
        )
        await self._client.commit(transaction)

"""Removes the rows of gateways that have ended."""

import collections.abc

import attrs

from ... import errors
from ... import leases
from ... import ports
from ... import store
from ... import telemetry
from . import _usage

LOG = telemetry.logger("usage")
#: Most rows that are read, and removed, at once.
PAGE_ROWS = 25
#: Interval between two pages, in seconds.
PAGE_INTERVAL_S = 4.0
#: Longest interval between two pages that shows that this process and the
#: store were there all the time, in seconds.
PAGE_GAP_S = 3.0 * PAGE_INTERVAL_S
#: Shortest time without a write after which a row may be removed, in seconds;
#: a multiple of the times for which a gateway that is silent is waited for,
#: and rows that a restore took away are remembered.
ENDED_S = 120.0
#: The same in times for which a silent gateway counts as alive.
ENDED_ALIVE = 3.0
#: The same in times from the start of a window until its report is due.
ENDED_WINDOWS = 3.0

#: Returns whether all windows of a row are done, and were settled longer ago
#: than the time given, in seconds.
IsOver = collections.abc.Callable[[_usage.GatewayRow, float], bool]


@attrs.frozen
class _Observed:
    """A version of a row, and since when it is there."""

    version: int
    #: When it was first seen, in seconds on this process's clock.
    since_s: float


class EndedRows:
    """Goes through the table of gateways page by page, from a cursor.

    Only the holder of the lease removes rows. A row is removed if it was not
    written for long by the store's clock, and if this process saw it
    unchanged for as long while it could read the store: after an outage, a
    restore, or a pause of this process, all rows are watched anew.

    Example::

        await ended_rows.run_once(now_s)
    """

    def __init__(
        self,
        client: store.StoreClient,
        lease: leases.Lease,
        is_over: IsOver,
        store_s: collections.abc.Callable[[], float | None],
        alive_s: collections.abc.Callable[[], float],
        window_due_s: float,
    ) -> None:
        self._client = client
        self._lease = lease
        self._is_over = is_over
        self._store_s = store_s
        self._alive_s = alive_s
        self._window_due_s = window_due_s
        self._observed: dict[str, _Observed] = {}
        #: Keys that were read since the start of the table.
        self._passed: set[str] = set()
        #: Key of the last row that was read.
        self._cursor = ""
        self._era: int | None = None
        #: When the last page was read.
        self._read_s = float("-inf")

    async def run_once(self, now_s: float) -> None:
        """Read the next page and remove what has ended, if the lease is held.

        ``now_s`` is the time on the clock of the lease.
        """
        gap_s = now_s - self._read_s
        if not self._lease.is_held(now_s) or gap_s > PAGE_GAP_S:
            self._forget()
        if not self._lease.is_held(now_s):
            return
        try:
            page = await self._next_page(now_s)
            await self._remove(self._ended(page, now_s))
        except errors.TableConflict:
            # A row was written meanwhile, so it is watched anew.
            LOG.info("Row of a gateway written again.")
        except errors.BilberrydealError:
            self._forget()
            raise

    def _forget(self) -> None:
        self._observed.clear()
        self._passed.clear()
        self._cursor = ""

    async def _next_page(self, now_s: float) -> tuple[ports.Row, ...]:
        page = await self._client.scan_page(
            _usage.GATEWAYS, "", self._cursor, PAGE_ROWS
        )
        if self._client.era != self._era:
            self._forget()
            self._era = self._client.era
            page = ()
        self._read_s = now_s
        for row in page:
            self._observe(row, now_s)
        if len(page) < PAGE_ROWS:
            self._begin_again()
        else:
            self._cursor = page[-1].key
        return page

    def _observe(self, row: ports.Row, now_s: float) -> None:
        self._passed.add(row.key)
        known = self._observed.get(row.key)
        if known is None or known.version != row.version:
            self._observed[row.key] = _Observed(row.version, now_s)

    def _begin_again(self) -> None:
        """Go back to the start of the table; drop rows that are gone."""
        for key in self._observed.keys() - self._passed:
            del self._observed[key]
        self._passed.clear()
        self._cursor = ""

    def _ended(
        self, page: tuple[ports.Row, ...], now_s: float
    ) -> list[ports.Row]:
        """Return the rows of a page that nothing needs any more."""
        store_s = self._store_s()
        if store_s is None:
            return []
        ended_s = self._ended_s()
        silent = [
            row
            for row in page
            if row.key != self._lease.holder
            and now_s - self._observed[row.key].since_s >= ended_s
        ]
        found = store.decode_rows(silent, _usage.GatewayRow)
        return [
            row
            for row in silent
            if row.key in found
            and store_s - found[row.key].written_s >= ended_s
            and self._is_over(found[row.key], ended_s)
        ]

    def _ended_s(self) -> float:
        """Return the time without a write after which a row may go."""
        return max(
            ENDED_S,
            ENDED_ALIVE * self._alive_s(),
            ENDED_WINDOWS * self._window_due_s,
        )

    async def _remove(self, rows: list[ports.Row]) -> None:
        """Remove rows unless one of them was written since it was read."""
        if not rows:
            return
        checks = tuple(
            ports.Check(row.table, row.key, row.version) for row in rows
        )
        writes = tuple(ports.Write(row.table, row.key, None) for row in rows)
        await self._client.commit(
            self._lease.transaction(self._client.now_s(), writes, checks)
        )
        LOG.info("Rows of ended gateways removed.", rows=len(rows))

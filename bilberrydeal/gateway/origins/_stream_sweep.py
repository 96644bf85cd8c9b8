"""Removes the rows of streams whose gateways ended."""

from ... import ports
from ... import store
from ... import telemetry
from . import _access
from . import _stream_rows

LOG = telemetry.logger("origins")
#: Most rows that are read, and removed, at once.
PAGE_ROWS = 100
#: Shortest interval between two pages, in seconds.
PAGE_INTERVAL_S = 1.0


class StreamSweep:
    """Goes through the table page by page, from a cursor.

    After the last page it rests for the time for which streams are kept:
    before that nothing else can be over.

    Example::

        await sweep.run_once()
    """

    def __init__(
        self,
        access: _access.StoreAccess,
        rows: _stream_rows.StreamRows,
    ) -> None:
        self._client = access.client
        self._kept_s = access.kept_s
        self._clock = access.clock
        self._rows = rows
        #: Key of the last row that was read.
        self._cursor = ""
        #: When the next page may be read, monotonic seconds.
        self._next_s = float("-inf")

    async def run_once(self) -> None:
        """Remove what is over from the next page, if that is due."""
        now_s = self._clock()
        if now_s < self._next_s:
            return
        self._next_s = now_s + PAGE_INTERVAL_S
        page = await self._client.scan_page(
            _stream_rows.STREAM_BEGINS, "", self._cursor, PAGE_ROWS
        )
        await self._remove(self._over(page))
        if len(page) < PAGE_ROWS:
            self._cursor = ""
            self._next_s = now_s + self._kept_s()
            return
        self._cursor = page[-1].key

    def _over(self, page: tuple[ports.Row, ...]) -> list[str]:
        """Return the keys of rows that are of no use any more."""
        found = store.decode_rows(page, _stream_rows.StreamRow)
        return [key for key, row in found.items() if self._rows.is_stale(row)]

    async def _remove(self, keys: list[str]) -> None:
        if not keys:
            return
        writes = tuple(
            ports.Write(_stream_rows.STREAM_BEGINS, key, None) for key in keys
        )
        await self._client.commit(ports.Transaction((), writes))
        LOG.info("Origins of ended gateways removed.", rows=len(keys))

"""Keeps one row for each stream in the store while versions differ."""

import collections.abc

import attrs

from ... import errors
from ... import ports
from ... import store
from ... import telemetry
from .. import core
from . import _access
from . import _memory
from . import _shared_calls
from . import _write_pace

LOG = telemetry.logger("origins")
#: Table with the origins of streams, by the digests of their requests' ids.
STREAM_BEGINS = "stream_begins"
#: Most rows that one transaction writes and removes.
ENTRIES_LIMIT = 100
#: Most bytes of the rows that it writes, before they are encoded for the
#: transfer.
BATCH_BYTES = 500_000
#: Longest time for which removals wait until they fill a transaction, in
#: seconds.
REMOVAL_DELAY_S = 5.0
#: Rows are of no use at this multiple of the time for which streams are kept.
STALE_FACTOR = 2.0


@attrs.frozen
class StreamRow:
    """What began a stream, as stored."""

    #: The store's clock when it was written, in seconds.
    written_s: float
    origin: core.StreamOrigin


class StreamRows:
    """Reads single rows, and writes those of this gateway.

    A stream's origin is stored soon after its first event. Until then only the
    gateways that were told of it know it.
    """

    def __init__(
        self,
        access: _access.StoreAccess,
        memory: _memory.OriginMemory,
        calls: _shared_calls.SharedCalls,
        pace: _write_pace.WritePace,
    ) -> None:
        self._client = access.client
        self._kept_s = access.kept_s
        self._store_s = access.store_s
        self._clock = access.clock
        self._memory = memory
        self._pace = pace
        self._calls = calls
        #: When rows that this gateway may have written are to be removed, by
        #: digest, monotonic seconds.
        self._removal_s: dict[str, float] = {}

    async def read(self, request_id: bytes) -> None:
        """Read the row of one stream; raises if the first attempt fails."""
        stream = _memory.digest(request_id)
        await self._calls.run(stream, lambda: self._read(stream))

    async def write(self, may_add: bool) -> None:
        """Remove rows that are over and, with ``may_add``, write new ones."""
        while self._pace.ready(self._clock()):
            rows = self._batch() if may_add else {}
            removed = self._removable(ENTRIES_LIMIT - len(rows), bool(rows))
            if not rows and not removed:
                return
            self._pace.spend(self._clock())
            await self._commit(rows, removed)

    async def _read(self, stream: str) -> None:
        key = ports.RowKey(STREAM_BEGINS, stream)
        row = await self._client.read_attempt(key)
        if row is None:
            return
        found = store.decode_rows([row], StreamRow).get(stream)
        if found is None or self.is_stale(found):
            return
        self._memory.learn_stream(stream, found.origin, self._clock())

    def is_stale(self, row: StreamRow) -> bool:
        """Return whether a row is of no use any more."""
        store_s = self._store_s()
        if store_s is None:
            return False
        return store_s - row.written_s > STALE_FACTOR * self._kept_s()

    def _batch(self) -> dict[str, bytes]:
        """Return the rows to write next, by key."""
        store_s = self._store_s()
        if store_s is None:
            return {}
        rows: dict[str, bytes] = {}
        size_bytes = 0
        waiting = self._memory.unwritten(self._clock(), ENTRIES_LIMIT)
        for stream, origin in waiting:
            value = store.encode(StreamRow(round(store_s, 3), origin))
            size_bytes += len(value)
            if rows and size_bytes > BATCH_BYTES:
                break
            rows[stream] = value
        return rows

    def _removable(self, limit: int, may_be_few: bool) -> list[str]:
        """Return the rows to remove next."""
        now_s = self._clock()
        due: list[str] = []
        for stream, at_s in self._removal_s.items():
            if at_s > now_s or len(due) == limit:
                break
            due.append(stream)
        if not due or may_be_few or len(due) == limit:
            return due
        late_s = now_s - self._removal_s[due[0]]
        return due if late_s >= REMOVAL_DELAY_S else []

    async def _commit(
        self, rows: dict[str, bytes], removed: list[str]
    ) -> None:
        """Write and remove rows in one transaction."""
        removed = [stream for stream in removed if stream not in rows]
        writes = [
            ports.Write(STREAM_BEGINS, stream, value)
            for stream, value in rows.items()
        ]
        writes += [
            ports.Write(STREAM_BEGINS, stream, None) for stream in removed
        ]
        self._let_expire(rows)
        try:
            await self._client.commit(ports.Transaction((), tuple(writes)))
        except errors.BilberrydealError as error:
            LOG.info(
                "Origins not stored.", streams=len(rows), reason=str(error)
            )
            raise
        self._memory.mark_written(rows)
        for stream in removed:
            self._removal_s.pop(stream, None)

    def _let_expire(self, streams: collections.abc.Iterable[str]) -> None:
        """Let rows be removed in time, also if no response tells of them."""
        at_s = self._clock() + self._kept_s()
        for stream in streams:
            self._removal_s.pop(stream, None)
            self._removal_s[stream] = at_s

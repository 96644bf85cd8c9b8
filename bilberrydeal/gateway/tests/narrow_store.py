"""A table store behind a narrow link, on the event loop's time."""

import asyncio

from ... import ports
from . import memory

#: Bytes of a row beside its key and value.
ROW_BYTES = 90
#: Time for an answer without rows, in seconds.
TRIP_S = 0.005


class NarrowStore(memory.MemoryStore):
    """Lets responses take as long as their bytes need on a shared link."""

    def __init__(self, shared: memory.MemoryStore, mbps: float) -> None:
        super().__init__()
        self._shared = shared
        self._bytes_per_s = mbps * 125_000
        #: When the link is free again.
        self._free_s = float("-inf")
        #: Most rows of one response so far.
        self.most_rows = 0
        #: Entries of each transaction.
        self.transactions: list[ports.Transaction] = []
        #: Set while responses are sent.
        self.answers = asyncio.Event()
        self.answers.set()
        #: Responses that were sent.
        self.responses = 0

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        """Return rows."""
        rows = await self._shared.read(keys, timeout_s)
        await self._transfer(tuple(row for row in rows if row))
        return rows

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout_s: float
    ) -> tuple[ports.Row, ...]:
        """Return rows of a table."""
        rows = await self._shared.scan(table, prefix, after, limit, timeout_s)
        await self._transfer(rows)
        return rows

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Execute a transaction."""
        self.transactions.append(transaction)
        await asyncio.sleep(TRIP_S)
        return await self._shared.commit(transaction, timeout_s)

    async def _transfer(self, rows: tuple[ports.Row, ...]) -> None:
        self.most_rows = max(self.most_rows, len(rows))
        now_s = asyncio.get_running_loop().time()
        size_bytes = sum(
            ROW_BYTES + len(row.key) + len(row.value) * 4 // 3 for row in rows
        )
        began_s = max(self._free_s, now_s)
        self._free_s = began_s + size_bytes / self._bytes_per_s
        await asyncio.sleep(TRIP_S + self._free_s - now_s)
        await self.answers.wait()
        self.responses += 1

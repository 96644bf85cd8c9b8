"""In-memory implementation of the table service port."""

import bisect

from bilberrydeal import errors
from bilberrydeal import ports


class MemoryTable:
    """Implements :class:`bilberrydeal.ports.TableService` in memory."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, ports.Row]] = {}
        self._keys: dict[str, list[str]] = {}
        self._version = 0

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        """Return the rows in the order of ``keys``."""
        return tuple(self._row(key.table, key.key) for key in keys)

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[ports.Row, ...]:
        """Return up to ``limit`` rows with ``prefix`` in key order."""
        keys = self._keys.get(table, [])
        first = bisect.bisect_left(keys, prefix)
        if after:
            first = max(first, bisect.bisect_right(keys, after))
        rows = []
        for key in keys[first : first + limit]:
            if not key.startswith(prefix):
                break
            rows.append(self._tables[table][key])
        return tuple(rows)

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Check the row versions and apply the writes of a transaction."""
        for check in transaction.checks:
            row = self._row(check.table, check.key)
            version = row.version if row else 0
            if version != check.version:
                raise errors.TableConflict(
                    table=check.table, key=check.key, found_version=version
                )
        return ports.Committed(
            versions=tuple(map(self._write, transaction.writes))
        )

    def _row(self, table: str, key: str) -> ports.Row | None:
        return self._tables.get(table, {}).get(key)

    def _write(self, write: ports.Write) -> int:
        rows = self._tables.setdefault(write.table, {})
        keys = self._keys.setdefault(write.table, [])
        if write.value is None:
            if rows.pop(write.key, None) is not None:
                del keys[bisect.bisect_left(keys, write.key)]
            return 0
        if write.key not in rows:
            bisect.insort(keys, write.key)
        self._version += 1
        rows[write.key] = ports.Row(
            table=write.table,
            key=write.key,
            version=self._version,
            value=write.value,
        )
        return self._version

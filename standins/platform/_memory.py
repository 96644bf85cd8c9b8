"""A transactional table in memory, behind the product's port."""

from bilberrydeal import errors
from bilberrydeal import ports


class MemoryTable:
    """Implements :class:`bilberrydeal.ports.TableService` in memory."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], ports.Row] = {}
        self._version = 0

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        """Return the rows in the order of ``keys``."""
        return tuple(self._rows.get((key.table, key.key)) for key in keys)

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
        timeout_s: float,
    ) -> tuple[ports.Row, ...]:
        """Return rows in key order."""
        found = [
            row
            for (name, key), row in self._rows.items()
            if name == table and key.startswith(prefix) and key > after
        ]
        found.sort(key=lambda row: row.key)
        return tuple(found[:limit])

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Carry out a transaction."""
        for check in transaction.checks:
            row = self._rows.get((check.table, check.key))
            found = row.version if row else 0
            if found != check.version:
                raise errors.TableConflict(
                    table=check.table, key=check.key, found_version=found
                )
        return ports.Committed(
            versions=tuple(map(self._write, transaction.writes))
        )

    def _write(self, write: ports.Write) -> int:
        place = (write.table, write.key)
        if write.value is None:
            self._rows.pop(place, None)
            return 0
        self._version += 1
        self._rows[place] = ports.Row(
            table=write.table,
            key=write.key,
            version=self._version,
            value=write.value,
        )
        return self._version

"""A table service and feed in memory."""

import attrs

from ... import errors
from ... import ports


@attrs.define
class MemoryStore:
    """Rows with versions from one counter; faults are switched on."""

    version: int = 0
    rows: dict[tuple[str, str], ports.Row] = attrs.field(factory=dict)
    #: Transactions that are carried out and not answered.
    lose_next: int = 0
    #: Transactions that are kept for :meth:`deliver` and not answered.
    hold_next: int = 0
    held: list[ports.Transaction] = attrs.field(factory=list)
    #: Whether every call fails.
    away: bool = False

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        """Return rows."""
        self._check()
        return tuple(self.rows.get((key.table, key.key)) for key in keys)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout_s: float
    ) -> tuple[ports.Row, ...]:
        """Return rows of a table."""
        self._check()
        return tuple(
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key.startswith(prefix) and key > after
        )[:limit]

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Carry out a transaction."""
        self._check()
        if self.hold_next:
            self.hold_next -= 1
            self.held.append(transaction)
            raise errors.OutcomeUnknown("commit")
        committed = self._apply(transaction)
        if self.lose_next:
            self.lose_next -= 1
            raise errors.OutcomeUnknown("commit")
        return committed

    def deliver(self) -> int:
        """Carry out what was held back; return how many had an effect."""
        done = 0
        for transaction in self.held:
            try:
                self._apply(transaction)
                done += 1
            except errors.TableConflict:
                continue
        self.held.clear()
        return done

    def _apply(self, transaction: ports.Transaction) -> ports.Committed:
        for check in transaction.checks:
            row = self.rows.get((check.table, check.key))
            found = row.version if row else 0
            if found != check.version:
                raise errors.TableConflict(check.table, check.key, found)
        self.version += 1
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop((write.table, write.key), None)
                continue
            self.rows[write.table, write.key] = ports.Row(
                write.table, write.key, self.version, write.value
            )
        return ports.Committed((self.version,) * len(transaction.writes))

    def _check(self) -> None:
        if self.away:
            raise errors.StoreUnavailable("call")

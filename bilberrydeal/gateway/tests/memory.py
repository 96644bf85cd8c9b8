"""A table store in memory."""

import attrs

from ... import errors
from ... import ports


@attrs.define
class MemoryStore:
    """Rows with versions from one counter, and faults that tests switch on."""

    version: int = 0
    rows: dict[tuple[str, str], ports.Row] = attrs.field(factory=dict)
    #: Number of next transactions to execute without a response.
    lose_next: int = 0
    #: Number of next transactions to delay until :meth:`deliver`.
    delay_next: int = 0
    delayed: list[ports.Transaction] = attrs.field(factory=list)
    #: Whether every call fails.
    unreachable: bool = False
    #: Rises with each restore, ``None`` for a store that does not tell it.
    era: int | None = None

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
        """Execute a transaction."""
        self._check()
        if transaction.era not in (None, self.era):
            raise errors.OutcomeUnknown("commit")
        if self.delay_next:
            self.delay_next -= 1
            self.delayed.append(transaction)
            raise errors.OutcomeUnknown("commit")
        committed = self._apply(transaction)
        if self.lose_next:
            self.lose_next -= 1
            raise errors.OutcomeUnknown("commit")
        return committed

    def copy(self) -> dict[tuple[str, str], ports.Row]:
        """Return the rows for a later restore."""
        return dict(self.rows)

    def restore(self, copied: dict[tuple[str, str], ports.Row]) -> None:
        """Come back from an older copy."""
        self.rows = dict(copied)
        versions = [row.version for row in copied.values()]
        self.version = max(versions, default=0)
        self.era = (self.era or 0) + 1

    def deliver(self) -> int:
        """Execute delayed transactions; return how many were committed."""
        done = 0
        for transaction in self.delayed:
            try:
                self._apply(transaction)
                done += 1
            except errors.TableConflict:
                continue
        self.delayed.clear()
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
        if self.unreachable:
            raise errors.StoreUnavailable("call")

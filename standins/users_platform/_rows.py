"""Versioned rows with one version counter and a feed of changes."""

import bisect
import collections
import collections.abc
import itertools

import attrs


@attrs.frozen
class Row:
    """A row, or the tombstone of a removed row."""

    table: str
    key: str
    #: Base64 text as received; ``None`` for a removed row.
    value: str | None
    version: int


class HistoryGone(Exception):
    """The history since the given version was dropped or never existed."""


@attrs.frozen
class _Write:
    """A row as written, for rebuilding an older state."""

    row: Row
    #: When it was written, in seconds.
    at_s: float


class _Table:
    """The rows of one table in the order of their keys, and their changes.

    A call takes no longer the more rows other tables have.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self._keys: list[str] = []
        #: Changes in the order of their versions.
        self._changes: list[Row] = []

    def set(self, row: Row) -> None:
        """Set or remove a row."""
        if row.value is None:
            if self.rows.pop(row.key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, row.key)]
            return
        if row.key not in self.rows:
            bisect.insort(self._keys, row.key)
        self.rows[row.key] = row

    def note(self, change: Row) -> None:
        """Add a change to the history."""
        self._changes.append(change)

    def scan(self, first: str, last: str, limit: int) -> list[Row]:
        """Return rows of a key range in order; ``last`` is excluded."""
        begin = bisect.bisect_left(self._keys, first)
        end = bisect.bisect_left(self._keys, last) if last else None
        keys = itertools.islice(self._keys, begin, end)
        return [self.rows[key] for key in itertools.islice(keys, limit)]

    def changes(self, after: int) -> list[Row]:
        """Return the latest state of rows that changed after a version."""
        begin = bisect.bisect_right(
            self._changes, after, key=lambda row: row.version
        )
        newest = {row.key: row for row in self._changes[begin:]}
        return sorted(newest.values(), key=lambda row: row.version)

    def forget_after(self, version: int) -> None:
        """Drop the rows, and the changes after a version."""
        self.rows.clear()
        self._keys.clear()
        self._changes = [
            row for row in self._changes if row.version <= version
        ]

    def drop_history(self) -> None:
        """Drop the history of changes."""
        self._changes.clear()


class Rows:
    """All rows of the store.

    Example::

        rows = Rows()
        rows.apply({}, {("t", "k"): "dg=="}, now_s)
        rows.restore(now_s - 3.0)
    """

    def __init__(self) -> None:
        #: Version of the last transaction.
        self.version = 0
        self._tables: collections.defaultdict[str, _Table] = (
            collections.defaultdict(_Table)
        )
        self._history_start = 0
        self._written: list[_Write] = []

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        return self._tables[table].rows.get(key)

    def scan(self, table: str, first: str, last: str, limit: int) -> list[Row]:
        """Return rows of a key range in order; ``last`` is excluded."""
        return self._tables[table].scan(first, last, limit)

    def conflicts(
        self, expected: collections.abc.Mapping[tuple[str, str], int]
    ) -> bool:
        """Return whether any row has a version other than expected."""
        found = {name: self.get(*name) for name in expected}
        return any(
            (row.version if row else 0) != expected[name]
            for name, row in found.items()
        )

    def apply(
        self,
        expected: collections.abc.Mapping[tuple[str, str], int],
        writes: collections.abc.Mapping[tuple[str, str], str | None],
        now_s: float,
    ) -> bool:
        """Apply a transaction unless it conflicts; return whether applied."""
        if self.conflicts(expected):
            return False
        self.version += 1
        for (table, key), value in writes.items():
            row = Row(table, key, value, self.version)
            self._tables[table].set(row)
            self._tables[table].note(row)
            self._written.append(_Write(row, now_s))
        return True

    def restore(self, copied_s: float) -> list[Row]:
        """Go back to the state of ``copied_s``; return what was lost.

        Versions go back too, and are given out again.
        """
        lost = [each.row for each in self._written if each.at_s > copied_s]
        self._written = [
            each for each in self._written if each.at_s <= copied_s
        ]
        self.version = self._written[-1].row.version if self._written else 0
        for table in self._tables.values():
            table.forget_after(self.version)
        for each in self._written:
            self._tables[each.row.table].set(each.row)
        self._history_start = min(self._history_start, self.version)
        return lost

    def changes(self, table: str, after: int) -> list[Row]:
        """Return the latest state of rows that changed after a version."""
        if after < self._history_start or after > self.version:
            raise HistoryGone
        return self._tables[table].changes(after)

    def drop_history(self) -> None:
        """Drop the history of changes up to the current version."""
        self._history_start = self.version
        for table in self._tables.values():
            table.drop_history()

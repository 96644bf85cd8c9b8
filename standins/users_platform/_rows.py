"""Versioned rows with one version counter and a feed of changes."""

import collections.abc

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
        self._rows: dict[tuple[str, str], Row] = {}
        self._history: list[Row] = []
        self._history_start = 0
        self._written: list[_Write] = []

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        return self._rows.get((table, key))

    def scan(self, table: str, first: str, last: str, limit: int) -> list[Row]:
        """Return rows of a key range in order; ``last`` is excluded."""
        matching = [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= first and (not last or key < last)
        ]
        return matching[:limit]

    def conflicts(
        self, expected: collections.abc.Mapping[tuple[str, str], int]
    ) -> bool:
        """Return whether any row has a version other than expected."""
        return any(
            (self._rows[name].version if name in self._rows else 0) != version
            for name, version in expected.items()
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
            self._set(row)
            self._history.append(row)
            self._written.append(_Write(row, now_s))
        return True

    def _set(self, row: Row) -> None:
        if row.value is None:
            self._rows.pop((row.table, row.key), None)
        else:
            self._rows[row.table, row.key] = row

    def restore(self, copied_s: float) -> list[Row]:
        """Go back to the state of ``copied_s``; return what was lost.

        Versions go back too, and are given out again.
        """
        lost = [each.row for each in self._written if each.at_s > copied_s]
        self._written = [
            each for each in self._written if each.at_s <= copied_s
        ]
        self._rows.clear()
        self.version = 0
        for each in self._written:
            self._set(each.row)
            self.version = each.row.version
        self._history = [
            row for row in self._history if row.version <= self.version
        ]
        self._history_start = min(self._history_start, self.version)
        return lost

    def changes(self, table: str, after: int) -> list[Row]:
        """Return the latest state of rows that changed after a version."""
        if after < self._history_start or after > self.version:
            raise HistoryGone
        newest = {
            row.key: row
            for row in self._history
            if row.table == table and row.version > after
        }
        return sorted(newest.values(), key=lambda row: row.version)

    def drop_history(self) -> None:
        """Drop the history of changes up to the current version."""
        self._history_start = self.version
        self._history.clear()

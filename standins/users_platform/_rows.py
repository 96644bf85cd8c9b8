"""Rows with versions from one counter, and a feed of changes."""

import collections.abc

import attrs


@attrs.frozen
class Row:
    """A row, or what is left of a removed one."""

    table: str
    key: str
    #: Base64 text as it came; ``None`` once removed.
    value: str | None
    version: int


class HistoryGone(Exception):
    """Changes since that version are no longer kept."""


class Rows:
    """All rows of the store.

    Example::

        rows = Rows()
        rows.apply({}, {("t", "k"): "dg=="})
    """

    def __init__(self) -> None:
        #: Version of the last transaction.
        self.version = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._history: list[Row] = []
        self._forgotten = 0

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        return self._rows.get((table, key))

    def scan(self, table: str, first: str, last: str, limit: int) -> list[Row]:
        """Return rows of a range in key order; ``last`` is excluded."""
        found = [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= first and (not last or key < last)
        ]
        return found[:limit]

    def conflicts(
        self, expected: collections.abc.Mapping[tuple[str, str], int]
    ) -> bool:
        """Return whether a row has another version than expected."""
        return any(
            (self._rows[name].version if name in self._rows else 0) != version
            for name, version in expected.items()
        )

    def apply(
        self,
        expected: collections.abc.Mapping[tuple[str, str], int],
        writes: collections.abc.Mapping[tuple[str, str], str | None],
    ) -> bool:
        """Carry out a transaction; return whether its condition held."""
        if self.conflicts(expected):
            return False
        self.version += 1
        for (table, key), value in writes.items():
            row = Row(table, key, value, self.version)
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = row
            self._history.append(row)
        return True

    def changes(self, table: str, after: int) -> list[Row]:
        """Return the newest state of rows changed after a version."""
        if after < self._forgotten:
            raise HistoryGone
        newest = {
            row.key: row
            for row in self._history
            if row.table == table and row.version > after
        }
        return sorted(newest.values(), key=lambda row: row.version)

    def forget(self) -> None:
        """Drop the history."""
        self._forgotten = self.version
        self._history.clear()

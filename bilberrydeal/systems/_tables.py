"""Tables of entities, one for each entity type."""

import collections.abc
import typing


class Entity(typing.Protocol):
    """Anything with a key that is unique in its table."""

    @property
    def key(self) -> str:
        """Return the key, which never changes."""


Item = typing.TypeVar("Item", bound=Entity)


class Table(typing.Generic[Item]):
    """Entities of one type by key, in order of insertion."""

    def __init__(self) -> None:
        self._rows: dict[str, Item] = {}

    def put(self, item: Item) -> None:
        """Insert an entity or replace the one with its key."""
        self._rows[item.key] = item

    def get(self, key: str) -> Item | None:
        """Return the entity with a key, if there is one."""
        return self._rows.get(key)

    def remove(self, key: str) -> Item | None:
        """Remove and return the entity with a key, if there is one."""
        return self._rows.pop(key, None)

    def clear(self) -> None:
        """Remove all rows."""
        self._rows.clear()

    def __iter__(self) -> collections.abc.Iterator[Item]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: str) -> bool:
        return key in self._rows


class Tables:
    """All tables of one process.

    Example::

        tables = Tables()
        tables.of(Endpoint).put(Endpoint(key="e1"))
    """

    def __init__(self) -> None:
        self._tables: dict[type, Table[typing.Any]] = {}

    def of(self, kind: type[Item]) -> Table[Item]:
        """Return the table of an entity type, empty at first."""
        table = self._tables.get(kind)
        if table is None:
            table = self._tables[kind] = Table()
        return table

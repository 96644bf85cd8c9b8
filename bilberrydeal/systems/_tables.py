"""Tables of entities, one per entity type."""

import collections.abc
import typing


class Entity(typing.Protocol):
    """An object with a key that is unique in its table."""

    @property
    def key(self) -> str:
        """Return the key, which must not change."""


Item = typing.TypeVar("Item", bound=Entity)


class Table(typing.Generic[Item]):
    """Entities of one type by key, in order of insertion."""

    def __init__(self) -> None:
        self._rows: dict[str, Item] = {}

    def put(self, entity: Item) -> None:
        """Insert an entity or replace the one with the same key."""
        self._rows[entity.key] = entity

    def get(self, key: str) -> Item | None:
        """Return the entity with a key, or ``None``."""
        return self._rows.get(key)

    def remove(self, key: str) -> Item | None:
        """Remove and return the entity with a key, or return ``None``."""
        return self._rows.pop(key, None)

    def clear(self) -> None:
        """Remove all entities."""
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

    def of(self, entity_type: type[Item]) -> Table[Item]:
        """Return the table of an entity type, which is created if needed."""
        table = self._tables.get(entity_type)
        if table is None:
            table = self._tables[entity_type] = Table()
        return table

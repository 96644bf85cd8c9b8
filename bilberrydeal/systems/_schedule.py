"""Runs systems in the order of their declared dependencies."""

import collections.abc
import typing

from . import _tables


class System(typing.Protocol):
    """A decision function over tables.

    A system does no I/O and reads no clock; it declares which entity types
    it reads and which it writes.
    """

    #: Entity types whose tables it reads.
    reads: typing.ClassVar[tuple[type, ...]]
    #: Entity types whose tables it writes.
    writes: typing.ClassVar[tuple[type, ...]]

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Run the decision once; ``now_s`` is monotonic time in seconds."""


class Schedule:
    """Runs systems sequentially in each tick.

    A system that writes a table runs before those that only read it. Otherwise
    systems keep the given order.
    """

    def __init__(self, systems: collections.abc.Sequence[System]) -> None:
        self.systems = tuple(_ordered(list(systems)))

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Run all systems once."""
        for system in self.systems:
            system.run(tables, now_s)


def _ordered(waiting: list[System]) -> collections.abc.Iterator[System]:
    """Yield systems, writers of a table before its read-only systems."""
    while waiting:
        system = next(
            (s for s in waiting if not _has_dependency(s, waiting)), waiting[0]
        )
        waiting.remove(system)
        yield system


def _has_dependency(system: System, others: list[System]) -> bool:
    read_only = set(system.reads) - set(system.writes)
    return any(
        read_only & set(other.writes)
        for other in others
        if other is not system
    )

"""Runs systems in an order that their declared tables allow."""

import collections.abc
import typing

from . import _tables


class System(typing.Protocol):
    """A decision over tables.

    A system does no I/O and reads no clock; it declares which entity types
    it reads and which it writes.
    """

    #: Entity types whose tables it reads.
    reads: typing.ClassVar[tuple[type, ...]]
    #: Entity types whose tables it writes.
    writes: typing.ClassVar[tuple[type, ...]]

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Decide once; ``now_s`` is monotonic time in seconds."""


class Schedule:
    """Systems that run one after another each tick.

    A system that writes a table runs before those that only read it; ties
    keep the order given.
    """

    def __init__(self, systems: collections.abc.Sequence[System]) -> None:
        self.systems = tuple(_ordered(list(systems)))

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Run all systems once."""
        for system in self.systems:
            system.run(tables, now_s)


def _ordered(waiting: list[System]) -> collections.abc.Iterator[System]:
    """Yield systems, writers of a table before its plain readers."""
    while waiting:
        system = next(
            (s for s in waiting if not _depends(s, waiting)), waiting[0]
        )
        waiting.remove(system)
        yield system


def _depends(system: System, others: list[System]) -> bool:
    plain_reads = set(system.reads) - set(system.writes)
    return any(
        plain_reads & set(other.writes)
        for other in others
        if other is not system
    )

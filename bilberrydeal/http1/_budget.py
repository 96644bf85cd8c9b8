"""Bounds the memory that is held for all callers of a server."""

import collections
import collections.abc
import operator
import typing

import attrs

#: Memory of a connection up to which it counts as small, in bytes: an ordinary
#: request, or one with a head of the largest size.
SMALL_BYTES = 65_536
#: Share of the memory that connections which hold more may use together; the
#: rest is for those that hold little.
LARGE_SHARE = 0.75


class Reason:
    """Why a caller was refused, as a label of the metric."""

    #: A request was answered with 503 since the memory was used up.
    MEMORY = "memory"
    #: A connection was reset since its responses were not read.
    UNREAD = "unread"
    #: A connection was closed since too many were open.
    CONNECTIONS = "connections"


class Holder(typing.Protocol):
    """Interface of a connection that the budget uses."""

    #: Memory that is released when the connection is refused, in bytes.
    sheddable_bytes: int

    def shed(self) -> None:
        """Refuse what is not being served, and release its memory."""


@attrs.define
class MemoryBudget:
    """Memory that is held for all callers.

    Example::

        budget.used_bytes += 4_096
        budget.relieve(connections, limit_bytes=64_000_000)
    """

    #: Memory held, in bytes.
    used_bytes: int = 0
    #: Number of refusals by reason.
    refused: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def relieve(
        self, holders: collections.abc.Iterable[Holder], limit_bytes: int
    ) -> None:
        """Shed the largest holders until the limit is kept.

        What is being served is not shed. The first to go are those that hold
        the most, so that ordinary small requests still find room.
        """
        if self.used_bytes <= limit_bytes * LARGE_SHARE:
            return
        waiting = sorted(
            (each for each in holders if each.sheddable_bytes),
            key=operator.attrgetter("sheddable_bytes"),
        )
        while waiting:
            large = waiting[-1].sheddable_bytes > SMALL_BYTES
            share = LARGE_SHARE if large else 1.0
            if self.used_bytes <= limit_bytes * share:
                return
            waiting.pop().shed()

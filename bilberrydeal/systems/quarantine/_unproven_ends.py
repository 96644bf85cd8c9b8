"""Streams whose end may have been the end of their engine."""

import collections

import attrs

from . import _base

#: Most of them remembered; the oldest yield.
LIMIT = 4_096


@attrs.frozen
class _End:
    """The end of a stream."""

    parts: _base.Parts
    #: When the connection ended, monotonic seconds.
    at_s: float


class UnprovenEnds:
    """Remembers streams that ended with their connections.

    A response with neither a length nor chunks looks complete if its engine
    is lost between two events. It was complete if the engine goes on.
    """

    def __init__(self, after_s: float, within_s: float) -> None:
        #: An engine goes on if it responds to a request sent in this span
        #: after the end, in seconds; later it may have started again.
        self._after_s = after_s
        self._within_s = within_s
        self._ends: dict[str, collections.deque[_End]] = {}
        self._count = 0

    def add(self, process: str, parts: _base.Parts, now_s: float) -> None:
        """Record the end of a stream of an engine process."""
        ends = self._ends.setdefault(process, collections.deque())
        ends.append(_End(parts, now_s))
        self._count += 1
        if self._count > LIMIT:
            self._forget_first(next(iter(self._ends)))

    def proven(self, process: str, sent_s: float) -> list[_base.Parts]:
        """Return what was complete, as a request sent at a time shows.

        The engine process has responded to it.
        """
        found: list[_base.Parts] = []
        ends = self._ends.get(process)
        while ends and sent_s >= ends[0].at_s + self._after_s:
            if sent_s < ends[0].at_s + self._within_s:
                found.append(ends[0].parts)
            self._forget_first(process)
        return found

    def drop(self, process: str) -> None:
        """Forget the streams of an engine process that was lost."""
        self._count -= len(self._ends.pop(process, ()))

    def expire(self, now_s: float) -> None:
        """Forget what no response can prove any more."""
        for process, ends in list(self._ends.items()):
            while ends and now_s >= ends[0].at_s + 2 * self._within_s:
                self._forget_first(process)

    def _forget_first(self, process: str) -> None:
        ends = self._ends[process]
        ends.popleft()
        self._count -= 1
        if not ends:
            del self._ends[process]

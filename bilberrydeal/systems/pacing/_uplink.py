"""Schedules transmissions over a host's own uplink if that is slow.

Long prompts on hosts with a few Mbit/s fill the kernel's send buffers, where
bodies delay the events of all streams queued behind them. Bodies are therefore
queued here, most urgent first, and the kernel's backlog is kept short.
"""

import heapq
import itertools

import attrs

#: Maximum transmission time of the kernel's backlog, in seconds.
MAX_KERNEL_BACKLOG_S = 0.02
#: Fraction of the link rate available to bodies; the rest is packet headers.
BODY_RATE_FRACTION = 0.92
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@attrs.define(eq=False)
class Turn:
    """A queued transmission."""

    #: Size of the transmission.
    size_bytes: int
    #: Priority; lower ranks are sent first.
    rank: int
    #: Whether it may be sent.
    granted: bool = False
    #: Whether it was cancelled.
    left: bool = False


class UplinkQueue:
    """Grants transmissions by rank, then in order of arrival.

    Example::

        queue = UplinkQueue(rate_mbps=5.0, now_s=now_s)
        turn = queue.ask(9_200, rank=1, now_s=now_s)
        if not turn.granted:
            ...  # call ``queue.grant`` after ``queue.pause_s``
    """

    def __init__(self, rate_mbps: float, now_s: float) -> None:
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, Turn]] = []
        self._link_free_at_s = now_s
        self.set_rate(rate_mbps)

    def set_rate(self, rate_mbps: float) -> None:
        """Change the rate of the link."""
        bytes_per_s = rate_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._bytes_per_s = bytes_per_s * BODY_RATE_FRACTION

    def transfer_s(self, size_bytes: int) -> float:
        """Return the transmission time of a number of bytes."""
        return size_bytes / self._bytes_per_s

    def wait_s(self, rank: int, now_s: float) -> float:
        """Return the expected wait of a new transmission of a rank."""
        queued_bytes = sum(
            turn.size_bytes
            for turn_rank, _sequence, turn in self._waiting
            if turn_rank <= rank and not turn.left
        )
        backlog_s = max(self._link_free_at_s - now_s, 0.0)
        return backlog_s + self.transfer_s(queued_bytes)

    def note(self, size_bytes: int, now_s: float) -> None:
        """Record bytes that were sent without being queued."""
        start_s = max(self._link_free_at_s, now_s)
        self._link_free_at_s = start_s + self.transfer_s(size_bytes)

    def ask(self, size_bytes: int, rank: int, now_s: float) -> Turn:
        """Queue a transmission, which may be granted immediately."""
        turn = Turn(size_bytes, rank)
        heapq.heappush(self._waiting, (rank, next(self._sequence), turn))
        self.grant(now_s)
        return turn

    def grant(self, now_s: float) -> list[Turn]:
        """Grant and return the transmissions that may be sent now."""
        granted = []
        while (
            self._waiting
            and self._link_free_at_s - now_s <= MAX_KERNEL_BACKLOG_S
        ):
            _rank, _sequence, turn = heapq.heappop(self._waiting)
            if turn.left:
                continue
            turn.granted = True
            self.note(turn.size_bytes, now_s)
            granted.append(turn)
        return granted

    def pause_s(self, now_s: float) -> float | None:
        """Return the delay until the next grant; ``None`` if nothing waits."""
        if not self._waiting:
            return None
        return max(self._link_free_at_s - now_s - MAX_KERNEL_BACKLOG_S, 0.0)

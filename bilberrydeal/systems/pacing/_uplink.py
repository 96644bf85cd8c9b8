"""Orders what a host sends over its own link, where that is narrow.

Answers the load of long prompts on hosts with a few Mbit/s: bodies that wait
in the kernel delay the events of all streams behind them. So they wait here,
the most urgent first, and the kernel gets little ahead of time.
"""

import heapq
import itertools

import attrs

#: Time that the bytes handed to the kernel may take to leave, in seconds.
AHEAD_S = 0.02
#: Share of the link's rate that bodies get; headers of packets take the rest.
RATE_SHARE = 0.92
BITS_A_BYTE = 8
BITS_A_MEGABIT = 1_000_000


@attrs.define(eq=False)
class Turn:
    """Something that waits to be sent."""

    #: Its size.
    size_bytes: int
    #: How urgent it is, 0 is first.
    rank: int
    #: Whether it may be sent now.
    granted: bool = False
    #: Whether nobody waits for it any more.
    left: bool = False


class UplinkQueue:
    """Grants turns by rank, then in the order of asking.

    Example::

        queue = UplinkQueue(rate_mbps=5.0, now_s=now_s)
        turn = queue.ask(9_200, rank=1, now_s=now_s)
        if not turn.granted:
            ...  # look at ``queue.grant`` after ``queue.pause_s``
    """

    def __init__(self, rate_mbps: float, now_s: float) -> None:
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, Turn]] = []
        self._free_s = now_s
        self.set_rate(rate_mbps)

    def set_rate(self, rate_mbps: float) -> None:
        """Take another rate of the link."""
        rate = rate_mbps * BITS_A_MEGABIT / BITS_A_BYTE
        self._bytes_per_s = rate * RATE_SHARE

    def transfer_s(self, size_bytes: int) -> float:
        """Return how long bytes take to leave."""
        return size_bytes / self._bytes_per_s

    def wait_s(self, rank: int, now_s: float) -> float:
        """Return how long something new of a rank would wait."""
        before = sum(
            turn.size_bytes
            for turn_rank, _order, turn in self._waiting
            if turn_rank <= rank and not turn.left
        )
        ahead_s = max(self._free_s - now_s, 0.0)
        return ahead_s + self.transfer_s(before)

    def note(self, size_bytes: int, now_s: float) -> None:
        """Note bytes that were sent without a turn."""
        begins_s = max(self._free_s, now_s)
        self._free_s = begins_s + self.transfer_s(size_bytes)

    def ask(self, size_bytes: int, rank: int, now_s: float) -> Turn:
        """Return a turn, which may be granted at once."""
        turn = Turn(size_bytes, rank)
        heapq.heappush(self._waiting, (rank, next(self._order), turn))
        self.grant(now_s)
        return turn

    def grant(self, now_s: float) -> list[Turn]:
        """Grant the turns that may be sent now, and return them."""
        granted = []
        while self._waiting and self._free_s - now_s <= AHEAD_S:
            _rank, _order, turn = heapq.heappop(self._waiting)
            if turn.left:
                continue
            turn.granted = True
            self.note(turn.size_bytes, now_s)
            granted.append(turn)
        return granted

    def pause_s(self, now_s: float) -> float | None:
        """Return when to grant again, ``None`` while nothing waits."""
        if not self._waiting:
            return None
        return max(self._free_s - now_s - AHEAD_S, 0.0)

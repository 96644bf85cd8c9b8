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
class Transmission:
    """A queued transmission."""

    #: Size of the transmission.
    size_bytes: int
    #: Priority; 0 is the highest.
    priority: int
    #: Whether it may be sent.
    granted: bool = False
    #: Whether it was cancelled.
    cancelled: bool = False


class UplinkQueue:
    """Grants transmissions by priority, then in order of arrival.

    Example::

        queue = UplinkQueue(rate_mbps=5.0, now_s=now_s)
        transmission = queue.enqueue(9_200, priority=1, now_s=now_s)
        if not transmission.granted:
            ...  # call ``queue.grant`` after ``queue.next_grant_delay_s``
    """

    def __init__(self, rate_mbps: float, now_s: float) -> None:
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, Transmission]] = []
        self._link_free_at_s = now_s
        self.set_rate(rate_mbps)

    def set_rate(self, rate_mbps: float) -> None:
        """Change the rate of the link."""
        bytes_per_s = rate_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._bytes_per_s = bytes_per_s * BODY_RATE_FRACTION

    def transfer_s(self, size_bytes: int) -> float:
        """Return the transmission time of a number of bytes."""
        return size_bytes / self._bytes_per_s

    def wait_s(self, priority: int, now_s: float) -> float:
        """Return the expected wait of a new transmission of a priority."""
        queued_bytes = sum(
            transmission.size_bytes
            for queued_priority, _sequence, transmission in self._waiting
            if queued_priority <= priority and not transmission.cancelled
        )
        backlog_s = max(self._link_free_at_s - now_s, 0.0)
        return backlog_s + self.transfer_s(queued_bytes)

    def record_sent(self, size_bytes: int, now_s: float) -> None:
        """Record bytes that were sent without being queued."""
        start_s = max(self._link_free_at_s, now_s)
        self._link_free_at_s = start_s + self.transfer_s(size_bytes)

    def enqueue(
        self, size_bytes: int, priority: int, now_s: float
    ) -> Transmission:
        """Queue a transmission; grant it at once if no other one waits.

        Those that wait are granted by ``grant`` only, which reports them.
        """
        idle = not self._waiting
        transmission = Transmission(size_bytes, priority)
        heapq.heappush(
            self._waiting, (priority, next(self._sequence), transmission)
        )
        if idle:
            self.grant(now_s)
        return transmission

    def grant(self, now_s: float) -> list[Transmission]:
        """Grant and return the transmissions that may be sent now."""
        granted = []
        while (
            self._waiting
            and self._link_free_at_s - now_s <= MAX_KERNEL_BACKLOG_S
        ):
            _priority, _sequence, transmission = heapq.heappop(self._waiting)
            if transmission.cancelled:
                continue
            transmission.granted = True
            self.record_sent(transmission.size_bytes, now_s)
            granted.append(transmission)
        return granted

    def next_grant_delay_s(self, now_s: float) -> float | None:
        """Return the delay until the next grant; ``None`` if nothing waits."""
        if not self._waiting:
            return None
        return max(self._link_free_at_s - now_s - MAX_KERNEL_BACKLOG_S, 0.0)

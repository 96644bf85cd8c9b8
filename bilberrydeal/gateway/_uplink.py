"""Paces sends to the bandwidth of the host's uplink."""

import asyncio
import collections.abc

from ..systems import pacing

#: Smaller sends are not queued.
SMALL_BYTES = 2_000

Clock = collections.abc.Callable[[], float]


class Uplink:
    """Grants the host's uplink to one send after the other.

    Example::

        await uplink.acquire(len(body), priority=1)
        connection.send(head, body)
    """

    def __init__(self, rate_mbps: float, clock: Clock) -> None:
        self._clock = clock
        self._queue = pacing.UplinkQueue(rate_mbps, clock())
        self._waiters: dict[pacing.Transmission, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def set_rate(self, rate_mbps: float) -> None:
        """Change the rate of the uplink."""
        self._queue.set_rate(rate_mbps)

    def transfer_s(self, size_bytes: int) -> float:
        """Return the transmission time of so many bytes."""
        return self._queue.transfer_s(size_bytes)

    def wait_s(self, priority: int) -> float:
        """Return the queueing time of a large send of a priority."""
        return self._queue.wait_s(priority, self._clock())

    def record_sent(self, size_bytes: int) -> None:
        """Account for bytes that are sent without queueing."""
        self._queue.record_sent(size_bytes, self._clock())

    async def acquire(self, size_bytes: int, priority: int) -> None:
        """Wait until so many bytes may be sent."""
        if size_bytes < SMALL_BYTES:
            self.record_sent(size_bytes)
            return
        transmission = self._queue.enqueue(size_bytes, priority, self._clock())
        if transmission.granted:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[transmission] = waiter
        self._schedule()
        try:
            await waiter
        finally:
            transmission.cancelled = True
            self._waiters.pop(transmission, None)

    def _schedule(self) -> None:
        """Set a timer for the next grant."""
        delay_s = self._queue.next_grant_delay_s(self._clock())
        if delay_s is not None and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._grant_due)

    def _grant_due(self) -> None:
        self._timer = None
        for transmission in self._queue.grant(self._clock()):
            waiter = self._waiters.get(transmission)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
        self._schedule()

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

        await uplink.acquire(len(body), rank=1)
        connection.send(head, body)
    """

    def __init__(self, rate_mbps: float, clock: Clock) -> None:
        self._clock = clock
        self._queue = pacing.UplinkQueue(rate_mbps, clock())
        self._waiters: dict[pacing.Turn, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def set_rate(self, rate_mbps: float) -> None:
        """Change the rate of the uplink."""
        self._queue.set_rate(rate_mbps)

    def transfer_s(self, size_bytes: int) -> float:
        """Return the transmission time of so many bytes."""
        return self._queue.transfer_s(size_bytes)

    def wait_s(self, rank: int) -> float:
        """Return the queueing time of a large send of a rank."""
        return self._queue.wait_s(rank, self._clock())

    def note(self, size_bytes: int) -> None:
        """Account for bytes that are sent without queueing."""
        self._queue.note(size_bytes, self._clock())

    async def acquire(self, size_bytes: int, rank: int) -> None:
        """Wait until so many bytes may be sent."""
        if size_bytes < SMALL_BYTES:
            self.note(size_bytes)
            return
        turn = self._queue.ask(size_bytes, rank, self._clock())
        if turn.granted:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[turn] = waiter
        self._schedule()
        try:
            await waiter
        finally:
            turn.left = True
            self._waiters.pop(turn, None)

    def _schedule(self) -> None:
        """Set a timer for the next grant."""
        pause_s = self._queue.pause_s(self._clock())
        if pause_s is not None and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(pause_s, self._grant_due)

    def _grant_due(self) -> None:
        self._timer = None
        for turn in self._queue.grant(self._clock()):
            waiter = self._waiters.get(turn)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
        self._schedule()

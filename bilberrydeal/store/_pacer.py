"""A token bucket that keeps one process's calls below a rate."""

import asyncio
import collections.abc
import time

#: Calls that may go out at once after a quiet time, in seconds of the rate.
BURST_S = 1.0


class Pacer:
    """Grants calls at a steady rate, first come, first served.

    Each ``take`` books its token at once and sleeps until that is due, so
    that many waiters leave one after the other rather than together.

    Example::

        pacer = Pacer(rate_per_s=20.0)
        await pacer.take(longest_wait_s=1.0)
    """

    def __init__(
        self,
        rate_per_s: float,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        sleep: collections.abc.Callable[
            [float], collections.abc.Awaitable[None]
        ] = asyncio.sleep,
    ) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._clock = clock
        self._sleep = sleep
        self._next_s = clock() - BURST_S

    async def take(self, longest_wait_s: float) -> bool:
        """Wait for a token; ``False`` at once where that lasts too long."""
        now_s = self._clock()
        due_s = max(self._next_s, now_s - BURST_S)
        wait_s = due_s - now_s
        if wait_s > longest_wait_s:
            return False
        self._next_s = due_s + self._interval_s
        if wait_s > 0:
            await self._sleep(wait_s)
        return True

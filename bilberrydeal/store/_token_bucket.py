"""A token bucket that limits the call rate of one process."""

import asyncio
import collections.abc
import time

#: Burst allowed after an idle period, in seconds of the call rate.
BURST_S = 1.0


class TokenBucket:
    """Limits calls to a steady rate, in order of arrival.

    Each ``acquire`` reserves its token immediately and sleeps until the token
    is due, so that concurrent waiters are spaced out instead of released
    together.

    Example::

        bucket = TokenBucket(rate_per_s=20.0)
        await bucket.acquire(max_wait_s=1.0)
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

    async def acquire(self, max_wait_s: float) -> bool:
        """Wait for a token, or return ``False`` if the wait is too long."""
        now_s = self._clock()
        due_s = max(self._next_s, now_s - BURST_S)
        wait_s = due_s - now_s
        if wait_s > max_wait_s:
            return False
        self._next_s = due_s + self._interval_s
        if wait_s > 0:
            await self._sleep(wait_s)
        return True

"""How long callers wait for reads of the store."""

import asyncio
import collections.abc

from ... import errors
from .. import core
from . import _shared_calls

#: Share of a caller's time that may pass until its stream is bound, and the
#: one that may pass even if the rest needs more.
WAIT_SHARE = 0.5
LEAST_WAIT_SHARE = 0.25
#: Pause before a read that failed at once is tried again, in seconds.
RETRY_PAUSE_S = 0.05

Clock = collections.abc.Callable[[], float]
Read = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class ReadPatience:
    """Waits for reads as long as that helps a caller.

    A read that is under way is waited for until the caller would need the
    time to go on elsewhere. One that fails is tried again for the objective
    of the route, but not while the store is away.

    Example::

        await patience.wait(admitted, asked_s, read)
    """

    def __init__(self, reads: _shared_calls.SharedCalls, clock: Clock) -> None:
        #: Tells whether reads fail now.
        self._reads = reads
        self._clock = clock

    async def wait(
        self, admitted: core.AdmittedRequest, asked_s: float, read: Read
    ) -> None:
        """Wait for a read that a request asked for at ``asked_s``.

        Raises ``BilberrydealError`` or ``TimeoutError``.
        """
        objective_s = admitted.route.target_latency_s
        limit_s = wait_limit_s(admitted.deadline_s - asked_s, objective_s)
        retry_s = objective_s
        if self._reads.failing:
            limit_s = min(limit_s, objective_s)
            retry_s = 0.0
        waited_s = self._clock() - asked_s
        async with asyncio.timeout(max(limit_s - waited_s, 0.0)):
            await self._try_until(asked_s + retry_s, read)

    async def _try_until(self, ends_s: float, read: Read) -> None:
        while True:
            try:
                await read()
                return
            except errors.BilberrydealError:
                if self._clock() + RETRY_PAUSE_S >= ends_s:
                    raise
            await asyncio.sleep(RETRY_PAUSE_S)


def wait_limit_s(left_s: float, objective_s: float) -> float:
    """Return how long a caller with ``left_s`` may wait for a read.

    The objective of its route is kept for the rest.
    """
    longest_s = min(left_s - objective_s, left_s * WAIT_SHARE)
    return max(longest_s, left_s * LEAST_WAIT_SHARE)

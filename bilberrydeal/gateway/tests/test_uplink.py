"""Tests that sends over a slow uplink are not left waiting."""

import asyncio

from bilberrydeal.gateway import _uplink

#: Link rate, in Mbit/s, at which a body takes 19 ms.
RATE_MBPS = 1.0
BODY_BYTES = 2_200
#: Bound on the test's own waits, in seconds.
TEST_TIMEOUT_S = 5.0


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


async def test_a_waiting_send_is_granted_when_another_one_arrives() -> None:
    """Guards against a request that waits for the link until its deadline.

    A body arrives after the link has become free, but before the event loop
    has run the timer of the body that waits. The one that waits was granted
    then without being told.
    """
    clock = Clock()
    uplink = _uplink.Uplink(RATE_MBPS, clock)
    for _ in range(2):
        await uplink.acquire(BODY_BYTES, 1)
    waiting = asyncio.create_task(uplink.acquire(BODY_BYTES, 1))
    await asyncio.sleep(0)
    clock.now_s = 1.0
    late = asyncio.create_task(uplink.acquire(BODY_BYTES, 1))
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await asyncio.gather(waiting, late)

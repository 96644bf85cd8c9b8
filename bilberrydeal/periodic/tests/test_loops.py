"""Periodic work goes on through failures."""

import asyncio
import random

from ... import errors
from ... import periodic


async def test_work_goes_on_after_a_typed_failure() -> None:
    rounds = 0
    enough = asyncio.Event()

    async def work() -> None:
        nonlocal rounds
        rounds += 1
        if rounds == 3:
            enough.set()
        if rounds % 2:
            raise errors.StoreUnavailable("call")

    task = asyncio.create_task(periodic.every("w", lambda: 0.0, work))
    async with asyncio.timeout(2.0):
        await enough.wait()
    task.cancel()


def test_pauses_spread_around_the_period() -> None:
    pause_s = periodic.jittered(10.0, random.Random(1))
    pauses = [pause_s() for _ in range(100)]
    assert 8.0 <= min(pauses) < 9.0
    assert 11.0 < max(pauses) <= 12.0

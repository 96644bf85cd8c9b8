"""Tests that periodic work survives failures and is jittered."""

import asyncio
import random

from ... import errors
from ... import periodic


async def test_work_continues_after_an_expected_error() -> None:
    rounds = 0
    done = asyncio.Event()

    async def work() -> None:
        nonlocal rounds
        rounds += 1
        if rounds == 3:
            done.set()
        if rounds % 2:
            raise errors.StoreUnavailable("call")

    task = asyncio.create_task(
        periodic.run_periodically("w", lambda: 0.0, work)
    )
    async with asyncio.timeout(2.0):
        await done.wait()
    task.cancel()


def test_delays_vary_around_the_period() -> None:
    pause_s = periodic.jittered(10.0, random.Random(1))
    pauses = [pause_s() for _ in range(100)]
    assert 8.0 <= min(pauses) < 9.0
    assert 11.0 < max(pauses) <= 12.0

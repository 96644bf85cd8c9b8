"""Own time leaves out pauses, and nothing else that a test may bound."""

import asyncio
import collections.abc
import os
import sys
import time

import pytest

from . import own_time

#: Time that work takes, in seconds.
WORK_S = 0.5
#: Stops a process for a time and lets it go on.
PAUSE = """
import os, signal, sys, time
os.kill(int(sys.argv[1]), signal.SIGSTOP)
time.sleep(float(sys.argv[2]))
os.kill(int(sys.argv[1]), signal.SIGCONT)
"""
Work = collections.abc.Callable[[], collections.abc.Awaitable[None]]


async def _wait() -> None:
    await asyncio.sleep(600.0)


async def _compute_in_turns() -> None:
    while True:
        sum(range(1_000))
        await asyncio.sleep(0)


async def _compute_at_once() -> None:
    until_s = time.process_time() + WORK_S
    while time.process_time() < until_s:
        pass


async def _pause() -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PAUSE, str(os.getpid()), str(10 * WORK_S)
    )
    assert await process.wait() == 0


@pytest.mark.parametrize("work", [_wait, _compute_in_turns, _compute_at_once])
async def test_waits_and_work_count(work: Work) -> None:
    began_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with own_time.timeout(WORK_S / 2):
            await work()
    assert time.monotonic() - began_s >= WORK_S / 2


async def test_no_more_than_real_time_counts() -> None:
    began_s = time.monotonic()
    async with own_time.OwnTime() as own:
        await asyncio.sleep(WORK_S)
    assert 0.0 < own.elapsed_s <= time.monotonic() - began_s


async def test_pause_of_the_process_does_not_count() -> None:
    began_s = time.monotonic()
    async with own_time.timeout(5 * WORK_S):
        await _pause()
    assert time.monotonic() - began_s >= 10 * WORK_S


async def test_block_that_ends_in_time_is_left_alone() -> None:
    async with own_time.timeout(WORK_S):
        await asyncio.sleep(0.0)
    await asyncio.sleep(2 * own_time.STEP_S)


async def test_error_of_a_block_is_passed_on() -> None:
    with pytest.raises(KeyError):
        async with own_time.timeout(WORK_S):
            raise KeyError


@pytest.mark.own_time
@pytest.mark.parametrize("work", [_wait, _compute_in_turns])
async def test_waits_and_work_reach_a_limit_of_the_loop(work: Work) -> None:
    began_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(WORK_S / 2):
            await work()
    assert time.monotonic() - began_s >= WORK_S / 2


@pytest.mark.own_time
async def test_pause_of_the_process_reaches_no_limit_of_the_loop() -> None:
    began_s = time.monotonic()
    async with asyncio.timeout(5 * WORK_S):
        await _pause()
    assert time.monotonic() - began_s >= 10 * WORK_S


@pytest.mark.own_time
async def test_wait_takes_as_long_in_the_loop_as_elsewhere() -> None:
    began_s = time.monotonic()
    await asyncio.sleep(WORK_S)
    assert time.monotonic() - began_s >= WORK_S


@pytest.mark.own_time
async def test_work_without_a_pause_counts_in_the_loop() -> None:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await _compute_at_once()
    assert loop.time() - began_s >= WORK_S / 2


async def test_other_tests_run_on_real_time() -> None:
    loop = asyncio.get_running_loop()
    assert not isinstance(loop, own_time.OwnTimeLoop)

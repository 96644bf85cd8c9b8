"""Limits leave out pauses of a process, and nothing else."""

import asyncio
import collections.abc
import contextlib
import os
import sys
import threading
import time

import pytest

from . import own_time

pytestmark = pytest.mark.own_time

#: Time that work takes, in seconds.
WORK_S = 0.5
#: Stops a process for a time and lets it go on.
PAUSE = """
import os, signal, sys, time
os.kill(int(sys.argv[1]), signal.SIGSTOP)
time.sleep(float(sys.argv[2]))
os.kill(int(sys.argv[1]), signal.SIGCONT)
"""
#: Computes without an end, on one processor, until it is killed.
COMPUTE = """
import os, sys
os.sched_setaffinity(0, {int(sys.argv[1])})
while True:
    pass
"""
Work = collections.abc.Callable[[], collections.abc.Awaitable[None]]


def _now_s() -> float:
    return asyncio.get_running_loop().time()


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


def _sleep() -> None:
    time.sleep(WORK_S)


async def _block() -> None:
    _sleep()


async def _pause() -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PAUSE, str(os.getpid()), str(10 * WORK_S)
    )
    assert await process.wait() == 0


@pytest.mark.parametrize("work", [_wait, _compute_in_turns])
async def test_waits_and_work_reach_a_limit(work: Work) -> None:
    began_s = time.monotonic()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(WORK_S / 2):
            await work()
    assert time.monotonic() - began_s >= WORK_S / 2


@pytest.mark.parametrize("work", [_compute_at_once, _block])
async def test_what_keeps_the_loop_busy_counts(work: Work) -> None:
    began_s = _now_s()
    await work()
    assert _now_s() - began_s >= WORK_S * 0.9


async def test_no_more_than_real_time_counts() -> None:
    real_s, began_s = time.monotonic(), _now_s()
    await asyncio.sleep(WORK_S)
    assert WORK_S <= _now_s() - began_s <= time.monotonic() - real_s


async def test_pause_of_the_process_reaches_no_limit() -> None:
    began_s = time.monotonic()
    async with asyncio.timeout(5 * WORK_S):
        await _pause()
    assert time.monotonic() - began_s >= 10 * WORK_S


@contextlib.asynccontextmanager
async def _crowded() -> collections.abc.AsyncIterator[None]:
    """Let nine others compute on the one processor of this process."""
    usable = os.sched_getaffinity(0)
    processor = min(usable)
    others = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-c", COMPUTE, str(processor)
        )
        for _ in range(9)
    ]
    threads = [int(name) for name in os.listdir("/proc/self/task")]
    try:
        for thread in threads:
            os.sched_setaffinity(thread, {processor})
        yield
    finally:
        for thread in threads:
            os.sched_setaffinity(thread, usable)
        for other in others:
            other.kill()
            await other.wait()


async def test_wait_for_a_processor_counts_little() -> None:
    async with _crowded():
        real_s, began_s = time.monotonic(), _now_s()
        await _compute_at_once()
        real_s, counted_s = time.monotonic() - real_s, _now_s() - began_s
    assert real_s >= 4 * WORK_S
    assert counted_s <= real_s / 2


async def test_block_counts_in_full_beside_a_wait_for_a_processor() -> None:
    async with _crowded():
        began_s = _now_s()
        await _compute_at_once()
        await _block()
        counted_s = _now_s() - began_s
    assert counted_s >= 2 * WORK_S * 0.9


def test_closed_loop_leaves_no_thread() -> None:
    before = threading.active_count()
    loop = own_time.OwnTimeLoop()
    assert threading.active_count() == before + 1
    loop.close()
    assert threading.active_count() == before

"""Loops that go on after an unexpected error."""

import asyncio

import pytest

from ... import periodic
from .. import _loops


@pytest.fixture(autouse=True)
def _short_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_loops, "RESTART_PAUSE_S", 0.0)


async def test_unexpected_error_ends_only_the_round() -> None:
    """The work was once never done again, and only a log line told so."""
    rounds = 0
    third = asyncio.Event()

    async def work() -> None:
        nonlocal rounds
        rounds += 1
        if rounds >= 3:
            third.set()
        raise ValueError("malformed")

    task = asyncio.create_task(
        periodic.run_periodically("w", lambda: 0.0, work)
    )
    async with asyncio.timeout(5.0):
        await third.wait()
    task.cancel()


async def test_loop_is_started_anew_after_an_unexpected_error() -> None:
    starts = 0

    async def loop() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise KeyError("malformed")

    async with asyncio.timeout(5.0):
        await periodic.keep_running("l", loop)
    assert starts == 3


async def test_cancellation_ends_a_loop() -> None:
    task = asyncio.create_task(
        periodic.keep_running("l", lambda: asyncio.sleep(60.0))
    )
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task

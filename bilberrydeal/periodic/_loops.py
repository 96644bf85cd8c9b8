"""Loops that repeat work and survive expected errors."""

import asyncio
import collections.abc
import random
import typing

from .. import errors
from .. import telemetry

LOG = telemetry.logger("loops")
#: Random variation of a period, as a share of it, so that processes started
#: together do not run in step.
JITTER_SHARE = 0.2
#: Pause before a loop is started anew, in seconds.
RESTART_PAUSE_S = 0.5

WorkFunction = collections.abc.Callable[[], collections.abc.Awaitable[object]]
#: A coroutine that runs until it is cancelled.
Loop = collections.abc.Coroutine[typing.Any, typing.Any, None]
DelayFunction = collections.abc.Callable[[], float]
Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]


async def run_periodically(
    name: str,
    pause_s: DelayFunction,
    work: WorkFunction,
    sleep: Sleep = asyncio.sleep,
) -> None:
    """Repeat ``work``; an error ends only the current round.

    ``pause_s`` is called after each round for the delay before the next, and
    ``sleep`` waits for it.
    """
    failing = False
    while True:
        try:
            await work()
            if failing:
                LOG.info("Periodic work recovered.", work=name)
            failing = False
        except errors.BilberrydealError as error:
            if not failing:
                LOG.warning(
                    "Periodic work failed.", work=name, reason=str(error)
                )
            failing = True
        except Exception:
            LOG.exception("Periodic work failed unexpectedly.", work=name)
            failing = True
        await sleep(pause_s())


async def keep_running(
    name: str, start: collections.abc.Callable[[], Loop]
) -> None:
    """Run a loop; start it anew after an unexpected error.

    Without it the work would not be done until the process ends.
    """
    while True:
        try:
            await start()
            return
        except Exception:
            LOG.exception("Loop failed unexpectedly.", work=name)
        await asyncio.sleep(RESTART_PAUSE_S)


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the unexpected exception that ended a task; it is not restarted."""
    if not task.cancelled() and task.exception() is not None:
        LOG.error(
            "Periodic work ended unexpectedly.", exc_info=task.exception()
        )


def jittered(period_s: float, rng: random.Random) -> DelayFunction:
    """Return a function that returns randomised delays around a period."""
    return lambda: period_s * rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

"""Periodic work that outlives typed failures."""

import asyncio
import collections.abc
import random
import typing

from .. import errors
from .. import telemetry

LOG = telemetry.logger("loops")
#: Share of a period by which rounds are spread at random, so that processes
#: started together drift apart.
JITTER_SHARE = 0.2

Work = collections.abc.Callable[[], collections.abc.Awaitable[object]]
#: What runs until it is cancelled.
Loop = collections.abc.Coroutine[typing.Any, typing.Any, None]
Pause = collections.abc.Callable[[], float]


async def every(name: str, pause_s: Pause, work: Work) -> None:
    """Do some work again and again; a typed failure ends one round only.

    ``pause_s`` is asked after each round for the time until the next.
    """
    failing = False
    while True:
        try:
            await work()
            if failing:
                LOG.info("Works again.", work=name)
            failing = False
        except errors.BilberrydealError as error:
            if not failing:
                LOG.warning("Round failed.", work=name, reason=str(error))
            failing = True
        await asyncio.sleep(pause_s())


def log_defect(task: asyncio.Task[None]) -> None:
    """Log work that ended on a defect: it is missing from now on."""
    if not task.cancelled() and task.exception() is not None:
        LOG.error("Work ended on a defect.", exc_info=task.exception())


def jittered(period_s: float, rng: random.Random) -> Pause:
    """Return pauses around a period."""
    return lambda: period_s * rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

"""Runs the periodic work of a process."""

import asyncio
import collections.abc
import random

from .. import errors
from .. import telemetry

LOG = telemetry.logger("loops")
#: Share of a period by which rounds are spread at random, so that processes
#: started together drift apart.
JITTER_SHARE = 0.2

Work = collections.abc.Callable[[], collections.abc.Awaitable[object]]


async def every(
    name: str, period_s: float, work: Work, rng: random.Random
) -> None:
    """Do some work again and again; a typed failure ends one round only."""
    failing = False
    while True:
        try:
            await work()
            if failing:
                LOG.info("Works again.", work=name)
            failing = False
        except errors.BilberrydealError as error:
            if not failing:
                LOG.warning("Round failed.", work=name, error=str(error))
            failing = True
        await asyncio.sleep(
            period_s * rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        )

import asyncio

import pytest

from bilberrydeal import ports
from bilberrydeal.agent import _orphans
from bilberrydeal.link.tests import harness

from . import fakes


async def test_only_unknown_generations_are_cancelled() -> None:
    engine = fakes.FakeEngine(running_ids=("a-1", "a-2", "b-1"))
    canceller = _orphans.OrphanCanceller(
        engine, lambda name: name == "a-2", 1.0
    )
    await canceller.cancel_orphans()
    assert engine.cancelled == ["a-1", "b-1"]
    assert canceller.cancelled == 2


async def test_engine_failure_is_retried() -> None:
    engine = fakes.FakeEngine(running_ids=("a-1",), unavailable=True)
    canceller = _orphans.OrphanCanceller(engine, lambda name: False, 0.01)
    with pytest.raises(ports.EngineFailure):
        await canceller.cancel_orphans()
    running = asyncio.create_task(canceller.run())
    await asyncio.sleep(0.03)
    engine.unavailable = False
    await harness.wait_until(lambda: canceller.cancelled > 0)
    running.cancel()


async def test_nothing_is_cancelled_within_the_first_period() -> None:
    """Entries may still ask to resume a predecessor's generations."""
    engine = fakes.FakeEngine(running_ids=("a-1",))
    canceller = _orphans.OrphanCanceller(engine, lambda name: False, 60.0)
    running = asyncio.create_task(canceller.run())
    await asyncio.sleep(0)
    assert engine.cancelled == []
    running.cancel()

import asyncio

import pytest

from bilberrydeal import ports
from bilberrydeal.agent import _orphans
from bilberrydeal.link.tests import harness

from . import fakes


async def test_only_what_the_agent_does_not_have_is_ended() -> None:
    engine = fakes.FakeEngine(unended=("a-1", "a-2", "b-1"))
    sweep = _orphans.OrphanSweep(engine, lambda name: name == "a-2", 1.0)
    await sweep.look()
    assert engine.cancelled == ["a-1", "b-1"]
    assert sweep.ended == 2


async def test_engine_without_an_answer_is_asked_again() -> None:
    engine = fakes.FakeEngine(unended=("a-1",), down=True)
    sweep = _orphans.OrphanSweep(engine, lambda name: False, 0.01)
    with pytest.raises(ports.EngineFailure):
        await sweep.look()
    running = asyncio.create_task(sweep.run())
    await asyncio.sleep(0.03)
    engine.down = False
    await harness.until(lambda: sweep.ended > 0)
    running.cancel()


async def test_nothing_is_ended_before_entries_could_ask() -> None:
    engine = fakes.FakeEngine(unended=("a-1",))
    sweep = _orphans.OrphanSweep(engine, lambda name: False, 60.0)
    running = asyncio.create_task(sweep.run())
    await asyncio.sleep(0)
    assert engine.cancelled == []
    running.cancel()

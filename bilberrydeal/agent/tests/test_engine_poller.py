import asyncio

from bilberrydeal import link
from bilberrydeal import ports
from bilberrydeal.agent import _engine_poller
from bilberrydeal.link.tests import harness

from . import fakes


def batch(first: int, *changes: int) -> ports.CacheEvents:
    """Return events: stored blocks, or evicted ones where negative."""
    return ports.CacheEvents(
        first=first,
        next=first + len(changes),
        events=tuple(
            ports.CacheEvent(
                "stored" if change > 0 else "evicted", abs(change)
            )
            for change in changes
        ),
    )


async def test_every_entry_receives_all_changes_and_gaps_are_counted() -> None:
    engine = fakes.FakeEngine(events=[batch(1, 10, 11, -10), batch(9, 12)])
    poller = _engine_poller.EnginePoller(engine, lambda: None)
    running = asyncio.create_task(poller.run())
    await harness.wait_until(lambda: not engine.events and bool(poller.gaps))
    running.cancel()
    all_changes = link.CacheChanges(stored=(11, 12), evicted=(10,))
    assert poller.changes("a") == all_changes
    assert poller.changes("a") is None
    assert poller.changes("b") == all_changes
    poller.replay("a")
    assert poller.changes("a") == all_changes


async def test_blocks_are_evicted_after_an_engine_failure() -> None:
    """A restarted engine may have lost blocks that entries count on."""
    engine = fakes.FakeEngine(events=[batch(1, 10)])
    failed = asyncio.Event()
    poller = _engine_poller.EnginePoller(engine, failed.set)
    running = asyncio.create_task(poller.run())
    await harness.wait_until(lambda: not engine.events)
    engine.unavailable = True
    await failed.wait()
    running.cancel()
    assert poller.changes("a") == link.CacheChanges((), evicted=(10,))

import asyncio

from bilberrydeal import link
from bilberrydeal import ports
from bilberrydeal.agent import _feed
from bilberrydeal.link.tests import harness

from . import fakes


def batch(first: int, *changes: int) -> ports.CacheEvents:
    """Return events: a block stored, or evicted where it is negative."""
    return ports.CacheEvents(
        first=first,
        next=first + len(changes),
        events=tuple(
            ports.CacheEvent("stored" if c > 0 else "evicted", abs(c))
            for c in changes
        ),
    )


async def test_each_entry_gets_the_changes_and_gaps_are_counted() -> None:
    engine = fakes.FakeEngine(events=[batch(1, 10, 11, -10), batch(9, 12)])
    feed = _feed.EngineFeed(engine, lambda: None)
    running = asyncio.create_task(feed.run())
    await harness.until(lambda: not engine.events and bool(feed.gaps))
    running.cancel()
    whole = link.CacheChanges(stored=(11, 12), evicted=(10,))
    assert feed.changes("a") == whole
    assert feed.changes("a") is None
    assert feed.changes("b") == whole
    feed.restart("a")
    assert feed.changes("a") == whole


async def test_engine_that_failed_has_lost_its_cache() -> None:
    engine = fakes.FakeEngine(events=[batch(1, 10)])
    failed = asyncio.Event()
    feed = _feed.EngineFeed(engine, failed.set)
    running = asyncio.create_task(feed.run())
    await harness.until(lambda: not engine.events)
    engine.down = True
    await failed.wait()
    running.cancel()
    assert feed.changes("a") == link.CacheChanges((), evicted=(10,))

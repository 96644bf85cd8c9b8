import asyncio
import collections.abc
import random

import pytest

from bilberrydeal import configuration
from bilberrydeal import errors
from bilberrydeal import ports
from bilberrydeal import store
from bilberrydeal.configuration import _commit
from bilberrydeal.configuration import _follow
from bilberrydeal.configuration import _store
from bilberrydeal.configuration import _sweep
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from standins import platform

from . import test_follow

#: Few revisions stand for many.
EVERY = 6


@pytest.fixture(autouse=True)
def few_revisions(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _sweep.KEPT_REVISIONS >= _follow.READ_AT_ONCE
    assert _sweep.KEPT_REVISIONS <= _commit.SNAPSHOT_EVERY
    monkeypatch.setattr(_commit, "SNAPSHOT_EVERY", EVERY)
    monkeypatch.setattr(_sweep, "KEPT_REVISIONS", EVERY)
    monkeypatch.setattr(_sweep, "ROWS_A_ROUND", 4)
    monkeypatch.setattr(_follow, "READ_AT_ONCE", 3)


def kept(loop: virtual.VirtualLoop, memory: platform.MemoryTable) -> list[int]:
    """Return the revisions that have a row."""
    rows = loop.run(memory.scan(_store.REVISIONS, "", "", 9_999, 1.0))
    return [int(row.key) for row in rows]


def test_old_rows_go_a_few_at_a_time() -> None:
    loop, table, objects = test_follow._grown(3 * EVERY + 1)
    client = faults.make_client(loop, table)
    behind = test_follow.Entry(loop, table, objects, 2)
    removed = [
        loop.run(configuration.sweep(client, objects)) for _ in range(5)
    ]
    assert removed == [4, 4, 4, 0, 0]
    assert kept(loop, table.table) == list(range(2 * EVERY + 1, 3 * EVERY + 2))
    # One that has nothing yet starts from the snapshot.
    loop.run(behind.follower.poll(loop.now_s))
    assert behind.follower.current.revision == 3 * EVERY + 1
    assert behind.seen == [3 * EVERY, 3 * EVERY + 1]


def test_an_entry_that_is_little_behind_reads_rows() -> None:
    loop, table, objects = test_follow._grown(2 * EVERY)
    entry = test_follow.Entry(loop, table, objects, 2)
    loop.run(entry.follower.poll(loop.now_s))
    writer = test_follow.Entry(loop, table, objects, 3)
    loop.run(writer.follower.poll(loop.now_s))
    client = faults.make_client(loop, table)
    for step in range(4 * EVERY):
        loop.run(writer.set_weight("russo", 1000.0 + step))
        while loop.run(configuration.sweep(client, objects)):
            pass
        if step % 3 == 0:
            loop.run(entry.follower.poll(loop.now_s))
    loop.run(entry.follower.poll(loop.now_s))
    assert entry.follower.current == writer.follower.current
    assert entry.seen[1:] == list(range(2 * EVERY + 1, 6 * EVERY + 1))


@pytest.mark.parametrize("found", ["nothing", "another"])
def test_no_row_goes_without_a_whole_snapshot(found: str) -> None:
    loop, table, objects = test_follow._grown(3 * EVERY)
    name = _store.snapshot_name(3 * EVERY)
    whole = objects.objects.pop(name)
    if found == "another":
        objects.objects[name] = objects.objects[
            _store.snapshot_name(2 * EVERY)
        ]
    client = faults.make_client(loop, table)
    assert loop.run(configuration.sweep(client, objects)) == 0
    assert len(kept(loop, table.table)) == 3 * EVERY
    objects.objects[name] = whole
    assert loop.run(configuration.sweep(client, objects)) == 4


@pytest.mark.parametrize("fault", [faults.Fault.LOST_AFTER, faults.Fault.LATE])
def test_a_lost_answer_skips_no_row(fault: faults.Fault) -> None:
    loop, table, objects = test_follow._grown(4 * EVERY)
    client = faults.make_client(loop, table)
    for _ in range(4):
        table.script = [faults.Fault.NONE, fault]
        with pytest.raises(errors.OutcomeUnknown):
            loop.run(configuration.sweep(client, objects))
        loop.advance(1.0)
    while loop.run(configuration.sweep(client, objects)):
        pass
    rows = kept(loop, table.table)
    assert rows == list(range(3 * EVERY + 1, 4 * EVERY + 1))


class LosingTable(faults.FaultyTable):
    """Loses the first answer, and pauses the caller for that long."""

    def __init__(
        self,
        table: platform.MemoryTable,
        rng: random.Random,
        pause: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        super().__init__(table, rng)
        self.pauses = [pause]

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        committed = await super().commit(transaction, timeout_s)
        if self.pauses:
            await self.pauses.pop()()
            raise errors.OutcomeUnknown(operation="commit")
        return committed


async def _grow(entry: test_follow.Entry, revisions: int) -> None:
    for step in range(revisions):
        await entry.set_weight("derwent", 5000.0 + step)


def test_a_won_race_whose_row_was_removed_is_not_run_again() -> None:
    """The committer was paused, after a lost answer, for many revisions."""
    loop, table, objects = test_follow._grown(EVERY)
    other = test_follow.Entry(loop, table, objects, 3)
    client = faults.make_client(loop, table)

    async def others_go_on() -> None:
        await _grow(other, 4 * EVERY)
        while await configuration.sweep(client, objects):
            pass

    losing = LosingTable(table.table, random.Random(1), others_go_on)
    entry = test_follow.Entry(loop, losing, objects, 2)
    loop.run(entry.follower.poll(loop.now_s))
    with pytest.raises(errors.OutcomeUnknown):
        loop.run(entry.set_weight("russo", 77.0))
    loop.run(other.follower.poll(loop.now_s))
    assert other.follower.current.revision == EVERY + 1 + 4 * EVERY


@pytest.mark.parametrize("seed", range(20))
def test_racing_committers_and_sweepers_under_faults(seed: int) -> None:
    loop = virtual.VirtualLoop()
    rng = random.Random(seed)
    memory = platform.MemoryTable()
    objects = faults.MemoryObjects()
    committed: dict[int, float] = {}
    doubted: list[float] = []
    history: dict[int, float] = {}
    working = 3

    def table() -> faults.FaultyTable:
        return faults.FaultyTable(
            memory, rng, fault_share=0.2, latency_s=0.2, late_s=5, pause_s=9
        )

    async def operate(number: int) -> None:
        nonlocal working
        entry = test_follow.Entry(loop, table(), objects, rng.randrange(2**32))
        for step in range(25):
            weight = number * 100 + step + 1.0
            try:
                revision = await entry.set_weight(f"o{number}", weight)
                committed[revision] = weight
            except errors.OutcomeUnknown:
                doubted.append(weight)
            except errors.BilberrydealError:
                pass
        working -= 1

    async def sweep() -> None:
        client = faults.make_client(loop, table(), rng.randrange(2**32))
        while working:
            try:
                await configuration.sweep(client, objects)
            except errors.BilberrydealError:
                pass
            await asyncio.sleep(0.1)

    async def look() -> None:
        for row in await memory.scan(_store.REVISIONS, "", "", 999, 1.0):
            found = store.decode(row.value, _store.Revision)
            change = found.opened()
            assert isinstance(change, configuration.SetOrganisation)
            history[found.revision] = change.organisation.weight

    async def watch() -> None:
        """Read each row before it can be gone."""
        while working:
            await look()
            await asyncio.sleep(0.02)

    async def run() -> None:
        operators = [operate(number) for number in range(3)]
        await asyncio.gather(*operators, sweep(), sweep(), watch())

    loop.run(run())
    loop.advance(10.0)
    loop.run(look())
    assert committed.items() <= history.items()
    assert len(set(history.values())) == len(history)
    assert set(history.values()) <= {*committed.values(), *doubted}
    rows = kept(loop, memory)
    assert rows == list(range(rows[0], len(history) + 1))
    # Something was removed, and a new entry still gets all of it.
    assert rows[0] > 1
    quiet = faults.FaultyTable(memory, rng)
    reader = test_follow.Entry(loop, quiet, objects, 1)
    loop.run(reader.follower.poll(loop.now_s))
    assert reader.follower.current.revision == len(history)

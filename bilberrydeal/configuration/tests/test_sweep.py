"""Removal of old revisions, also while others commit."""

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

#: A small interval keeps the tests fast.
INTERVAL = 6


@pytest.fixture(autouse=True)
def small_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _sweep.RETAINED_REVISIONS >= _follow.READ_BATCH_SIZE
    assert _sweep.RETAINED_REVISIONS <= _commit.SNAPSHOT_INTERVAL
    monkeypatch.setattr(_commit, "SNAPSHOT_INTERVAL", INTERVAL)
    monkeypatch.setattr(_sweep, "RETAINED_REVISIONS", INTERVAL)
    monkeypatch.setattr(_sweep, "ROWS_PER_ROUND", 4)
    monkeypatch.setattr(_follow, "READ_BATCH_SIZE", 3)


def stored_revisions(
    loop: virtual.VirtualLoop, memory: platform.MemoryTable
) -> list[int]:
    """Return the revisions that still have a row."""
    rows = loop.run(memory.scan(_store.REVISIONS, "", "", 9_999, 1.0))
    return [int(row.key) for row in rows]


def test_old_rows_are_removed_in_batches() -> None:
    loop, table, objects = test_follow._commit_revisions(3 * INTERVAL + 1)
    client = faults.make_client(loop, table)
    behind = test_follow.Entry(loop, table, objects, 2)
    removed = [
        loop.run(configuration.sweep(client, objects)) for _ in range(5)
    ]
    assert removed == [4, 4, 4, 0, 0]
    assert stored_revisions(loop, table.table) == list(
        range(2 * INTERVAL + 1, 3 * INTERVAL + 2)
    )
    # A new entry loads the snapshot.
    loop.run(behind.follower.poll(loop.now_s))
    assert behind.follower.current.revision == 3 * INTERVAL + 1
    assert behind.seen == [3 * INTERVAL, 3 * INTERVAL + 1]


def test_entry_slightly_behind_reads_rows() -> None:
    loop, table, objects = test_follow._commit_revisions(2 * INTERVAL)
    entry = test_follow.Entry(loop, table, objects, 2)
    loop.run(entry.follower.poll(loop.now_s))
    writer = test_follow.Entry(loop, table, objects, 3)
    loop.run(writer.follower.poll(loop.now_s))
    client = faults.make_client(loop, table)
    for step in range(4 * INTERVAL):
        loop.run(writer.set_weight("russo", 1000.0 + step))
        while loop.run(configuration.sweep(client, objects)):
            pass
        if step % 3 == 0:
            loop.run(entry.follower.poll(loop.now_s))
    loop.run(entry.follower.poll(loop.now_s))
    assert entry.follower.current == writer.follower.current
    assert entry.seen[1:] == list(range(2 * INTERVAL + 1, 6 * INTERVAL + 1))


@pytest.mark.parametrize("found", ["nothing", "another"])
def test_rows_are_kept_without_a_usable_snapshot(found: str) -> None:
    """A new entry could otherwise not load the configuration."""
    loop, table, objects = test_follow._commit_revisions(3 * INTERVAL)
    name = _store.snapshot_name(3 * INTERVAL)
    whole = objects.objects.pop(name)
    if found == "another":
        objects.objects[name] = objects.objects[
            _store.snapshot_name(2 * INTERVAL)
        ]
    client = faults.make_client(loop, table)
    assert loop.run(configuration.sweep(client, objects)) == 0
    assert len(stored_revisions(loop, table.table)) == 3 * INTERVAL
    objects.objects[name] = whole
    assert loop.run(configuration.sweep(client, objects)) == 4


@pytest.mark.parametrize("fault", [faults.Fault.LOST_AFTER, faults.Fault.LATE])
def test_lost_response_skips_no_row(fault: faults.Fault) -> None:
    """The floor must not pass a row that was not removed."""
    loop, table, objects = test_follow._commit_revisions(4 * INTERVAL)
    client = faults.make_client(loop, table)
    for _ in range(4):
        table.script = [faults.Fault.NONE, fault]
        with pytest.raises(errors.OutcomeUnknown):
            loop.run(configuration.sweep(client, objects))
        loop.advance(1.0)
    while loop.run(configuration.sweep(client, objects)):
        pass
    rows = stored_revisions(loop, table.table)
    assert rows == list(range(3 * INTERVAL + 1, 4 * INTERVAL + 1))


class ResponseLosingTable(faults.FaultyTable):
    """Loses the response of the first commit after awaiting ``pause``."""

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


async def _commit_many(entry: test_follow.Entry, revisions: int) -> None:
    for step in range(revisions):
        await entry.set_weight("derwent", 5000.0 + step)


def test_committed_change_with_removed_row_is_not_retried() -> None:
    """A committer is paused for many revisions after a lost response.

    Its row is removed meanwhile, which must not look like a failed commit.
    """
    loop, table, objects = test_follow._commit_revisions(INTERVAL)
    other = test_follow.Entry(loop, table, objects, 3)
    client = faults.make_client(loop, table)

    async def commit_and_sweep() -> None:
        await _commit_many(other, 4 * INTERVAL)
        while await configuration.sweep(client, objects):
            pass

    table_with_loss = ResponseLosingTable(
        table.table, random.Random(1), commit_and_sweep
    )
    entry = test_follow.Entry(loop, table_with_loss, objects, 2)
    loop.run(entry.follower.poll(loop.now_s))
    with pytest.raises(errors.OutcomeUnknown):
        loop.run(entry.set_weight("russo", 77.0))
    loop.run(other.follower.poll(loop.now_s))
    assert other.follower.current.revision == INTERVAL + 1 + 4 * INTERVAL


@pytest.mark.parametrize("seed", range(20))
def test_racing_committers_and_sweepers_under_faults(seed: int) -> None:
    loop = virtual.VirtualLoop()
    rng = random.Random(seed)
    memory = platform.MemoryTable()
    objects = faults.MemoryObjects()
    committed: dict[int, float] = {}
    unknown: list[float] = []
    history: dict[int, float] = {}
    working = 3

    def table() -> faults.FaultyTable:
        return faults.FaultyTable(
            memory,
            rng,
            fault_share=0.2,
            latency_s=0.2,
            max_effect_delay_s=5,
            pause_s=9,
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
                unknown.append(weight)
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

    async def record_rows() -> None:
        for row in await memory.scan(_store.REVISIONS, "", "", 999, 1.0):
            found = store.decode(row.value, _store.Revision)
            change = found.unwrap()
            assert isinstance(change, configuration.SetOrganisation)
            history[found.revision] = change.organisation.weight

    async def watch_rows() -> None:
        """Record each row before it can be removed."""
        while working:
            await record_rows()
            await asyncio.sleep(0.02)

    async def run() -> None:
        operators = [operate(number) for number in range(3)]
        await asyncio.gather(*operators, sweep(), sweep(), watch_rows())

    loop.run(run())
    loop.advance(10.0)
    loop.run(record_rows())
    assert committed.items() <= history.items()
    assert len(set(history.values())) == len(history)
    assert set(history.values()) <= {*committed.values(), *unknown}
    rows = stored_revisions(loop, memory)
    assert rows == list(range(rows[0], len(history) + 1))
    # Rows were removed, and a new entry still reads the whole configuration.
    assert rows[0] > 1
    quiet = faults.FaultyTable(memory, rng)
    reader = test_follow.Entry(loop, quiet, objects, 1)
    loop.run(reader.follower.poll(loop.now_s))
    assert reader.follower.current.revision == len(history)

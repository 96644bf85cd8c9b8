"""Committers and followers of the configuration."""

import asyncio
import random

import hypothesis
from hypothesis import strategies
import pytest

from bilberrydeal import configuration
from bilberrydeal import errors
from bilberrydeal.configuration import _commit
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from standins import platform


class Entry:
    """A follower and a committer with their own store client."""

    def __init__(
        self,
        loop: virtual.VirtualLoop,
        table: faults.FaultyTable,
        objects: faults.MemoryObjects,
        seed: int,
    ) -> None:
        client = faults.make_client(loop, table, seed)
        self.follower = configuration.Follower(client, objects)
        self.committer = configuration.Committer(
            client, objects, self.follower
        )
        self.seen: list[int] = []
        self.follower.listen(lambda _, after: self.seen.append(after.revision))

    async def set_weight(self, name: str, weight: float) -> int:
        """Edit a row like an operator, who reads it first."""
        found = self.follower.current.organisations.get(name)
        row = configuration.Organisation(name, weight=weight)
        change = configuration.SetOrganisation(
            row, found.revision if found else 0
        )
        return await self.committer.commit(change, "operator", 0.0)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_racing_operators_under_faults(seed: int) -> None:
    loop = virtual.VirtualLoop()
    rng = random.Random(seed)
    memory = platform.MemoryTable()
    objects = faults.MemoryObjects()
    committed: dict[int, tuple[str, float]] = {}
    doubted: list[tuple[str, float]] = []

    async def operate(number: int) -> Entry:
        table = faults.FaultyTable(
            memory,
            rng,
            fault_share=0.3,
            latency_s=0.2,
            max_effect_delay_s=5,
            pause_s=5,
        )
        entry = Entry(loop, table, objects, rng.randrange(2**32))
        for step in range(8):
            name = rng.choice(["russo", "derwent"])
            weight = number * 100 + step + 1.0
            try:
                revision = await entry.set_weight(name, weight)
            except errors.OutcomeUnknown:
                doubted.append((name, weight))
            except errors.BilberrydealError:
                pass
            else:
                assert revision not in committed
                committed[revision] = (name, weight)
        return entry

    async def run() -> list[Entry]:
        return await asyncio.gather(*(operate(n) for n in range(3)))

    entries = loop.run(run())
    loop.advance(10.0)
    reader = Entry(loop, faults.FaultyTable(memory, rng), objects, 1)
    history: dict[int, tuple[str, float]] = {}

    def note(
        change: configuration.Change, after: configuration.Configuration
    ) -> None:
        assert isinstance(change, configuration.SetOrganisation)
        row = change.organisation
        history[after.revision] = (row.name, row.weight)

    reader.follower.listen(note)
    loop.run(reader.follower.poll(loop.now_s))
    # What was said to be committed is there, once; nothing else is but
    # what its operator was told is unknown.
    assert committed.items() <= history.items()
    others = [v for k, v in history.items() if k not in committed]
    assert set(others) <= set(doubted)
    assert len(set(history.values())) == len(history)
    for entry in entries:
        # In order, each once, never back.
        assert entry.seen == list(range(1, len(entry.seen) + 1))


def _commit_revisions(
    revisions: int,
) -> tuple[virtual.VirtualLoop, faults.FaultyTable, faults.MemoryObjects]:
    loop = virtual.VirtualLoop()
    table = faults.FaultyTable(platform.MemoryTable(), random.Random(1))
    objects = faults.MemoryObjects()
    entry = Entry(loop, table, objects, 1)
    for n in range(revisions):
        loop.run(entry.set_weight("russo", n + 1.0))
    return loop, table, objects


@pytest.mark.parametrize("lost", [False, True])
def test_restarted_entry_loads_the_snapshot(lost: bool) -> None:
    revisions = _commit.SNAPSHOT_INTERVAL * 2 + 5
    loop, table, objects = _commit_revisions(revisions)
    if lost:
        objects.objects.clear()
    entry = Entry(loop, table, objects, 2)
    calls = table.calls
    loop.run(entry.follower.poll(loop.now_s))
    assert entry.follower.current.revision == revisions
    # Loading the snapshot notifies listeners once.
    assert len(entry.seen) == (revisions if lost else 1 + 5)
    # Revisions skipped by the snapshot cannot be relayed to peers.
    first = entry.follower.relay_changes(0)
    assert first is None or first.revisions[0].revision == 1
    assert table.calls - calls <= (1 + revisions // 100 + 1 if lost else 2)


def test_peer_relays_missing_revisions() -> None:
    loop, table, objects = _commit_revisions(7)
    source = Entry(loop, table, objects, 2)
    loop.run(source.follower.poll(loop.now_s))
    loop.advance(3.0)
    head = source.follower.relay_head(loop.now_s)
    assert head == configuration.RelayHead(revision=7, age_s=3.0)
    sink = Entry(loop, table, objects, 3)
    changes = source.follower.relay_changes(0)
    assert changes is not None
    assert sink.follower.apply_relayed(changes.revisions[2:]) == 0
    assert sink.follower.apply_relayed(changes.revisions) == 7
    assert sink.follower.apply_relayed(changes.revisions) == 0
    assert sink.follower.current == source.follower.current


def test_guard_prevents_a_commit() -> None:
    loop, table, objects = _commit_revisions(1)
    entry = Entry(loop, table, objects, 2)

    class Guard:
        ended: list[bool] = []
        blocked = False

        def begin_commit(self, now_s: float) -> None:
            if self.blocked:
                raise errors.StoreUnavailable(operation="held")

        def end_commit(self, known: bool, now_s: float) -> None:
            self.ended.append(known)

    guard = Guard()
    entry.committer._guard = guard
    loop.run(entry.follower.poll(loop.now_s))
    loop.run(entry.set_weight("russo", 2.0))
    guard.blocked = True
    with pytest.raises(errors.StoreUnavailable):
        loop.run(entry.set_weight("russo", 3.0))
    assert guard.ended == [True]
    assert entry.follower.current.organisations["russo"].weight == 2.0

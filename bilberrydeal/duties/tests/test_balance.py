import asyncio
import random

import attrs
import pytest

from bilberrydeal import duties
from bilberrydeal import errors
from bilberrydeal import leases
from bilberrydeal import store
from bilberrydeal.duties import _balance
from bilberrydeal.duties import _runner
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from standins import platform

BOUNDS = leases.LeaseBounds(ttl_s=6.0, margin_s=0.5, call_longest_s=2.0)
RENEW_S = 1.5
PERIOD_S = _runner.BALANCE_PERIODS * RENEW_S
DUTIES = 4

#: Duties held, those of other holders, live entries, whether one moves.
SHARES = [
    (4, [], 1, False),
    (4, [], 2, True),
    (2, [], 2, True),
    (1, [], 9, False),
    (2, [2], 2, False),
    (3, [1], 2, True),
    (2, [1], 2, False),
    (2, [2], 3, True),
    (2, [1, 1], 3, False),
    (0, [4], 2, False),
]


@pytest.mark.parametrize(("held", "others", "entries", "moves"), SHARES)
def test_only_what_evens_out_moves(
    held: int, others: list[int], entries: int, moves: bool
) -> None:
    balance = _balance.Balance(period_s=10.0)
    due = [balance.due(held, others, entries, float(s)) for s in range(11)]
    assert due == [False] * 10 + [moves]


def test_hand_overs_that_help_nobody_become_seldom() -> None:
    """As where a member takes no duty: this entry takes it back."""
    balance = _balance.Balance(period_s=10.0)
    moved = []
    held = 2
    for second in range(2000):
        if balance.due(held, [], 2, float(second)):
            moved.append(second)
        held = 1 if moved and second - moved[-1] < 8 else 2
    waits = [b - a for a, b in zip(moved, moved[1:], strict=False)]
    assert waits == sorted(waits)
    assert waits[0] >= 20
    assert waits[-1] >= 10.0 * _balance.LONGEST_WAITS


def test_even_times_make_hand_overs_quick_again() -> None:
    balance = _balance.Balance(period_s=10.0)
    shown = [(3, 0), (3, 10), (1, 11), (1, 40), (3, 41), (3, 51)]
    due = [balance.due(held, [1], 2, float(s)) for held, s in shown]
    assert due == [False, True, False, False, False, True]


@attrs.define
class SlowDuty:
    """Notes who works when."""

    name: str
    loop: virtual.VirtualLoop
    round_s: float = 0.0
    fails: bool = False
    #: Whether a round is under way.
    working: bool = False
    overlaps: int = 0
    #: Set when the lease went while a round was under way.
    cut: int = 0

    async def round(self, work: duties.Round) -> None:
        self.overlaps += self.working
        self.working = True
        await asyncio.sleep(self.round_s)
        self.working = False
        self.cut += not work.lease.held(self.loop.now_s)
        if self.fails:
            raise errors.OutcomeUnknown(operation="round")


@attrs.define
class Fleet:
    """Entries that come and go over one table without faults."""

    loop: virtual.VirtualLoop
    rng: random.Random
    round_s: float = 0.0
    fails: bool = False
    memory: platform.MemoryTable = attrs.Factory(platform.MemoryTable)
    runners: dict[str, duties.DutyRunner] = attrs.Factory(dict)
    tasks: dict[str, asyncio.Task[None]] = attrs.Factory(dict)
    work: list[SlowDuty] = attrs.Factory(list)
    #: Members that never take a duty.
    strangers: int = 0
    count: int = 0

    def start(self) -> str:
        self.count += 1
        name = f"e{self.count}"
        table = faults.FaultyTable(self.memory, self.rng, latency_s=0.05)
        client = faults.make_client(self.loop, table, self.count)
        found = [
            SlowDuty(f"duty-{n}", self.loop, self.round_s, self.fails)
            for n in range(DUTIES)
        ]
        self.work += found
        self.runners[name] = self.runner(client, name, found)
        self.tasks[name] = asyncio.create_task(self.runners[name].run())
        return name

    def runner(
        self, client: store.StoreClient, name: str, found: list[SlowDuty]
    ) -> duties.DutyRunner:
        return duties.DutyRunner(
            client,
            name,
            BOUNDS,
            found,
            RENEW_S,
            1.0,
            self.rng,
            entries=lambda: len(self.runners) + self.strangers,
        )

    async def stop(self, name: str) -> None:
        await self.runners.pop(name).stop()
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def end(self) -> None:
        for name in list(self.runners):
            await self.stop(name)

    def held(self) -> list[int]:
        """Return how many duties the entries have, fewest first."""
        return sorted(len(r.held()) for r in self.runners.values())


@pytest.mark.parametrize("seed", range(8))
def test_duties_even_out_after_a_rolling_restart(seed: int) -> None:
    loop = virtual.VirtualLoop()
    fleet = Fleet(loop, random.Random(seed))

    async def run() -> None:
        old = [fleet.start() for _ in range(3)]
        await asyncio.sleep(20.0)
        for name in old:
            await fleet.stop(name)
            # The others have taken its duties when its successor comes.
            await asyncio.sleep(15.0)
            fleet.start()
            await asyncio.sleep(5.0)
        for _ in range(DUTIES):
            await asyncio.sleep(2 * PERIOD_S)
        assert fleet.held() == [1, 1, 2]
        await fleet.end()

    loop.run(run())
    assert not any(duty.overlaps or duty.cut for duty in fleet.work)


def test_a_duty_is_handed_over_between_its_rounds() -> None:
    loop = virtual.VirtualLoop()
    fleet = Fleet(loop, random.Random(1), round_s=3.0)

    async def run() -> None:
        fleet.start()
        await asyncio.sleep(20.0)
        fleet.start()
        await asyncio.sleep(4 * PERIOD_S)
        assert fleet.held() == [2, 2]
        await fleet.end()

    loop.run(run())
    assert not any(duty.cut for duty in fleet.work)


def test_a_duty_in_doubt_stays() -> None:
    """A call of it may still take effect; the lease's end waits that out."""
    loop = virtual.VirtualLoop()
    fleet = Fleet(loop, random.Random(1), fails=True)

    async def run() -> None:
        fleet.start()
        await asyncio.sleep(20.0)
        fleet.start()
        await asyncio.sleep(4 * PERIOD_S)
        assert fleet.held() == [0, DUTIES]
        await fleet.end()

    loop.run(run())


def test_a_duty_that_nobody_takes_comes_back() -> None:
    loop = virtual.VirtualLoop()
    fleet = Fleet(loop, random.Random(1), strangers=1)

    async def run() -> None:
        fleet.start()
        await asyncio.sleep(20.0)
        away = 0
        for _ in range(600):
            await asyncio.sleep(1.0)
            away += fleet.held() != [DUTIES]
        # Moved again and again it would be away a third of the time.
        assert 0 < away < 100
        await fleet.end()

    loop.run(run())

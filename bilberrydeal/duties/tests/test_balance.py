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

BOUNDS = leases.LeaseBounds(ttl_s=6.0, margin_s=0.5, max_call_s=2.0)
RENEW_S = 1.5
PERIOD_S = _runner.BALANCE_PERIODS * RENEW_S
DUTIES = 4

#: Held duties, duties of each other holder, live entries, and whether a duty
#: is handed over.
BALANCE_CASES = [
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


@pytest.mark.parametrize(("held", "others", "entries", "moves"), BALANCE_CASES)
def test_handover_only_if_it_improves_balance(
    held: int, others: list[int], entries: int, moves: bool
) -> None:
    """A handover at a difference of one would only swap the counts."""
    timer = _balance.HandoverTimer(period_s=10.0)
    due = [
        timer.should_hand_over(held, others, entries, float(s))
        for s in range(11)
    ]
    assert due == [False] * 10 + [moves]


def test_futile_handovers_back_off() -> None:
    """A member acquires no duties, so this entry always reacquires its own.

    Without backoff the duty would keep moving.
    """
    timer = _balance.HandoverTimer(period_s=10.0)
    handovers_s = []
    held = 2
    for second in range(2000):
        if timer.should_hand_over(held, [], 2, float(second)):
            handovers_s.append(second)
        held = 1 if handovers_s and second - handovers_s[-1] < 8 else 2
    intervals_s = [
        b - a for a, b in zip(handovers_s, handovers_s[1:], strict=False)
    ]
    assert intervals_s == sorted(intervals_s)
    assert intervals_s[0] >= 20
    assert intervals_s[-1] >= 10.0 * _balance.MAX_BACKOFF_FACTOR


def test_balanced_period_resets_the_backoff() -> None:
    """A backoff that never resets would delay later useful handovers."""
    timer = _balance.HandoverTimer(period_s=10.0)
    samples = [(3, 0), (3, 10), (1, 11), (1, 40), (3, 41), (3, 51)]
    due = [
        timer.should_hand_over(held, [1], 2, float(s)) for held, s in samples
    ]
    assert due == [False, True, False, False, False, True]


@attrs.define
class SlowDuty:
    """Records overlapping rounds and rounds that outlast their lease."""

    name: str
    loop: virtual.VirtualLoop
    round_s: float = 0.0
    fails: bool = False
    #: Whether a round is running.
    running: bool = False
    overlaps: int = 0
    #: Rounds during which the lease was lost.
    lease_losses: int = 0

    async def run_round(self, context: duties.RoundContext) -> None:
        self.overlaps += self.running
        self.running = True
        await asyncio.sleep(self.round_s)
        self.running = False
        self.lease_losses += not context.lease.is_held(self.loop.now_s)
        if self.fails:
            raise errors.OutcomeUnknown(operation="round")


@attrs.define
class Fleet:
    """Entries that start and stop, sharing one table without faults."""

    loop: virtual.VirtualLoop
    rng: random.Random
    round_s: float = 0.0
    fails: bool = False
    memory: platform.MemoryTable = attrs.Factory(platform.MemoryTable)
    runners: dict[str, duties.DutyRunner] = attrs.Factory(dict)
    tasks: dict[str, asyncio.Task[None]] = attrs.Factory(dict)
    work: list[SlowDuty] = attrs.Factory(list)
    #: Members that never acquire a duty.
    idle_members: int = 0
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
            count_entries=lambda: len(self.runners) + self.idle_members,
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
        """Return the number of duties of each entry, sorted."""
        return sorted(len(r.held()) for r in self.runners.values())


@pytest.mark.parametrize("seed", range(8))
def test_duties_rebalance_after_a_rolling_restart(seed: int) -> None:
    """Restarted entries find all duties held and must get their share."""
    loop = virtual.VirtualLoop()
    fleet = Fleet(loop, random.Random(seed))

    async def run() -> None:
        old = [fleet.start() for _ in range(3)]
        await asyncio.sleep(20.0)
        for name in old:
            await fleet.stop(name)
            # The others acquire its duties before its successor starts.
            await asyncio.sleep(15.0)
            fleet.start()
            await asyncio.sleep(5.0)
        for _ in range(DUTIES):
            await asyncio.sleep(2 * PERIOD_S)
        assert fleet.held() == [1, 1, 2]
        await fleet.end()

    loop.run(run())
    assert not any(duty.overlaps or duty.lease_losses for duty in fleet.work)


def test_handover_waits_for_the_end_of_a_round() -> None:
    """A lease released during a round would let two entries work at once."""
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
    assert not any(duty.lease_losses for duty in fleet.work)


def test_duty_with_uncertain_outcome_is_not_handed_over() -> None:
    """Its last call may still take effect; only lease expiry covers that."""
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


def test_handed_over_duty_that_nobody_acquires_is_reacquired() -> None:
    """A member without duties must not leave a duty idle for long."""
    loop = virtual.VirtualLoop()
    fleet = Fleet(loop, random.Random(1), idle_members=1)

    async def run() -> None:
        fleet.start()
        await asyncio.sleep(20.0)
        idle_s = 0
        for _ in range(600):
            await asyncio.sleep(1.0)
            idle_s += fleet.held() != [DUTIES]
        # Without backoff the duty would be idle a third of the time.
        assert 0 < idle_s < 100
        await fleet.end()

    loop.run(run())

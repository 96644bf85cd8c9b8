import asyncio
import collections
import collections.abc
import contextlib
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bilberrydeal import billing
from bilberrydeal import claims
from bilberrydeal import duties
from bilberrydeal import errors
from bilberrydeal import leases
from bilberrydeal import link
from bilberrydeal import membership
from bilberrydeal import orders
from bilberrydeal import ports
from bilberrydeal import store
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from bilberrydeal.systems import fleet
from standins import platform

BOUNDS = leases.LeaseBounds(ttl_s=6.0, margin_s=0.5, call_longest_s=2.0)
RULE = billing.WindowRule(window_s=10, grace_s=2.0)


@attrs.define
class Endpoints:
    """Takes orders, loses answers, and checks nothing but identities."""

    rng: random.Random
    fault_share: float = 0.0
    #: Calls by order.
    calls: list[ports.PurchaseOrder] = attrs.Factory(list)
    counts: dict[str, int] = attrs.Factory(dict)

    async def purchase(
        self, order: ports.PurchaseOrder, timeout_s: float
    ) -> None:
        if self.rng.random() < self.fault_share / 2:
            raise errors.StoreUnavailable(operation="purchase")
        await asyncio.sleep(self.rng.uniform(0, timeout_s))
        self.calls.append(order)
        known = self.counts.setdefault(order.order_id, order.count)
        assert known == order.count
        if self.rng.random() < self.fault_share:
            raise errors.OutcomeUnknown(operation="purchase")

    async def release(
        self, order: ports.ReleaseOrder, timeout_s: float
    ) -> None:
        raise AssertionError(order)

    async def endpoints(
        self, failure_domain: str, timeout_s: float
    ) -> tuple[ports.EndpointRecord, ...]:
        return ()


def _buy_up_to(
    wanted: int,
) -> collections.abc.Callable[[duties.FleetView], duties.FleetDecision]:
    def decide(view: duties.FleetView) -> duties.FleetDecision:
        have = sum(row.count for row in view.recent)
        if have >= wanted:
            return duties.FleetDecision()
        purchase = fleet.Purchase("m@d1", "m", "d1", count=1)
        return duties.FleetDecision(purchases=(purchase,))

    return decide


@attrs.define
class World:
    """Entries that run duties, end by a kill or a shutdown, and restart."""

    loop: virtual.VirtualLoop
    rng: random.Random
    share: float = 0.0
    memory: platform.MemoryTable = attrs.Factory(platform.MemoryTable)
    endpoints: Endpoints = attrs.Factory(
        lambda self: Endpoints(self.rng, self.share), takes_self=True
    )
    hints: list[tuple[str, int]] = attrs.Factory(list)
    wanted: int = 6
    count: int = 0

    def runner(self) -> duties.DutyRunner:
        self.count += 1
        table = faults.FaultyTable(
            self.memory,
            self.rng,
            fault_share=self.share,
            latency_s=0.2,
            late_s=10.0,
            pause_s=15.0,
        )
        client = faults.make_client(
            self.loop, table, self.rng.randrange(2**32)
        )
        decide = _buy_up_to(self.wanted)
        return duties.DutyRunner(
            client,
            f"e{self.count}",
            BOUNDS,
            [
                duties.FleetDuty(client, self.endpoints, "d1", decide),
                duties.RoleDuty(client, self._roles, self._hint),
                duties.UsageDuty(client, _Usage(), RULE, lambda name: False),
            ],
            renew_s=1.5,
            round_s=1.0,
            rng=self.rng,
            wall=self.loop.time,
        )

    def _roles(
        self, committed: duties.Orders, now_s: float
    ) -> list[duties.EngineTarget]:
        """Turn an engine's role over now and then."""
        roles = list(ports.EngineRole)
        role = roles[int(now_s // 10) % len(roles)]
        return [duties.EngineTarget("engine-1", role, "m")]

    def _hint(self, endpoint_id: str, order_version: int) -> None:
        self.hints.append((endpoint_id, order_version))

    async def entry(self, until_s: float) -> None:
        while self.loop.now_s < until_s:
            runner = self.runner()
            task = asyncio.create_task(runner.run())
            await asyncio.sleep(self.rng.uniform(5, 40))
            if self.rng.random() < 0.5:
                await runner.stop()
            await _end(task)


async def _end(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _rows(world: World, table: str) -> list[ports.Row]:
    return list(await world.memory.scan(table, "", "", 9_999, 1.0))


async def _state(world: World) -> list[ports.Row]:
    """Return all rows that a duty may write."""
    tables = ("billing", "fleet_intents", "orders", "recorders", "seals")
    return [row for name in tables for row in await _rows(world, name)]


@hypothesis.settings(derandomize=True, max_examples=20, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_nothing_is_ordered_twice(seed: int) -> None:
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(seed), share=0.15)

    async def run() -> None:
        until_s = loop.now_s + 100.0
        await asyncio.gather(*(world.entry(until_s) for _ in range(3)))
        world.share = world.endpoints.fault_share = 0.0
        await world.entry(loop.now_s + 20.0)

    loop.run(run())
    assert sum(world.endpoints.counts.values()) <= world.wanted
    rows = loop.run(_rows(world, "fleet_intents"))
    intents = {
        row.order_id: row
        for row in (store.decode(r.value, duties.IntentRow) for r in rows)
    }
    # Nothing was called that was not an intent before.
    assert world.endpoints.counts.keys() <= intents.keys()
    hints = [version for _, version in world.hints]
    assert hints == sorted(set(hints))


def test_duties_spread_and_are_handed_over() -> None:
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(3))
    runners = [world.runner() for _ in range(3)]

    async def run() -> None:
        tasks = [asyncio.create_task(r.run()) for r in runners]
        await asyncio.sleep(20.0)
        held = [len(r.held()) for r in runners]
        assert sum(held) == 3
        assert max(held) <= 2
        await runners[0].stop()
        assert runners[0].held() == ()
        # Before the lease would have run out.
        await asyncio.sleep(BOUNDS.ttl_s)
        assert sum(len(r.held()) for r in runners) == 3
        await _end(*tasks)

    loop.run(run())
    rows = loop.run(_rows(world, "orders"))
    order = orders.decode_order(rows[0])
    assert order.order_version == len(world.hints)


@pytest.mark.parametrize("covered", [True, False])
def test_dead_members_are_swept(covered: bool) -> None:
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    client = faults.make_client(loop, memory)
    for port, name in enumerate(("dead", "alive")):
        member = membership.EntryMember(name, name, "127.0.0.1", port, "d1")
        row = membership.Registration(client, member)
        loop.run(row.join(0.0))
    duty = duties.SweepDuty(
        client,
        faults.MemoryObjects(),
        claims.Claims(client, faults.MemoryObjects()),
        RULE,
        entry_unchanged_s=100.0,
        may_remove=lambda name: covered,
    )
    lease = leases.Lease(client, duty.name, "alive", BOUNDS)

    async def run(seconds: int) -> list[str]:
        for _ in range(seconds):
            await asyncio.sleep(1.0)
            await row.renew(0.0)
            await duty.round(duties.Round(lease, client.now_s(), 0.0))
        rows = await memory.scan("members", "", "", 9, 1.0)
        return [row.key for row in rows]

    alive = ["entry/alive", "standing/alive"]
    assert (loop.run(run(50)) == alive) is covered
    assert loop.run(run(100)) == alive


class _Usage:
    """Takes all reports."""

    def __init__(self) -> None:
        self.reports: collections.Counter[str] = collections.Counter()

    async def report(
        self, report: ports.UsageReport, timeout_s: float
    ) -> None:
        self.reports[report.organisation] += report.figures.calls


def test_usage_of_a_dead_entry_is_reported() -> None:
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    client = faults.make_client(loop, memory)
    dead = billing.Recorder(client, "dead", RULE)
    loop.run(dead.open(loop.now_s))
    number = link.RequestNumber("dead", 1)
    figures = ports.OrganisationFigures(calls=1)
    assert dead.self_bill(number, "russo", figures, loop.now_s)
    loop.run(dead.settle(loop.now_s))
    usage = _Usage()
    duty = duties.UsageDuty(client, usage, RULE, lambda name: name == "dead")
    runner = duties.DutyRunner(
        client, "e1", BOUNDS, [duty], 1.5, 1.0, random.Random(1), loop.time
    )

    async def run() -> None:
        task = asyncio.create_task(runner.run())
        await asyncio.sleep(40.0)
        await _end(task)

    loop.run(run())
    assert usage.reports == {"russo": 1}
    sealed = loop.run(billing.read_sealed(client, 99))
    assert sealed[0].outcome is not None
    assert sealed[0].outcome.reported == ("russo",)
    statuses = loop.run(leases.read_leases(client))
    assert statuses == (leases.LeaseStatus("usage", "e1", 1),)


@pytest.mark.parametrize("kind", ["usage", "roles", "fleet"])
def test_one_that_was_overtaken_changes_nothing(kind: str) -> None:
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(1))
    client = faults.make_client(loop, world.memory)
    made: dict[str, duties.Duty] = {
        "usage": duties.UsageDuty(client, _Usage(), RULE, lambda name: True),
        "roles": duties.RoleDuty(client, world._roles, world._hint),
        "fleet": duties.FleetDuty(
            client, world.endpoints, "d1", _buy_up_to(1)
        ),
    }
    duty = made[kind]
    recorder = billing.Recorder(client, "e1", RULE)
    loop.run(recorder.open(loop.now_s - 100.0))
    loop.run(recorder.close(loop.now_s))
    lease = leases.Lease(client, duty.name, "e1", BOUNDS)
    assert loop.run(lease.tick())
    # The holder was paused and does not know yet.
    taken = leases.FenceRow(2, "e2", "nonce")
    write = ports.Write("fences", duty.name, store.encode(taken))
    loop.run(client.commit(ports.Transaction((), (write,))))
    before = loop.run(_state(world))
    work = duties.Round(lease, client.now_s(), loop.now_s)
    with contextlib.suppress(errors.TableConflict):
        loop.run(duty.round(work))
    assert loop.run(_state(world)) == before
    assert not world.endpoints.calls
    assert not world.hints


def test_planner_goes_on_from_the_newest_order() -> None:
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(1))
    client = faults.make_client(loop, world.memory)
    duty = duties.RoleDuty(client, world._roles, world._hint)
    lease = leases.Lease(client, duty.name, "e1", BOUNDS)
    assert loop.run(lease.tick())
    loop.run(duty.round(duties.Round(lease, client.now_s(), loop.now_s)))
    assert [version for _, version in world.hints] == [1]
    key = orders.order_key("engine-1")
    (row,) = loop.run(client.read([key]))
    assert row is not None
    # Somebody raised the version behind the planner's back.
    theirs = attrs.evolve(orders.decode_order(row), order_version=7)
    write = ports.Write(key.table, key.key, orders.encode_order(theirs))
    loop.run(client.commit(ports.Transaction((), (write,))))
    loop.now_s += 10.0
    assert loop.run(lease.tick())
    loop.run(duty.round(duties.Round(lease, client.now_s(), loop.now_s)))
    assert world.hints[-1] == ("engine-1", 8)

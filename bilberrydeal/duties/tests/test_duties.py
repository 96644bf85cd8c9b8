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

BOUNDS = leases.LeaseBounds(ttl_s=6.0, margin_s=0.5, max_call_s=2.0)
RULE = billing.WindowRule(window_s=10, grace_s=2.0)


@attrs.define
class Endpoints:
    """Accepts orders, loses responses and checks only order IDs."""

    rng: random.Random
    fault_share: float = 0.0
    #: Accepted calls.
    calls: list[ports.PurchaseOrder] = attrs.Factory(list)
    #: Number of endpoints by order ID.
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


def _purchase_up_to(
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
    """Entries that run duties, crash or shut down, and restart."""

    loop: virtual.VirtualLoop
    rng: random.Random
    fault_share: float = 0.0
    memory: platform.MemoryTable = attrs.Factory(platform.MemoryTable)
    endpoints: Endpoints = attrs.Factory(
        lambda self: Endpoints(self.rng, self.fault_share), takes_self=True
    )
    notifications: list[tuple[str, int]] = attrs.Factory(list)
    wanted: int = 6
    count: int = 0

    def runner(self) -> duties.DutyRunner:
        self.count += 1
        table = faults.FaultyTable(
            self.memory,
            self.rng,
            fault_share=self.fault_share,
            latency_s=0.2,
            max_effect_delay_s=10.0,
            pause_s=15.0,
        )
        client = faults.make_client(
            self.loop, table, self.rng.randrange(2**32)
        )
        decide = _purchase_up_to(self.wanted)
        return duties.DutyRunner(
            client,
            f"e{self.count}",
            BOUNDS,
            [
                duties.FleetDuty(client, self.endpoints, "d1", decide),
                duties.RoleDuty(client, self._roles, self._notify),
                duties.UsageDuty(client, _Usage(), RULE, lambda name: False),
            ],
            renew_s=1.5,
            round_s=1.0,
            rng=self.rng,
            wall_clock=self.loop.time,
        )

    def _roles(
        self, committed: duties.Orders, now_s: float
    ) -> list[duties.EngineTarget]:
        """Change the role of one engine every ten seconds."""
        roles = list(ports.EngineRole)
        role = roles[int(now_s // 10) % len(roles)]
        return [duties.EngineTarget("engine-1", role, "m")]

    def _notify(self, endpoint_id: str, order_version: int) -> None:
        self.notifications.append((endpoint_id, order_version))

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
    """Return all rows that duties may write."""
    tables = ("billing", "fleet_intents", "orders", "recorders", "seals")
    return [row for name in tables for row in await _rows(world, name)]


@hypothesis.settings(derandomize=True, max_examples=20, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_no_order_is_placed_twice(seed: int) -> None:
    """Entries restart and store and platform lose responses at random.

    A successor that repeats an intent must not buy more endpoints.
    """
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(seed), fault_share=0.15)

    async def run() -> None:
        until_s = loop.now_s + 100.0
        await asyncio.gather(*(world.entry(until_s) for _ in range(3)))
        world.fault_share = world.endpoints.fault_share = 0.0
        await world.entry(loop.now_s + 20.0)

    loop.run(run())
    assert sum(world.endpoints.counts.values()) <= world.wanted
    rows = loop.run(_rows(world, "fleet_intents"))
    intents = {
        row.order_id: row
        for row in (store.decode(r.value, duties.IntentRow) for r in rows)
    }
    # Every call belongs to a committed intent.
    assert world.endpoints.counts.keys() <= intents.keys()
    notifications = [version for _, version in world.notifications]
    assert notifications == sorted(set(notifications))


def test_duties_are_spread_and_released_on_stop() -> None:
    """A stopped entry must not make others wait for its leases to expire."""
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
        # Successors would wait longer than this for an expiry.
        await asyncio.sleep(BOUNDS.ttl_s)
        assert sum(len(r.held()) for r in runners) == 3
        await _end(*tasks)

    loop.run(run())
    rows = loop.run(_rows(world, "orders"))
    order = orders.decode_order(rows[0])
    assert order.order_version == len(world.notifications)


@pytest.mark.parametrize("covered", [True, False])
def test_rows_of_dead_members_are_removed(covered: bool) -> None:
    """Removed after missed renewals if ``may_remove`` allows it.

    Otherwise the row must stay for ``entry_expiry_s``.
    """
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
        claims.ClaimManager(client, faults.MemoryObjects()),
        RULE,
        entry_expiry_s=100.0,
        may_remove=lambda name: covered,
    )
    lease = leases.Lease(client, duty.name, "alive", BOUNDS)

    async def run(seconds: int) -> list[str]:
        for _ in range(seconds):
            await asyncio.sleep(1.0)
            await row.renew(0.0)
            await duty.run_round(
                duties.RoundContext(lease, client.now_s(), 0.0)
            )
        rows = await memory.scan("members", "", "", 9, 1.0)
        return [row.key for row in rows]

    alive = ["entry/alive", "standing/alive"]
    assert (loop.run(run(50)) == alive) is covered
    assert loop.run(run(100)) == alive


class _Usage:
    """Accepts all reports."""

    def __init__(self) -> None:
        self.reports: collections.Counter[str] = collections.Counter()

    async def report(
        self, report: ports.UsageReport, timeout_s: float
    ) -> None:
        self.reports[report.organisation] += report.figures.calls


def test_usage_of_a_dead_entry_is_reported() -> None:
    """The recorder of an entry that crashed must be closed by the duty."""
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
def test_former_holder_changes_nothing(kind: str) -> None:
    """A paused holder continues after a successor acquired the lease."""
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(1))
    client = faults.make_client(loop, world.memory)
    duty_by_kind: dict[str, duties.Duty] = {
        "usage": duties.UsageDuty(client, _Usage(), RULE, lambda name: True),
        "roles": duties.RoleDuty(client, world._roles, world._notify),
        "fleet": duties.FleetDuty(
            client, world.endpoints, "d1", _purchase_up_to(1)
        ),
    }
    duty = duty_by_kind[kind]
    recorder = billing.Recorder(client, "e1", RULE)
    loop.run(recorder.open(loop.now_s - 100.0))
    loop.run(recorder.close(loop.now_s))
    lease = leases.Lease(client, duty.name, "e1", BOUNDS)
    assert loop.run(lease.tick())
    # The holder was paused and has not noticed the new fencing token.
    fence_row = leases.FenceRow(2, "e2", "nonce")
    write = ports.Write("fences", duty.name, store.encode(fence_row))
    loop.run(client.commit(ports.Transaction((), (write,))))
    before = loop.run(_state(world))
    context = duties.RoundContext(lease, client.now_s(), loop.now_s)
    with contextlib.suppress(errors.TableConflict):
        loop.run(duty.run_round(context))
    assert loop.run(_state(world)) == before
    assert not world.endpoints.calls
    assert not world.notifications


def test_planner_continues_from_the_latest_order() -> None:
    """The order version must increase even if another process raised it."""
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(1))
    client = faults.make_client(loop, world.memory)
    duty = duties.RoleDuty(client, world._roles, world._notify)
    lease = leases.Lease(client, duty.name, "e1", BOUNDS)
    assert loop.run(lease.tick())
    loop.run(
        duty.run_round(duties.RoundContext(lease, client.now_s(), loop.now_s))
    )
    assert [version for _, version in world.notifications] == [1]
    key = orders.order_key("engine-1")
    (row,) = loop.run(client.read([key]))
    assert row is not None
    # Another process raises the order version.
    concurrent = attrs.evolve(orders.decode_order(row), order_version=7)
    write = ports.Write(key.table, key.key, orders.encode_order(concurrent))
    loop.run(client.commit(ports.Transaction((), (write,))))
    loop.now_s += 10.0
    assert loop.run(lease.tick())
    loop.run(
        duty.run_round(duties.RoundContext(lease, client.now_s(), loop.now_s))
    )
    assert world.notifications[-1] == ("engine-1", 8)

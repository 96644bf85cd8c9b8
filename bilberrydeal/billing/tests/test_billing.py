"""Settling, sealing and reporting of usage under faults."""

import asyncio
import collections
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bilberrydeal import billing
from bilberrydeal import errors
from bilberrydeal import leases
from bilberrydeal import link
from bilberrydeal import ports
from bilberrydeal import store
from bilberrydeal.billing import _rows
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from standins import platform

RULE = billing.WindowRule(window_s=10, grace_s=2.0)
BOUNDS = leases.LeaseBounds(ttl_s=6.0, margin_s=0.5, max_call_s=2.0)


@attrs.define
class Usage:
    """Accepts usage reports and loses some responses."""

    rng: random.Random
    reports: dict[str, ports.UsageReport] = attrs.Factory(dict)
    conflicts: int = 0

    async def report(
        self, report: ports.UsageReport, timeout_s: float
    ) -> None:
        known = self.reports.setdefault(report.report_id, report)
        if known.figures != report.figures:
            self.conflicts += 1
            raise ports.ReportConflict(report_id=report.report_id)
        if self.rng.random() < 0.2:
            raise errors.OutcomeUnknown(operation="report")


@attrs.define
class Agent:
    """Records requests and resends the records until acknowledged."""

    name: str
    count: int = 0
    unsettled: dict[int, link.UsageRecord] = attrs.Factory(dict)

    def run(self, number: link.RequestNumber, wall_s: float) -> None:
        self.count += 1
        self.unsettled[self.count] = link.UsageRecord(
            record=self.count,
            number=number,
            organisation="russo",
            counted_at_s=wall_s,
            prompt_tokens=0,
            cached_tokens=0,
            output_tokens=0,
            calls=1,
        )

    def message(self) -> link.UsageRecords:
        acked = min(self.unsettled, default=self.count + 1) - 1
        records = tuple(self.unsettled.values())
        return link.UsageRecords(self.name, records, acked)

    def settled(self, message: link.Settled) -> None:
        for record in message.records:
            self.unsettled.pop(record, None)


@attrs.define
class World:
    """Entries that crash, agents that outlive them and one usage lease."""

    loop: virtual.VirtualLoop
    rng: random.Random
    memory: platform.MemoryTable = attrs.Factory(platform.MemoryTable)
    agents: list[Agent] = attrs.Factory(lambda: [Agent("a1"), Agent("a2")])
    usage: Usage = attrs.Factory(lambda self: Usage(self.rng), takes_self=True)
    billed_by_entry: int = 0
    dead: set[str] = attrs.Factory(set)
    counter: int = 0
    #: Share of acknowledgements that are lost.
    lost_ack_share: float = 0.2

    def client(self, share: float) -> store.StoreClient:
        table = faults.FaultyTable(
            self.memory,
            self.rng,
            fault_share=share,
            latency_s=0.2,
            max_effect_delay_s=10.0,
            pause_s=15.0,
        )
        return faults.make_client(self.loop, table, self.rng.randrange(2**32))

    async def entry(self, share: float, until_s: float) -> None:
        """Run one incarnation of an entry after another."""
        while self.loop.now_s < until_s:
            self.counter += 1
            name = f"e{self.counter}"
            client = self.client(share)
            recorder = billing.Recorder(client, name, RULE)
            try:
                await recorder.open(self.loop.now_s)
                await self.run_recorder(recorder, client, until_s)
            except errors.BilberrydealError:
                pass
            self.dead.add(name)

    async def run_recorder(
        self,
        recorder: billing.Recorder,
        client: store.StoreClient,
        until_s: float,
    ) -> None:
        sequence = 0
        lease = leases.Lease(client, "usage", recorder.name, BOUNDS)
        while self.loop.now_s < until_s and self.rng.random() > 0.02:
            for agent in self.agents:
                if self.rng.random() < 0.6:
                    sequence += 1
                    number = link.RequestNumber(recorder.name, sequence)
                    skew_s = self.rng.choice([0.0, 0.0, -3.0, -25.0])
                    agent.run(number, self.loop.now_s + skew_s)
            await self.round(recorder, lease, client)
            await asyncio.sleep(1.0)

    async def round(
        self,
        recorder: billing.Recorder,
        lease: leases.Lease,
        client: store.StoreClient,
    ) -> None:
        for agent in self.agents:
            recorder.enqueue(agent.message())
        try:
            for dead in sorted(self.dead):
                if self.rng.random() < 0.3:
                    await recorder.close_entry(dead, self.loop.now_s)
            for done in await recorder.settle(self.loop.now_s):
                if self.rng.random() > self.lost_ack_share:
                    self.acknowledge(done)
            if await lease.tick():
                await self.seal_and_report(recorder, lease, client)
        except billing.RecorderClosed:
            raise
        except errors.BilberrydealError:
            return

    async def seal_and_report(
        self,
        recorder: billing.Recorder,
        lease: leases.Lease,
        client: store.StoreClient,
    ) -> None:
        sealer = billing.Sealer(client, lease, RULE)
        await sealer.step(client.now_s(), self.loop.now_s)
        # Some lagging entries are treated as dead, though only paused.
        for name in sealer.lagging_recorders:
            if name in self.dead or self.rng.random() < 0.05:
                await recorder.close_entry(name, self.loop.now_s)
        reporter = billing.Reporter(client, lease, self.usage, RULE)
        await reporter.step(client.now_s(), self.loop.now_s)

    def acknowledge(self, done: billing.Acknowledged) -> None:
        for agent in self.agents:
            if agent.name == done.agent:
                agent.settled(done.message)


async def _live(world: World) -> None:
    """Run with faults first, then without until everything is settled."""
    now_s = world.loop.now_s
    await asyncio.gather(*(world.entry(0.15, now_s + 60.0) for _ in range(3)))
    world.lost_ack_share = 0.0
    await world.entry(0.0, world.loop.now_s + 80.0)


@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_what_ran_is_reported_once(seed: int) -> None:
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(seed))
    loop.run(_live(world))
    ran = sum(agent.count for agent in world.agents)
    unsettled = sum(len(agent.unsettled) for agent in world.agents)
    seals = loop.run(_seals(world))
    sealed = sum(s.figures["russo"].calls for s in seals if s.figures)
    open_calls = loop.run(_open_calls(world, seals[-1].window))
    assert sealed + open_calls + unsettled == ran
    assert world.usage.conflicts == 0
    reported = sum(r.figures.calls for r in world.usage.reports.values())
    later = [s for s in seals[-3:] if s.figures]
    unreported = sum(
        s.figures["russo"].calls
        for s in later
        if f"{s.window}-russo" not in world.usage.reports
    )
    assert reported + unreported == sealed
    windows = [seal.window for seal in seals]
    assert windows == list(range(windows[0], windows[-1] + 1))


async def _seals(world: World) -> list[billing.SealRow]:
    rows = await world.memory.scan("seals", "", "", 999, 1.0)
    return [billing.decode_seal(row.value) for row in rows]


async def _open_calls(world: World, sealed: int) -> int:
    """Return the number of calls in unsealed windows."""
    rows = await world.memory.scan("usage", "", "", 9999, 1.0)
    calls: collections.Counter[int] = collections.Counter()
    for row in rows:
        usage = billing.decode_usage(row.value)
        parts = [usage.figures, *(a.figures for a in usage.adjustments)]
        for part in parts:
            for figures in part.values():
                calls[int(row.key.split("/")[0])] += figures.calls
    return sum(n for window, n in calls.items() if window > sealed)


def _recorder(
    loop: virtual.VirtualLoop, table: ports.TableService, name: str
) -> billing.Recorder:
    recorder = billing.Recorder(faults.make_client(loop, table), name, RULE)
    loop.run(recorder.open(loop.now_s))
    return recorder


FIGURES = ports.OrganisationFigures(calls=1)


@pytest.mark.parametrize("agent_first", [True, False])
def test_request_billed_by_its_entry_is_counted_once(
    agent_first: bool,
) -> None:
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    recorder = _recorder(loop, memory, "e1")
    number = link.RequestNumber("e1", 1)
    agent = Agent("a1")
    agent.run(number, loop.now_s)
    for from_agent in (agent_first, not agent_first):
        if from_agent:
            recorder.enqueue(agent.message())
        else:
            recorder.self_bill(number, "russo", FIGURES, loop.now_s)
        loop.run(recorder.settle(loop.now_s))
    world = World(loop, random.Random(1), memory)
    assert loop.run(_open_calls(world, 0)) == 1


@pytest.mark.parametrize("together", [True, False])
def test_request_counted_by_two_agents_is_counted_once(together: bool) -> None:
    """The first agent dies after counting, and another resumes the request."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    recorder = _recorder(loop, memory, "e1")
    settled: list[str] = []
    for name in ("a1", "a2"):
        agent = Agent(name)
        agent.run(link.RequestNumber("e1", 1), loop.now_s)
        recorder.enqueue(agent.message())
        if name == "a2" or not together:
            done = loop.run(recorder.settle(loop.now_s))
            settled += [one.agent for one in done]
    # Both records are acknowledged; else their agents would resend them.
    assert settled == ["a1", "a2"]
    world = World(loop, random.Random(1), memory)
    assert loop.run(_open_calls(world, 0)) == 1


def test_closed_recorder_cannot_write() -> None:
    """A paused entry must not count records that another has settled."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    paused = _recorder(loop, memory, "e1")
    successor = _recorder(loop, memory, "e2")
    agent = Agent("a1")
    agent.run(link.RequestNumber("e1", 1), loop.now_s)
    successor.enqueue(agent.message())
    assert loop.run(successor.settle(loop.now_s)) == ()
    loop.run(successor.close_entry("e1", loop.now_s))
    successor.enqueue(agent.message())
    assert len(loop.run(successor.settle(loop.now_s))) == 1
    paused.enqueue(agent.message())
    with pytest.raises(billing.RecorderClosed):
        loop.run(paused.settle(loop.now_s))
    world = World(loop, random.Random(1), memory)
    assert loop.run(_open_calls(world, 0)) == 1


def test_late_record_becomes_an_adjustment() -> None:
    """Usage of a passed window must not be lost or change its figures."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    recorder = _recorder(loop, memory, "e1")
    agent = Agent("a1")
    agent.run(link.RequestNumber("e1", 1), loop.now_s - 40.0)
    recorder.enqueue(agent.message())
    loop.run(recorder.settle(loop.now_s))
    window = RULE.window_at(loop.now_s)
    row = loop.run(memory.read((_rows.usage_key(window, "e1"),), 1.0))[0]
    assert row is not None
    (adjustment,) = billing.decode_usage(row.value).adjustments
    assert adjustment.window == window - 4


@pytest.mark.parametrize(
    ("positions", "floor", "expected"),
    [
        ([1, 2, 4], 0, billing.PositionSet(2, (4,))),
        ([3], 2, billing.PositionSet(3)),
        ([5, 9], 6, billing.PositionSet(6, (9,))),
    ],
)
def test_position_set_is_compact(
    positions: list[int], floor: int, expected: billing.PositionSet
) -> None:
    found = billing.PositionSet().with_positions(positions).with_floor(floor)
    assert found == expected
    assert all(position in found for position in positions)
    assert 99 not in found


def test_recorder_with_slow_clock_opens_after_sealed_windows() -> None:
    """It could otherwise add usage to a window that is already sealed."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    _recorder(loop, memory, "e1")
    client = faults.make_client(loop, memory)
    slow = billing.Recorder(client, "e2", RULE)
    loop.run(slow.open(loop.now_s - 500.0))
    rows = loop.run(memory.scan("recorders", "", "", 9, 1.0))
    passed = [store.decode(r.value, billing.RecorderRow).passed for r in rows]
    assert passed[0] == passed[1]


class _OpenDuringSealTable(faults.FaultyTable):
    """Opens a recorder with a slow clock while a window is sealed."""

    late: billing.Recorder

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout_s: float
    ) -> tuple[ports.Row, ...]:
        rows = await super().scan(table, prefix, after, limit, timeout_s)
        if table == "usage":
            await self.late.open(0.0)
        return rows


def test_recorder_opened_during_seal_prevents_it() -> None:
    """The seal would otherwise miss usage of the new recorder."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    first = _recorder(loop, memory, "e1")
    loop.advance(30.0)
    loop.run(first.close(loop.now_s))
    table = _OpenDuringSealTable(memory, random.Random(1))
    table.late = billing.Recorder(faults.make_client(loop, memory), "e2", RULE)
    client = faults.make_client(loop, table)
    lease = leases.Lease(client, "usage", "e1", BOUNDS)
    loop.run(lease.tick())
    sealer = billing.Sealer(client, lease, RULE)
    with pytest.raises(errors.TableConflict):
        loop.run(sealer.step(client.now_s(), loop.now_s))

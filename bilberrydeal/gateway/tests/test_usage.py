"""Usage: counted in true time, settled once, reported as settled."""

import attrs
import pytest

from ... import errors
from ... import leases
from ... import ports
from ... import store
from .. import _clock
from .. import _datagrams
from .. import _reporting
from .. import _usage
from .. import _usage_broadcast
from . import memory

WINDOW_S = 5.0
DUE_S = 10.0
#: Unix time at which the tests begin: the start of a window.
BEGIN_S = 1_000_000.0


@attrs.define
class World:
    """Time that tests move, and clocks that may be wrong."""

    now_s: float = 0.0
    table: memory.MemoryStore = attrs.field(factory=memory.MemoryStore)

    def steady_s(self) -> float:
        return self.now_s

    def reading(self) -> ports.ClockReading:
        return ports.ClockReading(self.now_s + 7.0, self.now_s)

    def client(self) -> store.StoreClient:
        async def sleep(seconds: float) -> None:
            self.now_s += seconds

        return store.StoreClient(
            self.table, 0.1, 1_000.0, clock=self.steady_s, sleep=sleep
        )


class Usage:
    """Takes reports, or not."""

    def __init__(self) -> None:
        self.taken: list[tuple[int, dict[str, int], int]] = []
        self.up = True

    async def report(
        self,
        window: int,
        counts: dict[str, int],
        holder: str,
        fence: int,
        timeout_s: float,
    ) -> bool:
        if self.up:
            self.taken.append((window, dict(counts), fence))
        return self.up


class Gateway:
    """The usage side of one gateway."""

    def __init__(self, world: World, name: str, ahead_s: float = 0.0) -> None:
        self.world = world
        self.name = name
        self.client = world.client()
        self.cluster_clock = _clock.ClusterClock(
            world.reading,
            wall_s=lambda: BEGIN_S + world.now_s + ahead_s,
            steady_s=world.steady_s,
        )
        self.usage_counter = _usage.UsageCounter(self.cluster_clock, WINDOW_S)
        self.rows = _usage.UsageRows(
            self.client,
            name,
            f"{name}:1",
            self.usage_counter,
            self.cluster_clock,
        )
        self.lease = leases.Lease(
            self.client,
            _reporting.DUTY,
            name,
            leases.LeaseBounds(ttl_s=4.5, margin_s=0.5, call_longest_s=1.0),
        )
        self.usage = Usage()
        self.peer_counts = _usage_broadcast.PeerCounts()
        self.reporter = _reporting.Reporter(
            self.client,
            self.lease,
            self.rows,
            self.peer_counts,
            self.usage,
            self.cluster_clock,
            name,
            WINDOW_S,
            DUE_S,
        )


FIRST = int(BEGIN_S // WINDOW_S)
#: Time between two writes of a row.
ROW_INTERVAL_S = 1.0


def send_counts(one: Gateway, other: Gateway, window: int) -> None:
    """Hand the counts of a window over by datagram."""
    counts = _datagrams.WindowCounts(
        window,
        one.usage_counter.counts(window),
        one.cluster_clock.store_s() or 0.0,
    )
    other.peer_counts.add(_datagrams.Datagram(one.name, counts=counts))


async def _pass(world: World, seconds: float, *gateways: Gateway) -> None:
    """Let time pass while gateways write, renew and report."""
    for _ in range(int(seconds / 0.5)):
        world.now_s += 0.5
        for gateway in gateways:
            for step in (
                gateway.rows.write,
                gateway.lease.tick,
                gateway.reporter.run_once,
            ):
                try:
                    await step()
                except errors.BilberrydealError:
                    continue


async def test_counts_of_all_gateways_are_reported_once() -> None:
    world = World()
    one, two = Gateway(world, "g1"), Gateway(world, "g2")
    await _pass(world, 1.0, one, two)
    for _ in range(3):
        one.usage_counter.count("russo")
        two.usage_counter.count("russo")
    two.usage_counter.count("derwent")
    await _pass(world, 12.0, one, two)
    reports = one.usage.taken + two.usage.taken
    assert [r[:2] for r in reports if r[0] == FIRST] == [
        (FIRST, {"russo": 6, "derwent": 1})
    ]


async def test_a_gateway_without_the_store_is_waited_for() -> None:
    """Windows had been settled 2.5 s after their end, without its counts."""
    world = World()
    one, two = Gateway(world, "g1"), Gateway(world, "g2")
    await _pass(world, 1.0, one, two)
    two.usage_counter.count("russo")
    await _pass(world, 8.0, one)
    assert one.usage.taken == []
    await _pass(world, 2.0, one, two)
    reports = one.usage.taken + two.usage.taken
    assert reports[0][:2] == (FIRST, {"russo": 1})


async def test_a_dead_gateway_delays_no_report_past_its_time() -> None:
    world = World()
    one, two = Gateway(world, "g1"), Gateway(world, "g2")
    await _pass(world, 1.0, one, two)
    one.usage_counter.count("russo")
    await _pass(world, WINDOW_S + DUE_S - 1.5, one)
    assert one.usage.taken[0][:2] == (FIRST, {"russo": 1})


async def test_a_successor_repeats_what_was_settled() -> None:
    world = World()
    one, two = Gateway(world, "g1"), Gateway(world, "g2")
    await _pass(world, 1.0, one, two)
    one.usage_counter.count("russo")
    one.usage.up = False
    await _pass(world, 9.0, one, two)
    two.usage_counter.count("russo")
    await _pass(world, 14.0, two)
    assert one.usage.taken == []
    first = [report for report in two.usage.taken if report[0] == FIRST]
    assert [report[1] for report in first] == [{"russo": 1}]
    assert first[0][2] > 1


async def test_a_late_write_of_a_row_undoes_nothing() -> None:
    world = World()
    gateway = Gateway(world, "g1")
    await gateway.rows.write()
    gateway.usage_counter.count("russo")
    world.table.hold_next = 1
    with pytest.raises(errors.OutcomeUnknown):
        await gateway.rows.write()
    gateway.usage_counter.count("russo")
    await gateway.rows.write()
    assert world.table.deliver() == 0
    rows = await gateway.rows.read()
    assert rows["g1"].windows[str(FIRST)] == {"russo": 2}


async def test_a_row_whose_answer_was_lost_is_written_over() -> None:
    world = World()
    gateway = Gateway(world, "g1")
    world.table.lose_next = 1
    with pytest.raises(errors.OutcomeUnknown):
        await gateway.rows.write()
    gateway.usage_counter.count("russo")
    await gateway.rows.write()
    rows = await gateway.rows.read()
    assert rows["g1"].windows == {str(FIRST): {"russo": 1}}


async def test_most_gateways_decide_what_time_it_is() -> None:
    world = World()
    wrong = Gateway(world, "g1", ahead_s=3_000.0)
    right = [Gateway(world, f"g{n}") for n in (2, 3)]
    for gateway in (wrong, *right):
        await gateway.rows.write()
    await wrong.rows.read()
    assert wrong.cluster_clock.now_s() == pytest.approx(BEGIN_S, abs=0.1)


async def test_members_are_those_that_wrote_lately() -> None:
    world = World()
    one, two, three = (Gateway(world, f"g{n}") for n in range(3))
    for gateway in (one, two, three):
        await gateway.rows.write()
    await three.rows.write(final=True)
    members = one.rows.members(await one.rows.read(), ROW_INTERVAL_S)
    assert members.count == 2
    assert members.others == {"g1": "g1:1"}
    world.now_s += 6.0
    await one.rows.write()
    assert one.rows.members(await one.rows.read(), ROW_INTERVAL_S).count == 1


async def test_an_earlier_process_of_a_host_is_not_waited_for() -> None:
    world = World()
    one, killed = Gateway(world, "g1.0"), Gateway(world, "g2.0")
    await _pass(world, 1.0, one, killed)
    one.usage_counter.count("russo")
    again = Gateway(world, "g2.1")
    await _pass(world, WINDOW_S + 1.5, one, again)
    reports = one.usage.taken + again.usage.taken
    assert reports[0][:2] == (FIRST, {"russo": 1})


async def test_members_stay_while_the_store_is_away() -> None:
    """Nobody could write: each had taken itself for the only one."""
    world = World()
    one, two = Gateway(world, "g1"), Gateway(world, "g2")
    for gateway in (one, two):
        await gateway.rows.write()
    world.now_s += 20.0
    assert one.rows.members(await one.rows.read(), ROW_INTERVAL_S).count == 2


async def test_counts_told_before_a_kill_are_reported() -> None:
    world = World()
    one, killed = Gateway(world, "g1"), Gateway(world, "g2")
    await _pass(world, 1.0, one, killed)
    killed.usage_counter.count("russo")
    send_counts(killed, one, FIRST)
    one.usage_counter.count("russo")
    await _pass(world, WINDOW_S + DUE_S, one)
    assert one.usage.taken[0][:2] == (FIRST, {"russo": 2})


async def test_counts_told_after_the_end_are_complete() -> None:
    """A gateway that only the store does not hear is not waited for."""
    world = World()
    one, cut = Gateway(world, "g1"), Gateway(world, "g2")
    await _pass(world, 1.0, one, cut)
    cut.usage_counter.count("russo")
    await _pass(world, WINDOW_S - 0.5, one)
    send_counts(cut, one, FIRST)
    await _pass(world, 1.0, one)
    assert one.usage.taken[0][:2] == (FIRST, {"russo": 1})


async def test_counts_told_before_the_end_are_waited_for() -> None:
    world = World()
    one, cut = Gateway(world, "g1"), Gateway(world, "g2")
    await _pass(world, 1.0, one, cut)
    send_counts(cut, one, FIRST)
    await _pass(world, WINDOW_S, one)
    send_counts(cut, one, FIRST + 1)
    await _pass(world, 0.5, one)
    assert one.usage.taken == []


async def test_an_older_datagram_takes_nothing_back() -> None:
    world = World()
    one, two = Gateway(world, "g1"), Gateway(world, "g2")
    for gateway in (one, two):
        await gateway.rows.write()
    two.usage_counter.count("russo")
    first = two.usage_counter.counts(FIRST)
    world.now_s += 0.5
    two.usage_counter.count("russo")
    send_counts(two, one, FIRST)
    late = _datagrams.WindowCounts(FIRST, first, 7.0)
    one.peer_counts.add(_datagrams.Datagram("g2", counts=late))
    rows = one.peer_counts.merged_into(await one.rows.read(), FIRST)
    assert rows["g2"].windows[str(FIRST)] == {"russo": 2}


async def test_gateways_that_are_gone_are_forgotten() -> None:
    """Each restart has a name of its own; their counts had stayed for good."""
    peer_counts = _usage_broadcast.PeerCounts()
    for number in range(100):
        counts = _datagrams.WindowCounts(FIRST + number, {"russo": 1}, number)
        peer_counts.add(_datagrams.Datagram(f"g.{number}", counts=counts))
    assert len(peer_counts.windows()) == 61

"""Counting, settling and reporting of usage."""

import collections.abc

import attrs
import pytest

from ... import errors
from ... import leases
from ... import ports
from ... import store
from ..accounting import _clock
from ..accounting import _reporting
from ..accounting import _usage
from ..accounting import _usage_broadcast
from ..accounting import _window_rows
from ..messaging import _datagrams
from . import memory

WINDOW_S = 5.0
DUE_S = 10.0
#: Unix time at which the tests begin: the start of a window.
BEGIN_S = 1_000_000.0


@attrs.define
class Fixture:
    """Simulated time and a store that several gateways share."""

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
            self.table,
            0.1,
            1_000.0,
            clock=self.steady_s,
            sleep=sleep,
            era=lambda: self.table.era,
        )


class RecordingUsage:
    """Records reports, or rejects them while not available."""

    def __init__(self) -> None:
        self.reports_accepted: list[tuple[int, dict[str, int], int]] = []
        self.available = True

    async def report(
        self,
        window: int,
        counts: dict[str, int],
        holder: str,
        fence: int,
        timeout_s: float,
    ) -> bool:
        if self.available:
            self.reports_accepted.append((window, dict(counts), fence))
        return self.available


class RecordingDatagrams(_datagrams.Datagrams):
    """Keeps the datagrams that are sent, as encoded."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        self.sent.append(self.encode(datagram))
        return 0


class Gateway:
    """The usage side of one gateway."""

    def __init__(
        self, fixture: Fixture, name: str, ahead_s: float = 0.0
    ) -> None:
        self.fixture = fixture
        self.name = name
        self.client = fixture.client()
        self.cluster_clock = _clock.ClusterClock(
            fixture.reading,
            wall_s=lambda: BEGIN_S + fixture.now_s + ahead_s,
            steady_s=fixture.steady_s,
        )
        self.usage_counter = _usage.UsageCounter(self.cluster_clock, WINDOW_S)
        self.rows = _usage.UsageRows(
            self.client,
            name,
            "10.0.0.1:1",
            self.usage_counter,
            self.cluster_clock,
        )
        self.lease = leases.Lease(
            self.client,
            _reporting.DUTY,
            name,
            leases.LeaseBounds(ttl_s=4.5, margin_s=0.5, max_call_s=1.0),
        )
        self.usage = RecordingUsage()
        self.peer_counts = _usage_broadcast.PeerCounts()
        #: Windows that were told by datagram.
        self.datagrams = RecordingDatagrams()
        self.told = _usage_broadcast.SettledWindows(
            self.datagrams, name, lambda: (("127.0.0.1", 1),)
        )
        self.reporter = _reporting.Reporter(
            self.client,
            self.lease,
            self.rows,
            self.peer_counts,
            self.told,
            self.usage,
            self.cluster_clock,
            name,
            WINDOW_S,
            DUE_S,
        )


#: Time from the end of a window until its report, with time to spare.
REPORTED_S = _reporting.SETTLE_DELAY_S + _reporting.COPY_AGE_S + 0.5
FIRST_WINDOW = int(BEGIN_S // WINDOW_S)
#: Interval between writes of a row.
ROW_INTERVAL_S = 1.0


def send_counts(one: Gateway, other: Gateway, window: int) -> None:
    """Deliver the counts of a window by datagram."""
    counts = _datagrams.WindowCounts(
        window,
        one.usage_counter.counts(window),
        one.cluster_clock.store_s() or 0.0,
    )
    other.peer_counts.add(_datagrams.Datagram(one.name, counts=counts))


def settled_windows(fixture: Fixture) -> dict[int, _window_rows.WindowRow]:
    """Return the settled windows that the store has."""
    return {
        int(key): store.decode(row.value, _window_rows.WindowRow)
        for (table, key), row in fixture.table.rows.items()
        if table == _window_rows.WINDOWS
    }


async def _advance(
    fixture: Fixture, seconds: float, *gateways: Gateway
) -> None:
    """Advance time while gateways write, renew and report."""
    for _ in range(int(seconds / 0.5)):
        fixture.now_s += 0.5
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
    fixture = Fixture()
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, 1.0, one, two)
    for _ in range(3):
        one.usage_counter.count("russo")
        two.usage_counter.count("russo")
    two.usage_counter.count("derwent")
    await _advance(fixture, 12.0, one, two)
    reports = one.usage.reports_accepted + two.usage.reports_accepted
    assert [r[:2] for r in reports if r[0] == FIRST_WINDOW] == [
        (FIRST_WINDOW, {"russo": 6, "derwent": 1})
    ]


async def test_settling_waits_for_a_gateway_without_the_store() -> None:
    """Guards against settling 2.5 s after a window ends without its counts."""
    fixture = Fixture()
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, 1.0, one, two)
    two.usage_counter.count("russo")
    await _advance(fixture, 8.0, one)
    assert settled_windows(fixture) == {}
    await _advance(fixture, 2.0, one, two)
    assert settled_windows(fixture)[FIRST_WINDOW].counts == {"russo": 1}
    await _advance(fixture, REPORTED_S, one, two)
    reports = one.usage.reports_accepted + two.usage.reports_accepted
    assert reports[0][:2] == (FIRST_WINDOW, {"russo": 1})


async def test_dead_gateway_does_not_delay_a_report_past_its_due_time() -> (
    None
):
    fixture = Fixture()
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, 1.0, one, two)
    one.usage_counter.count("russo")
    await _advance(fixture, WINDOW_S + DUE_S - 1.5, one)
    assert one.usage.reports_accepted[0][:2] == (FIRST_WINDOW, {"russo": 1})


async def test_next_lease_holder_reports_the_settled_counts() -> None:
    fixture = Fixture()
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, 1.0, one, two)
    one.usage_counter.count("russo")
    one.usage.available = False
    await _advance(fixture, 9.0, one, two)
    two.usage_counter.count("russo")
    await _advance(fixture, 14.0, two)
    assert one.usage.reports_accepted == []
    first = [
        report
        for report in two.usage.reports_accepted
        if report[0] == FIRST_WINDOW
    ]
    assert [report[1] for report in first] == [{"russo": 1}]
    assert first[0][2] > 1


async def test_late_write_of_a_row_does_not_overwrite_a_newer_one() -> None:
    fixture = Fixture()
    gateway = Gateway(fixture, "g1")
    await gateway.rows.write()
    gateway.usage_counter.count("russo")
    fixture.table.delay_next = 1
    with pytest.raises(errors.OutcomeUnknown):
        await gateway.rows.write()
    gateway.usage_counter.count("russo")
    await gateway.rows.write()
    assert fixture.table.deliver() == 0
    rows = await gateway.rows.read()
    assert rows["g1"].windows[str(FIRST_WINDOW)] == {"russo": 2}


async def test_row_is_rewritten_after_a_lost_response() -> None:
    fixture = Fixture()
    gateway = Gateway(fixture, "g1")
    fixture.table.lose_next = 1
    with pytest.raises(errors.OutcomeUnknown):
        await gateway.rows.write()
    gateway.usage_counter.count("russo")
    await gateway.rows.write()
    rows = await gateway.rows.read()
    assert rows["g1"].windows == {str(FIRST_WINDOW): {"russo": 1}}


async def test_median_offset_sets_the_cluster_clock() -> None:
    fixture = Fixture()
    wrong = Gateway(fixture, "g1", ahead_s=3_000.0)
    right = [Gateway(fixture, f"g{n}") for n in (2, 3)]
    for gateway in (wrong, *right):
        await gateway.rows.write()
    await wrong.rows.read()
    assert wrong.cluster_clock.now_s() == pytest.approx(BEGIN_S, abs=0.1)


async def test_members_are_gateways_with_recent_rows() -> None:
    fixture = Fixture()
    one, two, three = (Gateway(fixture, f"g{n}") for n in range(3))
    for gateway in (one, two, three):
        await gateway.rows.write()
    await three.rows.write(final=True)
    members = one.rows.members(await one.rows.read(), ROW_INTERVAL_S)
    assert members.count == 2
    assert members.others == {"g1": "10.0.0.1:1"}
    fixture.now_s += 6.0
    await one.rows.write()
    assert one.rows.members(await one.rows.read(), ROW_INTERVAL_S).count == 1


async def test_settling_ignores_earlier_processes_of_a_host() -> None:
    fixture = Fixture()
    one, killed = Gateway(fixture, "g1.0"), Gateway(fixture, "g2.0")
    await _advance(fixture, 1.0, one, killed)
    one.usage_counter.count("russo")
    again = Gateway(fixture, "g2.1")
    await _advance(fixture, WINDOW_S + 1.0, one, again)
    assert settled_windows(fixture)[FIRST_WINDOW].counts == {"russo": 1}
    await _advance(fixture, REPORTED_S, one, again)
    reports = one.usage.reports_accepted + again.usage.reports_accepted
    assert reports[0][:2] == (FIRST_WINDOW, {"russo": 1})


async def test_members_are_kept_while_the_store_is_unreachable() -> None:
    """Guards against each gateway counting only itself, as none can write."""
    fixture = Fixture()
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    for gateway in (one, two):
        await gateway.rows.write()
    fixture.now_s += 20.0
    assert one.rows.members(await one.rows.read(), ROW_INTERVAL_S).count == 2


async def test_counts_sent_before_a_kill_are_reported() -> None:
    fixture = Fixture()
    one, killed = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, 1.0, one, killed)
    killed.usage_counter.count("russo")
    send_counts(killed, one, FIRST_WINDOW)
    one.usage_counter.count("russo")
    await _advance(fixture, WINDOW_S + DUE_S, one)
    assert one.usage.reports_accepted[0][:2] == (FIRST_WINDOW, {"russo": 2})


async def test_counts_sent_after_the_window_end_are_complete() -> None:
    """A gateway that can reach its peers but not the store is not awaited."""
    fixture = Fixture()
    one, partitioned = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, 1.0, one, partitioned)
    partitioned.usage_counter.count("russo")
    await _advance(fixture, WINDOW_S - 0.5, one)
    send_counts(partitioned, one, FIRST_WINDOW)
    await _advance(fixture, 1.0, one)
    assert settled_windows(fixture)[FIRST_WINDOW].counts == {"russo": 1}


async def test_settling_waits_for_counts_sent_before_the_window_end() -> None:
    fixture = Fixture()
    one, partitioned = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, 1.0, one, partitioned)
    send_counts(partitioned, one, FIRST_WINDOW)
    await _advance(fixture, WINDOW_S, one)
    send_counts(partitioned, one, FIRST_WINDOW + 1)
    await _advance(fixture, 0.5, one)
    assert settled_windows(fixture) == {}


async def test_older_datagram_does_not_lower_counts() -> None:
    fixture = Fixture()
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    for gateway in (one, two):
        await gateway.rows.write()
    two.usage_counter.count("russo")
    first = two.usage_counter.counts(FIRST_WINDOW)
    fixture.now_s += 0.5
    two.usage_counter.count("russo")
    send_counts(two, one, FIRST_WINDOW)
    late = _datagrams.WindowCounts(FIRST_WINDOW, first, 7.0)
    one.peer_counts.add(_datagrams.Datagram("g2", counts=late))
    rows = one.peer_counts.merged_into(await one.rows.read(), FIRST_WINDOW)
    assert rows["g2"].windows[str(FIRST_WINDOW)] == {"russo": 2}


async def test_counts_of_ended_gateways_are_dropped() -> None:
    """Guards against a leak: each restart has a new id and kept its counts."""
    peer_counts = _usage_broadcast.PeerCounts()
    for number in range(100):
        counts = _datagrams.WindowCounts(
            FIRST_WINDOW + number, {"russo": 1}, number
        )
        peer_counts.add(_datagrams.Datagram(f"g.{number}", counts=counts))
    assert len(peer_counts.windows()) == 61


def reports_of(window: int, *gateways: Gateway) -> list[dict[str, int]]:
    """Return the counts of all accepted reports of a window."""
    return [
        report[1]
        for gateway in gateways
        for report in gateway.usage.reports_accepted
        if report[0] == window
    ]


#: Time after which the first lease of an era is taken.
FIRST_LEASE_S = 7.5


async def test_reported_window_is_not_settled_again_after_a_restore() -> None:
    """Guards against a second report with counts that arrived late."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    two.usage_counter.count("russo")
    copied = fixture.table.copy()
    await _advance(fixture, WINDOW_S + REPORTED_S, one)
    assert reports_of(window, one) == [{"russo": 1}]
    fixture.table.restore(copied)
    await _advance(fixture, 3 * WINDOW_S, one, two)
    assert all(
        counts == {"russo": 1} for counts in reports_of(window, one, two)
    )
    row = settled_windows(fixture)[window]
    assert (row.counts, row.reported) == ({"russo": 1}, True)


async def test_settled_window_is_reported_while_the_store_is_away() -> None:
    """Guards against a late report because the next window cannot be settled.

    The store is lost when the next window ends. The lease is valid for some
    seconds then, and a report needs nothing else.
    """
    fixture = Fixture()
    gateway = Gateway(fixture, "g1")
    await _advance(fixture, FIRST_LEASE_S, gateway)
    window = gateway.usage_counter.window()
    gateway.usage_counter.count("russo")
    await _advance(fixture, 3 * WINDOW_S - fixture.now_s, gateway)
    assert reports_of(window, gateway) == []
    fixture.table.unreachable = True
    await _advance(fixture, 3.0, gateway)
    assert reports_of(window, gateway) == [{"russo": 1}]


async def test_report_in_doubt_is_repeated_with_its_counts() -> None:
    """The platform may have accepted a report whose response was lost."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    two.usage_counter.count("russo")
    copied = fixture.table.copy()
    one.usage.available = False
    await _advance(fixture, WINDOW_S + REPORTED_S, one)
    one.usage.available = True
    fixture.table.restore(copied)
    await _advance(fixture, 3 * WINDOW_S, one, two)
    assert reports_of(window, one) == [{"russo": 1}]


async def test_counts_that_a_restore_took_away_are_reported() -> None:
    """The gateway has ended, and its last row is in no copy."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, killed = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, FIRST_LEASE_S, one, killed)
    copied = fixture.table.copy()
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    killed.usage_counter.count("russo")
    await _advance(fixture, 1.0, one, killed)
    await one.rows.read()
    fixture.table.restore(copied)
    await _advance(fixture, WINDOW_S + DUE_S, one)
    assert reports_of(window, one)[0] == {"russo": 2}


async def test_counts_sent_by_a_gateway_without_a_row_are_reported() -> None:
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, killed = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    await _advance(fixture, FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    killed.usage_counter.count("russo")
    send_counts(killed, one, window)
    await _advance(fixture, WINDOW_S + DUE_S, one)
    assert reports_of(window, one)[0] == {"russo": 2}


async def test_members_are_kept_after_a_restore() -> None:
    """The copy lacks a gateway, and has one that has shut down."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, ended, young = (Gateway(fixture, f"g{n}") for n in range(3))
    for gateway in (one, ended):
        await gateway.rows.write()
    copied = fixture.table.copy()
    fixture.now_s += 1.0
    await ended.rows.write(final=True)
    await young.rows.write()
    await one.rows.read()
    for _ in range(2):
        fixture.table.restore(copied)
        rows = await one.rows.read()
        members = one.rows.members(rows, ROW_INTERVAL_S)
        assert members.others == {"g2": "10.0.0.1:1"}
    fixture.now_s += _usage.REMEMBERED_S
    assert set(await one.rows.read()) == {"g0", "g1"}


async def test_next_holder_keeps_to_counts_that_a_restore_took_away() -> None:
    """The holder reports a window and ends; no copy has its row."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, two, late = (Gateway(fixture, f"g{n}") for n in range(3))
    await _advance(fixture, FIRST_LEASE_S, one, two)
    assert one.lease.is_held(fixture.now_s)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    late.usage_counter.count("derwent")
    copied = fixture.table.copy()
    await _advance(fixture, WINDOW_S + REPORTED_S, one, two)
    assert reports_of(window, one) == [{"russo": 1}]
    for data in one.datagrams.sent:
        two.datagrams.datagram_received(data, ("127.0.0.1", 1))
    fixture.table.restore(copied)
    await _advance(fixture, 4 * WINDOW_S, two, late)
    assert reports_of(window, two, late) == [{"russo": 1}]


async def test_holder_that_started_later_keeps_to_counts_of_lost_rows() -> (
    None
):
    """It asks others at its start what was settled before."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, two, late = (Gateway(fixture, f"g{n}") for n in range(3))
    await _advance(fixture, FIRST_LEASE_S, one, two)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    late.usage_counter.count("derwent")
    copied = fixture.table.copy()
    await _advance(fixture, WINDOW_S + REPORTED_S, one, two)
    for data in one.datagrams.sent:
        two.datagrams.datagram_received(data, ("127.0.0.1", 1))
    young = Gateway(fixture, "g3")
    asked = _datagrams.Datagram("g3", asks="127.0.0.1:1")
    two.datagrams.datagram_received(
        two.datagrams.encode(asked), ("127.0.0.1", 1)
    )
    for data in two.datagrams.sent:
        young.datagrams.datagram_received(data, ("127.0.0.1", 1))
    fixture.table.restore(copied)
    await _advance(fixture, 4 * WINDOW_S, young, late)
    assert reports_of(window, one, young, late) == [{"russo": 1}, {"russo": 1}]


@pytest.mark.parametrize("copy_age_s", [0.0, 1.0, 3.5, 5.5, 7.5])
@pytest.mark.parametrize("reports_s", [0.5, 4.0])
async def test_window_has_one_report_if_all_end_during_a_restore(
    copy_age_s: float, reports_s: float
) -> None:
    """Guards against a second report from older rows of ended gateways."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    ended = [Gateway(fixture, f"g{n}") for n in range(2)]
    await _advance(fixture, FIRST_LEASE_S, *ended)
    window = ended[0].usage_counter.window()
    copies = []
    while not reports_of(window, *ended):
        copies.append(fixture.table.copy())
        for gateway in ended:
            gateway.usage_counter.count("russo")
        await _advance(fixture, 0.5, *ended)
    await _advance(fixture, reports_s, *ended)
    fixture.table.restore(copies[-1 - int(copy_age_s / 0.5)])
    fixture.now_s += 1.0
    again = [Gateway(fixture, f"g{n}.again") for n in range(2)]
    await _advance(fixture, 6 * WINDOW_S, *again)
    reports = reports_of(window, *ended, *again)
    assert all(counts == reports[0] for counts in reports)


async def test_row_is_older_than_a_copy_before_it_is_reported() -> None:
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one = Gateway(fixture, "g1")
    await _advance(fixture, FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    while window not in settled_windows(fixture):
        await _advance(fixture, 0.5, one)
    await _advance(fixture, _reporting.COPY_AGE_S - 0.5, one)
    assert reports_of(window, one) == []
    await _advance(fixture, 0.5, one)
    assert reports_of(window, one) == [{"russo": 1}]


async def test_windows_are_settled_again_in_a_new_era() -> None:
    """Those that no earlier era can have reported are not left out."""
    fixture = Fixture(table=memory.MemoryStore(era=1))
    ended = Gateway(fixture, "g1")
    await _advance(fixture, FIRST_LEASE_S, ended)
    fixture.table.restore(fixture.table.copy())
    one = Gateway(fixture, "g2")
    await _advance(fixture, FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    await _advance(fixture, WINDOW_S + DUE_S, one)
    assert reports_of(window, one) == [{"russo": 1}]


NESTED = b"[" * 10_000 + b"]" * 10_000


def leave(fixture: Fixture, table: str, key: str, value: bytes) -> None:
    """Write a row as another writer."""
    fixture.table.rows[table, key] = ports.Row(table, key, 1, value)


async def test_odd_rows_of_gateways_and_windows_spoil_themselves_alone() -> (
    None
):
    fixture = Fixture(table=memory.MemoryStore(era=1))
    one, two = Gateway(fixture, "g1"), Gateway(fixture, "g2")
    leave(fixture, _usage.GATEWAYS, "odd", NESTED)
    leave(fixture, _window_rows.WINDOWS, "odd", b"{}")
    leave(fixture, _window_rows.WINDOWS, f"{FIRST_WINDOW:014d}", NESTED)
    leave(fixture, _window_rows.ERAS, _window_rows.CURRENT_ERA, NESTED)
    addresses = ("g3:70000", "10.0.0.1:x", "10.0.0.1:70000")
    for number, address in enumerate(addresses):
        row = _usage.GatewayRow(0.0, 7.0, address, {"odd": {"russo": 1}})
        leave(fixture, _usage.GATEWAYS, f"o{number}", store.encode(row))
    await two.rows.write()
    rows = await one.rows.read()
    assert "odd" not in rows
    assert one.rows.members(rows, ROW_INTERVAL_S).others.keys() == {"g2"}
    await _advance(fixture, FIRST_LEASE_S, one, two)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    await _advance(fixture, WINDOW_S + DUE_S, one, two)
    assert reports_of(window, one) == [{"russo": 1}]
    assert reports_of(FIRST_WINDOW, one, two) == []

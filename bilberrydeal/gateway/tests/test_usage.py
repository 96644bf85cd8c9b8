"""Counting, settling and reporting of usage."""

import pytest

from ... import errors
from ... import ports
from ... import store
from ..accounting import _reporting
from ..accounting import _usage
from ..accounting import _usage_broadcast
from ..accounting import _window_rows
from ..messaging import _datagrams
from . import counting
from . import memory


async def test_counts_of_all_gateways_are_reported_once() -> None:
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    await counting.advance(fixture, 1.0, one, two)
    for _ in range(3):
        one.usage_counter.count("russo")
        two.usage_counter.count("russo")
    two.usage_counter.count("derwent")
    await counting.advance(fixture, 12.0, one, two)
    reports = one.usage.reports_accepted + two.usage.reports_accepted
    assert [r[:2] for r in reports if r[0] == counting.FIRST_WINDOW] == [
        (counting.FIRST_WINDOW, {"russo": 6, "derwent": 1})
    ]


async def test_settling_waits_for_a_gateway_without_the_store() -> None:
    """Guards against settling 2.5 s after a window ends without its counts."""
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    await counting.advance(fixture, 1.0, one, two)
    two.usage_counter.count("russo")
    await counting.advance(fixture, 8.0, one)
    assert counting.settled_windows(fixture) == {}
    await counting.advance(fixture, 2.0, one, two)
    assert counting.settled_windows(fixture)[counting.FIRST_WINDOW].counts == {
        "russo": 1
    }
    await counting.advance(fixture, counting.REPORTED_S, one, two)
    reports = one.usage.reports_accepted + two.usage.reports_accepted
    assert reports[0][:2] == (counting.FIRST_WINDOW, {"russo": 1})


async def test_dead_gateway_does_not_delay_a_report_past_its_due_time() -> (
    None
):
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    await counting.advance(fixture, 1.0, one, two)
    one.usage_counter.count("russo")
    await counting.advance(
        fixture, counting.WINDOW_S + counting.DUE_S - 1.5, one
    )
    assert one.usage.reports_accepted[0][:2] == (
        counting.FIRST_WINDOW,
        {"russo": 1},
    )


async def test_next_lease_holder_reports_the_settled_counts() -> None:
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    await counting.advance(fixture, 1.0, one, two)
    one.usage_counter.count("russo")
    one.usage.available = False
    await counting.advance(fixture, 9.0, one, two)
    two.usage_counter.count("russo")
    await counting.advance(fixture, 14.0, two)
    assert one.usage.reports_accepted == []
    first = [
        report
        for report in two.usage.reports_accepted
        if report[0] == counting.FIRST_WINDOW
    ]
    assert [report[1] for report in first] == [{"russo": 1}]
    assert first[0][2] > 1


async def test_late_write_of_a_row_does_not_overwrite_a_newer_one() -> None:
    fixture = counting.Fixture()
    gateway = counting.Gateway(fixture, "g1")
    await gateway.rows.write()
    gateway.usage_counter.count("russo")
    fixture.table.delay_next = 1
    with pytest.raises(errors.OutcomeUnknown):
        await gateway.rows.write()
    gateway.usage_counter.count("russo")
    await gateway.rows.write()
    assert fixture.table.deliver() == 0
    rows = await gateway.rows.read()
    assert rows["g1"].windows[str(counting.FIRST_WINDOW)] == {"russo": 2}


async def test_row_is_rewritten_after_a_lost_response() -> None:
    fixture = counting.Fixture()
    gateway = counting.Gateway(fixture, "g1")
    fixture.table.lose_next = 1
    with pytest.raises(errors.OutcomeUnknown):
        await gateway.rows.write()
    gateway.usage_counter.count("russo")
    await gateway.rows.write()
    rows = await gateway.rows.read()
    assert rows["g1"].windows == {str(counting.FIRST_WINDOW): {"russo": 1}}


async def test_median_offset_sets_the_cluster_clock() -> None:
    fixture = counting.Fixture()
    wrong = counting.Gateway(fixture, "g1", ahead_s=3_000.0)
    right = [counting.Gateway(fixture, f"g{n}") for n in (2, 3)]
    for gateway in (wrong, *right):
        await gateway.rows.write()
    await wrong.rows.read()
    assert wrong.cluster_clock.now_s() == pytest.approx(
        counting.BEGIN_S, abs=0.1
    )


async def test_members_are_gateways_with_recent_rows() -> None:
    fixture = counting.Fixture()
    one, two, three = (counting.Gateway(fixture, f"g{n}") for n in range(3))
    for gateway in (one, two, three):
        await gateway.rows.write()
    await three.rows.write(final=True)
    members = one.rows.members(await one.rows.read(), counting.ROW_INTERVAL_S)
    assert members.count == 2
    assert members.others == {"g1": "10.0.0.1:1"}
    fixture.now_s += 6.0
    await one.rows.write()
    assert (
        one.rows.members(await one.rows.read(), counting.ROW_INTERVAL_S).count
        == 1
    )


async def test_settling_ignores_earlier_processes_of_a_host() -> None:
    fixture = counting.Fixture()
    one, killed = (
        counting.Gateway(fixture, "g1.0"),
        counting.Gateway(fixture, "g2.0"),
    )
    await counting.advance(fixture, 1.0, one, killed)
    one.usage_counter.count("russo")
    again = counting.Gateway(fixture, "g2.1")
    await counting.advance(fixture, counting.WINDOW_S + 1.0, one, again)
    assert counting.settled_windows(fixture)[counting.FIRST_WINDOW].counts == {
        "russo": 1
    }
    await counting.advance(fixture, counting.REPORTED_S, one, again)
    reports = one.usage.reports_accepted + again.usage.reports_accepted
    assert reports[0][:2] == (counting.FIRST_WINDOW, {"russo": 1})


async def test_members_are_kept_while_the_store_is_unreachable() -> None:
    """Guards against each gateway counting only itself, as none can write."""
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    for gateway in (one, two):
        await gateway.rows.write()
    fixture.now_s += 20.0
    assert (
        one.rows.members(await one.rows.read(), counting.ROW_INTERVAL_S).count
        == 2
    )


async def test_counts_sent_before_a_kill_are_reported() -> None:
    fixture = counting.Fixture()
    one, killed = (
        counting.Gateway(fixture, "g1"),
        counting.Gateway(fixture, "g2"),
    )
    await counting.advance(fixture, 1.0, one, killed)
    killed.usage_counter.count("russo")
    counting.send_counts(killed, one, counting.FIRST_WINDOW)
    one.usage_counter.count("russo")
    await counting.advance(fixture, counting.WINDOW_S + counting.DUE_S, one)
    assert one.usage.reports_accepted[0][:2] == (
        counting.FIRST_WINDOW,
        {"russo": 2},
    )


async def test_counts_sent_after_the_window_end_are_complete() -> None:
    """A gateway that can reach its peers but not the store is not awaited."""
    fixture = counting.Fixture()
    one, partitioned = (
        counting.Gateway(fixture, "g1"),
        counting.Gateway(fixture, "g2"),
    )
    await counting.advance(fixture, 1.0, one, partitioned)
    partitioned.usage_counter.count("russo")
    await counting.advance(fixture, counting.WINDOW_S - 0.5, one)
    counting.send_counts(partitioned, one, counting.FIRST_WINDOW)
    await counting.advance(fixture, 1.0, one)
    assert counting.settled_windows(fixture)[counting.FIRST_WINDOW].counts == {
        "russo": 1
    }


async def test_settling_waits_for_counts_sent_before_the_window_end() -> None:
    fixture = counting.Fixture()
    one, partitioned = (
        counting.Gateway(fixture, "g1"),
        counting.Gateway(fixture, "g2"),
    )
    await counting.advance(fixture, 1.0, one, partitioned)
    counting.send_counts(partitioned, one, counting.FIRST_WINDOW)
    await counting.advance(fixture, counting.WINDOW_S, one)
    counting.send_counts(partitioned, one, counting.FIRST_WINDOW + 1)
    await counting.advance(fixture, 0.5, one)
    assert counting.settled_windows(fixture) == {}


async def test_older_datagram_does_not_lower_counts() -> None:
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    for gateway in (one, two):
        await gateway.rows.write()
    two.usage_counter.count("russo")
    first = two.usage_counter.counts(counting.FIRST_WINDOW)
    fixture.now_s += 0.5
    two.usage_counter.count("russo")
    counting.send_counts(two, one, counting.FIRST_WINDOW)
    late = _datagrams.WindowCounts(counting.FIRST_WINDOW, first, 7.0)
    one.peer_counts.add(_datagrams.Datagram("g2", counts=late))
    rows = one.peer_counts.merged_into(
        await one.rows.read(), counting.FIRST_WINDOW
    )
    assert rows["g2"].windows[str(counting.FIRST_WINDOW)] == {"russo": 2}


async def test_counts_of_ended_gateways_are_dropped() -> None:
    """Guards against a leak: each restart has a new id and kept its counts."""
    peer_counts = _usage_broadcast.PeerCounts()
    for number in range(100):
        counts = _datagrams.WindowCounts(
            counting.FIRST_WINDOW + number, {"russo": 1}, number
        )
        peer_counts.add(_datagrams.Datagram(f"g.{number}", counts=counts))
    assert len(peer_counts.windows()) == 61


async def test_settled_window_is_reported_while_the_store_is_away() -> None:
    """Guards against a late report because the next window cannot be settled.

    The store is lost when the next window ends. The lease is valid for some
    seconds then, and a report needs nothing else.
    """
    fixture = counting.Fixture()
    gateway = counting.Gateway(fixture, "g1")
    await counting.advance(fixture, counting.FIRST_LEASE_S, gateway)
    window = gateway.usage_counter.window()
    gateway.usage_counter.count("russo")
    await counting.advance(
        fixture, 3 * counting.WINDOW_S - fixture.now_s, gateway
    )
    assert counting.reports_of(window, gateway) == []
    fixture.table.unreachable = True
    await counting.advance(fixture, 3.0, gateway)
    assert counting.reports_of(window, gateway) == [{"russo": 1}]


async def test_counts_sent_by_a_gateway_without_a_row_are_reported() -> None:
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, killed = (
        counting.Gateway(fixture, "g1"),
        counting.Gateway(fixture, "g2"),
    )
    await counting.advance(fixture, counting.FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    killed.usage_counter.count("russo")
    counting.send_counts(killed, one, window)
    await counting.advance(fixture, counting.WINDOW_S + counting.DUE_S, one)
    assert counting.reports_of(window, one)[0] == {"russo": 2}


async def test_row_is_older_than_a_copy_before_it_is_reported() -> None:
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one = counting.Gateway(fixture, "g1")
    await counting.advance(fixture, counting.FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    while window not in counting.settled_windows(fixture):
        await counting.advance(fixture, 0.5, one)
    await counting.advance(fixture, _reporting.COPY_AGE_S - 0.5, one)
    assert counting.reports_of(window, one) == []
    await counting.advance(fixture, 0.5, one)
    assert counting.reports_of(window, one) == [{"russo": 1}]


NESTED = b"[" * 10_000 + b"]" * 10_000


def leave(
    fixture: counting.Fixture, table: str, key: str, value: bytes
) -> None:
    """Write a row as another writer."""
    fixture.table.rows[table, key] = ports.Row(table, key, 1, value)


async def test_odd_rows_of_gateways_and_windows_spoil_themselves_alone() -> (
    None
):
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    leave(fixture, _usage.GATEWAYS, "odd", NESTED)
    leave(fixture, _window_rows.WINDOWS, "odd", b"{}")
    leave(
        fixture, _window_rows.WINDOWS, f"{counting.FIRST_WINDOW:014d}", NESTED
    )
    leave(fixture, _window_rows.ERAS, _window_rows.CURRENT_ERA, NESTED)
    addresses = ("g3:70000", "10.0.0.1:x", "10.0.0.1:70000")
    for number, address in enumerate(addresses):
        row = _usage.GatewayRow(0.0, 7.0, address, {"odd": {"russo": 1}})
        leave(fixture, _usage.GATEWAYS, f"o{number}", store.encode(row))
    await two.rows.write()
    rows = await one.rows.read()
    assert "odd" not in rows
    assert one.rows.members(rows, counting.ROW_INTERVAL_S).others.keys() == {
        "g2"
    }
    await counting.advance(fixture, counting.FIRST_LEASE_S, one, two)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    await counting.advance(
        fixture, counting.WINDOW_S + counting.DUE_S, one, two
    )
    assert counting.reports_of(window, one) == [{"russo": 1}]
    assert counting.reports_of(counting.FIRST_WINDOW, one, two) == []

"""Reports of usage when the store comes back from an older copy."""

import pytest

from ..accounting import _usage
from ..messaging import _datagrams
from . import counting
from . import memory


async def test_reported_window_is_not_settled_again_after_a_restore() -> None:
    """Guards against a second report with counts that arrived late."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    await counting.advance(fixture, counting.FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    two.usage_counter.count("russo")
    copied = fixture.table.copy()
    await counting.advance(
        fixture, counting.WINDOW_S + counting.REPORTED_S, one
    )
    assert counting.reports_of(window, one) == [{"russo": 1}]
    fixture.table.restore(copied)
    await counting.advance(fixture, 3 * counting.WINDOW_S, one, two)
    assert all(
        counts == {"russo": 1}
        for counts in counting.reports_of(window, one, two)
    )
    row = counting.settled_windows(fixture)[window]
    assert (row.counts, row.reported) == ({"russo": 1}, True)


async def test_report_in_doubt_is_repeated_with_its_counts() -> None:
    """The platform may have accepted a report whose response was lost."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    await counting.advance(fixture, counting.FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    two.usage_counter.count("russo")
    copied = fixture.table.copy()
    one.usage.available = False
    await counting.advance(
        fixture, counting.WINDOW_S + counting.REPORTED_S, one
    )
    one.usage.available = True
    fixture.table.restore(copied)
    await counting.advance(fixture, 3 * counting.WINDOW_S, one, two)
    assert counting.reports_of(window, one) == [{"russo": 1}]


async def test_counts_that_a_restore_took_away_are_reported() -> None:
    """The gateway has ended, and its last row is in no copy."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, killed = (
        counting.Gateway(fixture, "g1"),
        counting.Gateway(fixture, "g2"),
    )
    await counting.advance(fixture, counting.FIRST_LEASE_S, one, killed)
    copied = fixture.table.copy()
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    killed.usage_counter.count("russo")
    await counting.advance(fixture, 1.0, one, killed)
    await one.rows.read()
    fixture.table.restore(copied)
    await counting.advance(fixture, counting.WINDOW_S + counting.DUE_S, one)
    assert counting.reports_of(window, one)[0] == {"russo": 2}


async def test_members_are_kept_after_a_restore() -> None:
    """The copy lacks a gateway, and has one that has shut down."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, ended, young = (counting.Gateway(fixture, f"g{n}") for n in range(3))
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
        members = one.rows.members(rows, counting.ROW_INTERVAL_S)
        assert members.others == {"g2": "10.0.0.1:1"}
    fixture.now_s += _usage.REMEMBERED_S
    assert set(await one.rows.read()) == {"g0", "g1"}


async def test_next_holder_keeps_to_counts_that_a_restore_took_away() -> None:
    """The holder reports a window and ends; no copy has its row."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, two, late = (counting.Gateway(fixture, f"g{n}") for n in range(3))
    await counting.advance(fixture, counting.FIRST_LEASE_S, one, two)
    assert one.lease.is_held(fixture.now_s)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    late.usage_counter.count("derwent")
    copied = fixture.table.copy()
    await counting.advance(
        fixture, counting.WINDOW_S + counting.REPORTED_S, one, two
    )
    assert counting.reports_of(window, one) == [{"russo": 1}]
    for data in one.datagrams.sent:
        two.datagrams.datagram_received(data, ("127.0.0.1", 1))
    fixture.table.restore(copied)
    await counting.advance(fixture, 4 * counting.WINDOW_S, two, late)
    assert counting.reports_of(window, two, late) == [{"russo": 1}]


async def test_holder_that_started_later_keeps_to_counts_of_lost_rows() -> (
    None
):
    """It asks others at its start what was settled before."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, two, late = (counting.Gateway(fixture, f"g{n}") for n in range(3))
    await counting.advance(fixture, counting.FIRST_LEASE_S, one, two)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    late.usage_counter.count("derwent")
    copied = fixture.table.copy()
    await counting.advance(
        fixture, counting.WINDOW_S + counting.REPORTED_S, one, two
    )
    for data in one.datagrams.sent:
        two.datagrams.datagram_received(data, ("127.0.0.1", 1))
    young = counting.Gateway(fixture, "g3")
    asked = _datagrams.Datagram("g3", asks="127.0.0.1:1")
    two.datagrams.datagram_received(
        two.datagrams.encode(asked), ("127.0.0.1", 1)
    )
    for data in two.datagrams.sent:
        young.datagrams.datagram_received(data, ("127.0.0.1", 1))
    fixture.table.restore(copied)
    await counting.advance(fixture, 4 * counting.WINDOW_S, young, late)
    assert counting.reports_of(window, one, young, late) == [
        {"russo": 1},
        {"russo": 1},
    ]


@pytest.mark.parametrize("copy_age_s", [0.0, 1.0, 3.5, 5.5, 7.5])
@pytest.mark.parametrize("reports_s", [0.5, 4.0])
async def test_window_has_one_report_if_all_end_during_a_restore(
    copy_age_s: float, reports_s: float
) -> None:
    """Guards against a second report from older rows of ended gateways."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    ended = [counting.Gateway(fixture, f"g{n}") for n in range(2)]
    await counting.advance(fixture, counting.FIRST_LEASE_S, *ended)
    window = ended[0].usage_counter.window()
    copies = []
    while not counting.reports_of(window, *ended):
        copies.append(fixture.table.copy())
        for gateway in ended:
            gateway.usage_counter.count("russo")
        await counting.advance(fixture, 0.5, *ended)
    await counting.advance(fixture, reports_s, *ended)
    fixture.table.restore(copies[-1 - int(copy_age_s / 0.5)])
    fixture.now_s += 1.0
    again = [counting.Gateway(fixture, f"g{n}.again") for n in range(2)]
    await counting.advance(fixture, 6 * counting.WINDOW_S, *again)
    reports = counting.reports_of(window, *ended, *again)
    assert all(counts == reports[0] for counts in reports)


async def test_windows_are_settled_again_in_a_new_era() -> None:
    """Those that no earlier era can have reported are not left out."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    ended = counting.Gateway(fixture, "g1")
    await counting.advance(fixture, counting.FIRST_LEASE_S, ended)
    fixture.table.restore(fixture.table.copy())
    one = counting.Gateway(fixture, "g2")
    await counting.advance(fixture, counting.FIRST_LEASE_S, one)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    await counting.advance(fixture, counting.WINDOW_S + counting.DUE_S, one)
    assert counting.reports_of(window, one) == [{"russo": 1}]

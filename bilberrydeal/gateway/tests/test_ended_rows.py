"""Removal of the rows of gateways that have ended."""

import attrs
import pytest

from ... import errors
from ... import ports
from ... import store
from ..accounting import _ended_rows
from ..accounting import _usage
from . import counting
from . import memory

#: Time after which the row of an ended gateway is gone for certain.
GONE_S = 2 * _ended_rows.ENDED_S
ALIVE_S = 5.0


def sweep_of(
    gateway: counting.Gateway, alive_s: float = ALIVE_S
) -> _ended_rows.EndedRows:
    """Return what removes rows for a gateway."""
    return _ended_rows.EndedRows(
        gateway.client,
        gateway.lease,
        gateway.reporter.is_over,
        gateway.cluster_clock.store_s,
        lambda: alive_s,
        counting.WINDOW_S + counting.DUE_S,
    )


async def sweep(
    fixture: counting.Fixture,
    seconds: float,
    sweeps: list[_ended_rows.EndedRows],
    *gateways: counting.Gateway,
) -> None:
    """Advance time while gateways work and one of them removes rows."""
    for _ in range(int(seconds / _ended_rows.PAGE_INTERVAL_S)):
        await counting.advance(fixture, _ended_rows.PAGE_INTERVAL_S, *gateways)
        for rows in sweeps:
            try:
                await rows.run_once(fixture.now_s)
            except errors.BilberrydealError:
                continue


def gateway_keys(fixture: counting.Fixture) -> set[str]:
    """Return the keys of the rows of gateways in the store."""
    return {
        key for table, key in fixture.table.rows if table == _usage.GATEWAYS
    }


async def test_rows_of_ended_runs_go_and_their_counts_are_reported() -> None:
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, two, ended = (counting.Gateway(fixture, f"g{n}") for n in range(3))
    sweeps = [sweep_of(one), sweep_of(two)]
    await sweep(fixture, 12.0, sweeps, one, two, ended)
    window = one.usage_counter.window()
    one.usage_counter.count("russo")
    ended.usage_counter.count("russo")
    await ended.rows.write()
    await sweep(fixture, _ended_rows.ENDED_S - 4.0, sweeps, one, two)
    assert gateway_keys(fixture) == {"g0", "g1", "g2"}
    await sweep(fixture, GONE_S, sweeps, one, two)
    assert gateway_keys(fixture) == {"g0", "g1"}
    assert counting.reports_of(window, one, two) == [{"russo": 2}]


async def test_removals_are_bounded_and_paced() -> None:
    fixture = counting.Fixture()
    one = counting.Gateway(fixture, "g1")
    for number in range(100):
        await counting.Gateway(fixture, f"e{number:03d}").rows.write()
    sweeps = [sweep_of(one)]
    left = [101]
    while left[-1] > 1 and fixture.now_s < 3 * GONE_S:
        await sweep(fixture, _ended_rows.PAGE_INTERVAL_S, sweeps, one)
        left.append(len(gateway_keys(fixture)))
    assert left[-1] == 1
    assert max(a - b for a, b in zip(left, left[1:], strict=False)) == 25


@pytest.mark.parametrize("frozen_s", [60.0, GONE_S])
async def test_frozen_gateway_has_its_whole_row_again(frozen_s: float) -> None:
    """The row of one that is frozen for long goes, and comes back whole."""
    fixture = counting.Fixture()
    one, frozen = (
        counting.Gateway(fixture, "g1"),
        counting.Gateway(fixture, "g2"),
    )
    sweeps = [sweep_of(one)]
    frozen.usage_counter.count("russo")
    await sweep(fixture, 12.0, sweeps, one, frozen)
    await sweep(fixture, frozen_s, sweeps, one)
    assert ("g2" in gateway_keys(fixture)) == (frozen_s < GONE_S)
    frozen.usage_counter.count("derwent")
    window = frozen.usage_counter.window()
    await frozen.rows.write()
    rows = await one.rows.read()
    assert rows["g2"].windows == {
        str(counting.FIRST_WINDOW): {"russo": 1},
        str(window): {"derwent": 1},
    }
    await sweep(fixture, 20.0, sweeps, one, frozen)
    assert counting.reports_of(window, one) == [{"derwent": 1}]
    assert counting.reports_of(counting.FIRST_WINDOW, one) == [{"russo": 1}]


async def test_rows_stay_after_an_outage_until_they_were_watched() -> None:
    """The others are slower to write again than the holder of the lease."""
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    sweeps = [sweep_of(one)]
    await sweep(fixture, GONE_S, sweeps, one, two)
    fixture.table.unreachable = True
    await sweep(fixture, GONE_S, sweeps, one, two)
    fixture.table.unreachable = False
    await sweep(fixture, _ended_rows.ENDED_S, sweeps, one)
    assert gateway_keys(fixture) == {"g1", "g2"}


async def test_rows_stay_after_the_holder_was_frozen() -> None:
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    sweeps = [sweep_of(one)]
    await sweep(fixture, GONE_S, sweeps, one, two)
    fixture.now_s += GONE_S
    await sweep(fixture, _ended_rows.ENDED_S, sweeps, one)
    assert gateway_keys(fixture) == {"g1", "g2"}


async def test_rows_stay_after_a_restore_until_they_were_watched() -> None:
    """Versions of the copy may be those that were seen before."""
    fixture = counting.Fixture(table=memory.MemoryStore(era=1))
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    sweeps = [sweep_of(one)]
    await sweep(fixture, 12.0, sweeps, one, two)
    await sweep(fixture, _ended_rows.ENDED_S - 12.0, sweeps, one)
    fixture.table.restore(fixture.table.copy())
    await sweep(fixture, _ended_rows.ENDED_S - 4.0, sweeps, one)
    assert gateway_keys(fixture) == {"g1", "g2"}
    await sweep(fixture, GONE_S, sweeps, one)
    assert gateway_keys(fixture) == {"g1"}


async def test_rows_stay_while_their_windows_can_be_reported() -> None:
    fixture = counting.Fixture()
    one, ended, ahead = (counting.Gateway(fixture, f"g{n}") for n in range(3))
    sweeps = [sweep_of(one)]
    window = one.usage_counter.window() + 1_000
    row = _usage.GatewayRow(0.0, 7.0, "", {str(window): {"russo": 1}})
    fixture.table.rows[_usage.GATEWAYS, ahead.name] = ports.Row(
        _usage.GATEWAYS, ahead.name, 1, store.encode(row)
    )
    one.usage.available = False
    ended.usage_counter.count("russo")
    await ended.rows.write()
    await sweep(fixture, GONE_S, sweeps, one)
    assert gateway_keys(fixture) == {"g0", "g1", "g2"}
    one.usage.available = True
    await sweep(fixture, 12.0, sweeps, one)
    assert gateway_keys(fixture) == {"g0", "g2"}


async def test_rows_stay_for_a_multiple_of_the_time_of_life() -> None:
    """With many gateways each writes its row rarely."""
    fixture = counting.Fixture()
    one, two = counting.Gateway(fixture, "g1"), counting.Gateway(fixture, "g2")
    sweeps = [sweep_of(one, alive_s=200.0)]
    await two.rows.write()
    await sweep(fixture, 560.0, sweeps, one)
    assert gateway_keys(fixture) == {"g1", "g2"}


async def test_rows_stay_for_long_after_the_time_of_their_write() -> None:
    """The store's clock counts too, not only for how long it was watched."""
    fixture = counting.Fixture()
    one = counting.Gateway(fixture, "g1")
    row = _usage.GatewayRow(0.0, 7.0 + GONE_S, "", {})
    fixture.table.rows[_usage.GATEWAYS, "g2"] = ports.Row(
        _usage.GATEWAYS, "g2", 1, store.encode(row)
    )
    sweeps = [sweep_of(one)]
    await sweep(fixture, GONE_S + _ended_rows.ENDED_S - 4.0, sweeps, one)
    assert gateway_keys(fixture) == {"g1", "g2"}
    await sweep(fixture, 12.0, sweeps, one)
    assert gateway_keys(fixture) == {"g1"}


@attrs.define
class WritingStore(memory.MemoryStore):
    """A store in which rows are written right before they are removed."""

    #: Number of removals that were preceded by a write.
    raced: int = 0

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        for write in transaction.writes:
            if write.value is None:
                self.raced += 1
                self.version += 1
                self.rows[write.table, write.key] = attrs.evolve(
                    self.rows[write.table, write.key], version=self.version
                )
        return await super().commit(transaction, timeout_s)


async def test_row_that_is_written_meanwhile_stays() -> None:
    table = WritingStore()
    fixture = counting.Fixture(table=table)
    one, woken = (counting.Gateway(fixture, f"g{n}") for n in (1, 2))
    await woken.rows.write()
    await sweep(fixture, GONE_S, [sweep_of(one)], one)
    assert table.raced == 1
    assert gateway_keys(fixture) == {"g1", "g2"}


async def test_only_the_holder_of_the_lease_removes_rows() -> None:
    fixture = counting.Fixture()
    one, two, ended = (counting.Gateway(fixture, f"g{n}") for n in range(3))
    await ended.rows.write()
    await sweep(fixture, GONE_S, [sweep_of(two)], one, two)
    assert one.lease.is_held(fixture.now_s)
    assert gateway_keys(fixture) == {"g0", "g1", "g2"}

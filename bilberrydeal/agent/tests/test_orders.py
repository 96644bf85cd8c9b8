import asyncio
import collections.abc
import contextlib
import typing

import attrs
import pytest

from bilberrydeal import orders
from bilberrydeal import ports
from bilberrydeal import store
from bilberrydeal.agent import _orders
from bilberrydeal.link.tests import harness
from standins import platform

from . import fakes

ORDER = orders.CommittedOrder(
    order_version=2, fence=1, role=ports.EngineRole.DECODE, model="n"
)


@attrs.define
class Bench:
    """A keeper that runs over fakes."""

    engine: fakes.FakeEngine
    weights: fakes.FakeWeights
    table: platform.MemoryTable
    keeper: _orders.OrderKeeper
    drained: asyncio.Event

    async def commit(self, **changes: typing.Any) -> None:
        """Write the order row and hint at it."""
        order = attrs.evolve(ORDER, **changes)
        key = orders.order_key("e1")
        write = ports.Write(key.table, key.key, orders.encode_order(order))
        await self.table.commit(ports.Transaction((), (write,)), 1.0)
        self.keeper.hint(order.order_version)

    async def stable(self, order_version: int) -> None:
        """Wait until an order has been carried out."""
        await harness.until(
            lambda: (
                self.keeper.order_version == order_version
                and self.keeper.ready
            )
        )


@contextlib.asynccontextmanager
async def bench(
    **fields: typing.Any,
) -> collections.abc.AsyncIterator[Bench]:
    engine = fakes.FakeEngine(**fields)
    weights = fakes.FakeWeights()
    table = platform.MemoryTable()
    drained = asyncio.Event()
    drained.set()
    keeper = _orders.OrderKeeper(
        endpoint_id="e1",
        engine=engine,
        weights=weights,
        client=store.StoreClient(table, 1.0, 1000.0),
        poll_s=0.05,
        drain=drained.wait,  # type: ignore[arg-type]
        changed=lambda: None,
        quiet_s=0.05,
    )
    running = asyncio.create_task(keeper.run())
    try:
        yield Bench(engine, weights, table, keeper, drained)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


@pytest.mark.parametrize(
    ("outcomes", "times"),
    [([], 1), (["crash"], 2), (["crash", "crash"], 3), (["lost"], 1)],
)
async def test_order_is_carried_out_through_crashes(
    outcomes: list[str], times: int
) -> None:
    async with bench(outcomes=list(outcomes)) as made:
        await made.commit()
        await made.stable(2)
        assert [order.order_version for order in made.engine.applied] == [
            2
        ] * times
        assert made.engine.overlaps == 0
        assert made.engine.engine_state.role == ports.EngineRole.DECODE
        assert made.weights.admitted == ["n"]


async def test_work_ends_before_a_change_and_the_newest_row_counts() -> None:
    async with bench() as made:
        await made.stable(1)
        made.drained.clear()
        await made.commit()
        await harness.until(lambda: not made.keeper.ready)
        await made.commit(order_version=3, model="o")
        assert made.engine.applied == []
        made.drained.set()
        await made.stable(3)
        assert [order.model for order in made.engine.applied] == ["o"]


async def test_old_or_repeated_rows_change_nothing() -> None:
    async with bench() as made:
        await made.stable(1)
        for order_version in (1, 2, 2, 1):
            await made.commit(order_version=order_version)
            await made.stable(max(order_version, made.keeper.order_version))
        assert [order.order_version for order in made.engine.applied] == [2]


async def test_work_goes_on_while_the_weight_store_is_busy() -> None:
    async with bench() as made:
        made.weights.busy = 3
        made.drained.clear()
        await made.stable(1)
        await made.commit()
        await harness.until(lambda: made.weights.busy == 0)
        made.drained.set()
        await made.stable(2)
        assert made.weights.admitted == ["n"]


async def test_refused_order_is_not_repeated() -> None:
    async with bench(outcomes=["refused"]) as made:
        await made.commit()
        await harness.until(lambda: bool(made.engine.applied))
        await made.commit(order_version=3, fence=2)
        await made.stable(3)
        assert [order.order_version for order in made.engine.applied] == [
            2,
            3,
        ]


async def test_order_that_another_overtook_is_given_again() -> None:
    async with bench(outcomes=["overtaken"]) as made:
        await made.commit()
        await made.stable(2)
        assert [order.expected_taken for order in made.engine.applied] == [
            0,
            1,
        ]


async def test_stopped_engine_takes_no_work_until_it_answers() -> None:
    async with bench() as made:
        await made.stable(1)
        made.engine.down = True
        made.keeper.suspect()
        assert not made.keeper.ready
        made.engine.down = False
        await made.stable(1)


async def test_predecessors_change_is_waited_for() -> None:
    async with bench() as made:
        changing = attrs.evolve(made.engine.engine_state, changing=True)
        made.engine.engine_state = changing
        made.keeper.suspect()
        await made.commit()
        asked = made.engine.asked
        await harness.until(lambda: made.engine.asked >= asked + 3)
        assert made.engine.applied == []
        made.engine.engine_state = attrs.evolve(changing, changing=False)
        await made.stable(2)
        assert made.engine.overlaps == 0


async def test_engine_that_took_an_old_order_late_is_put_right() -> None:
    async with bench() as made:
        await made.commit()
        await made.stable(2)
        late = attrs.evolve(
            made.engine.engine_state,
            order_version=1,
            role=ports.EngineRole.PREFILL,
        )
        made.engine.engine_state = late
        await harness.until(lambda: len(made.engine.applied) == 2)
        await made.stable(2)
        assert made.engine.engine_state.role == ports.EngineRole.DECODE
        assert made.engine.overlaps == 0

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
class ReconcilerFixture:
    """Running reconciler with fake services."""

    engine: fakes.FakeEngine
    weights: fakes.FakeWeights
    table: platform.MemoryTable
    reconciler: _orders.OrderReconciler
    drained: asyncio.Event

    async def commit(self, **changes: typing.Any) -> None:
        """Write the order row and send a hint."""
        order = attrs.evolve(ORDER, **changes)
        key = orders.order_key("e1")
        write = ports.Write(key.table, key.key, orders.encode_order(order))
        await self.table.commit(ports.Transaction((), (write,)), 1.0)
        self.reconciler.order_announced(order.order_version)

    async def wait_applied(self, order_version: int) -> None:
        """Wait until an order is applied and the engine is ready."""
        await harness.wait_until(
            lambda: (
                self.reconciler.order_version == order_version
                and self.reconciler.ready
            )
        )


@contextlib.asynccontextmanager
async def running_reconciler(
    **fields: typing.Any,
) -> collections.abc.AsyncIterator[ReconcilerFixture]:
    engine = fakes.FakeEngine(**fields)
    weights = fakes.FakeWeights()
    table = platform.MemoryTable()
    drained = asyncio.Event()
    drained.set()
    reconciler = _orders.OrderReconciler(
        endpoint_id="e1",
        engine=engine,
        weights=weights,
        client=store.StoreClient(table, 1.0, 1000.0),
        poll_s=0.05,
        drain=drained.wait,  # type: ignore[arg-type]
        on_readiness_change=lambda: None,
        max_order_delay_s=0.05,
    )
    running = asyncio.create_task(reconciler.run())
    try:
        yield ReconcilerFixture(engine, weights, table, reconciler, drained)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


@pytest.mark.parametrize(
    ("outcomes", "times"),
    [([], 1), (["crash"], 2), (["crash", "crash"], 3), (["lost"], 1)],
)
async def test_order_is_applied_despite_crashes(
    outcomes: list[str], times: int
) -> None:
    """A broken call must not lose an order or overlap with its retry."""
    async with running_reconciler(outcomes=list(outcomes)) as fixture:
        await fixture.commit()
        await fixture.wait_applied(2)
        assert [order.order_version for order in fixture.engine.applied] == [
            2
        ] * times
        assert fixture.engine.overlaps == 0
        assert fixture.engine.engine_state.role == ports.EngineRole.DECODE
        assert fixture.weights.admitted == ["n"]


async def test_change_waits_for_requests_and_uses_the_latest_row() -> None:
    async with running_reconciler() as fixture:
        await fixture.wait_applied(1)
        fixture.drained.clear()
        await fixture.commit()
        await harness.wait_until(lambda: not fixture.reconciler.ready)
        await fixture.commit(order_version=3, model="o")
        assert fixture.engine.applied == []
        fixture.drained.set()
        await fixture.wait_applied(3)
        assert [order.model for order in fixture.engine.applied] == ["o"]


async def test_old_and_repeated_rows_are_ignored() -> None:
    async with running_reconciler() as fixture:
        await fixture.wait_applied(1)
        for order_version in (1, 2, 2, 1):
            await fixture.commit(order_version=order_version)
            await fixture.wait_applied(
                max(order_version, fixture.reconciler.order_version)
            )
        assert [order.order_version for order in fixture.engine.applied] == [2]


async def test_engine_serves_while_the_weight_store_is_busy() -> None:
    async with running_reconciler() as fixture:
        fixture.weights.busy = 3
        fixture.drained.clear()
        await fixture.wait_applied(1)
        await fixture.commit()
        await harness.wait_until(lambda: fixture.weights.busy == 0)
        fixture.drained.set()
        await fixture.wait_applied(2)
        assert fixture.weights.admitted == ["n"]


async def test_refused_order_is_not_sent_again() -> None:
    async with running_reconciler(outcomes=["refused"]) as fixture:
        await fixture.commit()
        await harness.wait_until(lambda: bool(fixture.engine.applied))
        await fixture.commit(order_version=3, fence=2)
        await fixture.wait_applied(3)
        assert [order.order_version for order in fixture.engine.applied] == [
            2,
            3,
        ]


async def test_order_is_sent_again_after_an_intervening_order() -> None:
    async with running_reconciler(outcomes=["overtaken"]) as fixture:
        await fixture.commit()
        await fixture.wait_applied(2)
        assert [order.expected_taken for order in fixture.engine.applied] == [
            0,
            1,
        ]


async def test_failed_engine_is_not_ready_until_it_responds() -> None:
    async with running_reconciler() as fixture:
        await fixture.wait_applied(1)
        fixture.engine.unavailable = True
        fixture.reconciler.mark_state_unknown()
        assert not fixture.reconciler.ready
        fixture.engine.unavailable = False
        await fixture.wait_applied(1)


async def test_order_waits_for_a_change_of_a_predecessor() -> None:
    async with running_reconciler() as fixture:
        changing = attrs.evolve(fixture.engine.engine_state, changing=True)
        fixture.engine.engine_state = changing
        fixture.reconciler.mark_state_unknown()
        await fixture.commit()
        calls_before = fixture.engine.state_calls
        await harness.wait_until(
            lambda: fixture.engine.state_calls >= calls_before + 3
        )
        assert fixture.engine.applied == []
        fixture.engine.engine_state = attrs.evolve(changing, changing=False)
        await fixture.wait_applied(2)
        assert fixture.engine.overlaps == 0


async def test_engine_reverted_by_a_late_order_is_corrected() -> None:
    """An engine that checks no fencing numbers can apply a late old order."""
    async with running_reconciler() as fixture:
        await fixture.commit()
        await fixture.wait_applied(2)
        reverted = attrs.evolve(
            fixture.engine.engine_state,
            order_version=1,
            role=ports.EngineRole.PREFILL,
        )
        fixture.engine.engine_state = reverted
        await harness.wait_until(lambda: len(fixture.engine.applied) == 2)
        await fixture.wait_applied(2)
        assert fixture.engine.engine_state.role == ports.EngineRole.DECODE
        assert fixture.engine.overlaps == 0

"""Leases of gateways that shut down."""

import attrs

from ... import leases
from ... import store
from ..duties import _lease_keeper
from . import memory

DUTY = "usage"


@attrs.define
class _Clock:
    now_s: float = 1_000.0

    def __call__(self) -> float:
        return self.now_s


def _keeper(
    name: str, rows: memory.MemoryStore, clock: _Clock
) -> tuple[_lease_keeper.LeaseKeeper, leases.Lease]:
    client = store.StoreClient(rows, 1.0, 1_000.0, clock=clock)
    bounds = leases.LeaseBounds(ttl_s=3.0, margin_s=0.5, max_call_s=1.0)
    lease = leases.Lease(client, DUTY, name, bounds)
    return _lease_keeper.LeaseKeeper(lease, DUTY), lease


async def _run(
    keeper: _lease_keeper.LeaseKeeper, clock: _Clock, for_s: float
) -> None:
    end_s = clock.now_s + for_s
    while clock.now_s < end_s:
        clock.now_s += 0.25
        await keeper.run_once()


async def test_gateway_that_shuts_down_does_not_acquire_the_lease() -> None:
    rows = memory.MemoryStore()
    clock = _Clock()
    leaving, lease = _keeper("g1", rows, clock)
    leaving.begin_shutdown()
    await _run(leaving, clock, 30.0)
    assert not lease.is_held(clock())
    other, of_other = _keeper("g2", rows, clock)
    await _run(other, clock, 10.0)
    assert of_other.is_held(clock())


async def test_gateway_that_shuts_down_keeps_the_lease_that_it_holds() -> None:
    rows = memory.MemoryStore()
    clock = _Clock()
    keeper, lease = _keeper("g1", rows, clock)
    await _run(keeper, clock, 10.0)
    keeper.begin_shutdown()
    await _run(keeper, clock, 10.0)
    assert lease.is_held(clock())

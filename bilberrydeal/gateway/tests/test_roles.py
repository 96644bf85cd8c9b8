"""Role orders: sent once, announced until they take effect."""

import asyncio
import collections.abc
import contextlib
import time

import attrs
import pytest

from ... import leases
from ... import store
from ...systems import placement
from ..accounting import _reporting
from ..cluster_state import _cluster_state
from ..duties import _roles
from ..messaging import _datagrams
from ..peer_exchange import _role_changes
from . import harness
from . import memory
from . import scripted

REPORT = b'{"stage":"decode","busy":false,"sequence":4}'


async def _accepting(call: scripted.Call) -> bytes:
    """Respond as an engine that accepts each order."""
    body = REPORT if b"/report" in call.head else b""
    return scripted.signed_response(call, body=body)


async def _rejecting(call: scripted.Call) -> bytes:
    """Respond as an engine that rejects each order."""
    if b"/report" in call.head:
        return scripted.signed_response(call, body=REPORT)
    return scripted.signed_response(call, status=409)


class RecordingDatagrams(_datagrams.Datagrams):
    """Records announcements instead of sending them."""

    def __init__(self) -> None:
        super().__init__()
        self.changing: list[tuple[str, ...]] = []

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Record a datagram."""
        self.changing.append(datagram.changing)
        return 1


@attrs.define
class RoleFixture:
    """A role controller that holds the lease, with simulated time."""

    cluster: _cluster_state.ClusterState
    engines: dict[str, scripted.Endpoint]
    now_s: float = 0.0
    datagrams: RecordingDatagrams = attrs.field(factory=RecordingDatagrams)
    controller: _roles.RoleController = attrs.field(init=False)
    lease: leases.Lease = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        client = store.StoreClient(
            memory.MemoryStore(), 0.5, 1_000.0, clock=lambda: self.now_s
        )
        self.lease = leases.Lease(
            client,
            _reporting.DUTY,
            "g1",
            leases.LeaseBounds(ttl_s=9.0, margin_s=0.5, max_call_s=1.0),
        )
        self.controller = _roles.RoleController(
            client,
            self.cluster,
            self.lease,
            "g1",
            _role_changes.RoleChangeBroadcast(
                self.datagrams,
                self.cluster,
                "g1",
                lambda: (("127.0.0.1", 1),),
                lambda: self.now_s,
            ),
            placement.ROLE_PLANS.get("by_load"),
        )

    def heads(self, engine_id: str) -> list[bytes]:
        """Return the methods and targets of an engine's calls."""
        calls = self.engines[engine_id].calls
        return [call.head.partition(b" HTTP")[0] for call in calls]

    def unusable_engines(self) -> list[str]:
        """Return the ids of engines that get no requests."""
        return [
            engine_id
            for engine_id, upstream in self.cluster.endpoints.items()
            if not upstream.usable(self.now_s)
        ]


@contextlib.asynccontextmanager
async def _fixture(
    script: scripted.Script,
) -> collections.abc.AsyncIterator[RoleFixture]:
    """Run a controller with two engines, of which one should prefill."""
    engines = [scripted.engine(f"d{n}", "decode", script) for n in range(2)]
    async with harness.running(*engines) as running:
        by_id = {engine.endpoint_id: engine for engine in engines}
        fixture = RoleFixture(running.cluster, by_id)
        for _ in range(4):
            await fixture.lease.tick()
            fixture.now_s += 1.0
        assert fixture.lease.is_held(fixture.now_s)
        yield fixture


async def test_ordered_engine_is_unused_and_announced_repeatedly() -> None:
    async with _fixture(_accepting) as fixture:
        await fixture.controller.run_once()
        (ordered,) = fixture.unusable_engines()
        fixture.now_s += 0.5
        await fixture.controller.run_once()
        assert fixture.datagrams.changing == [(ordered,), (ordered,)]


async def test_order_stays_pending_while_the_engine_is_busy() -> None:
    """Guards against an order that expires before a busy engine is idle.

    A role change takes 3 s, counted from when the engine has no requests.
    """
    async with _fixture(_accepting) as fixture:
        await fixture.controller.run_once()
        (ordered,) = fixture.unusable_engines()
        load = fixture.cluster.load_of(ordered)
        assert load is not None
        load.own_counts.add(1, 1)
        for _ in range(10):
            await fixture.lease.tick()
            fixture.now_s += 1.0
            await fixture.controller.run_once()
        assert fixture.unusable_engines() == [ordered]
        load.own_counts.add(1, -1)
        announced = len(fixture.datagrams.changing)
        fixture.now_s += 6.0
        await fixture.controller.run_once()
        assert fixture.datagrams.changing[announced:] == []


async def test_rejected_order_is_not_announced() -> None:
    async with _fixture(_rejecting) as fixture:
        await fixture.controller.run_once()
        assert fixture.datagrams.changing == []
        assert fixture.unusable_engines() == []


async def _leaving(call: scripted.Call) -> bytes:
    """Respond as an engine that leaves, with its report."""
    return scripted.signed_response(call, body=REPORT, server_leaving="1")


async def test_engine_that_leaves_gets_no_order() -> None:
    async with _fixture(_leaving) as fixture:
        await fixture.controller.run_once()
        assert fixture.datagrams.changing == []
        (leaving,) = fixture.unusable_engines()
        assert not fixture.cluster.endpoints[leaving].endpoint.ready
        assert fixture.heads(leaving) == [b"GET /bilberrydeal/report"]


async def test_engine_that_pauses_gets_no_order() -> None:
    async with _fixture(_accepting) as fixture:
        for upstream in fixture.cluster.endpoints.values():
            upstream.pause.request(60.0, time.monotonic())
        await fixture.controller.run_once()
        assert fixture.datagrams.changing == []
        assert all(
            fixture.heads(name) == [] for name in fixture.cluster.endpoints
        )


@pytest.mark.parametrize("held", [True, False])
async def test_only_the_lease_holder_sends_orders(held: bool) -> None:
    async with _fixture(_accepting) as fixture:
        if not held:
            fixture.now_s += 30.0
        await fixture.controller.run_once()
        assert bool(fixture.datagrams.changing) == held
        await asyncio.sleep(0)

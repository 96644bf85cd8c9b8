"""Rows of streams, read and written over narrow links in virtual time."""

import asyncio
import collections.abc
import typing

import attrs
import pytest

from ... import errors
from ... import ports
from ... import store
from ...store.tests import virtual
from .. import core
from .. import messaging
from .. import origins
from ..cluster_state import _cluster_state
from ..core import _metrics
from ..origins import _memory
from ..origins import _stream_rows
from ..origins import _stream_sweep
from . import configurations
from . import loopback
from . import memory
from . import narrow_store
from . import resumptions

#: Timeout of a call to the store, in seconds.
CALL_S = 0.5
Result = typing.TypeVar("Result")


def _cluster(gateways: int, name: str = "g1") -> _cluster_state.ClusterState:
    """Return a gateway's view of engines of two versions."""
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    cluster.set_configuration(configurations.configuration())
    cluster.remove_endpoint("e1", "no longer listed")
    for version in ("v1", "v2"):
        cluster.set_endpoint(_engine(version))
    cluster.set_gateways(name, (f"o{n}" for n in range(1, gateways)))
    return cluster


def _engine(version: str) -> typing.Any:
    return attrs.evolve(
        loopback.engine(ports.EngineRole.DECODE),
        endpoint_id=version,
        software_version=version,
    )


class Gateway:
    """What one gateway knows of streams."""

    def __init__(
        self,
        table: memory.MemoryStore,
        gateways: int = 1,
        name: str = "g1",
    ) -> None:
        self.clock = asyncio.get_running_loop().time
        self.cluster = _cluster(gateways, name)
        self.origins = origins.Origins(
            store.StoreClient(table, CALL_S, 1_000.0, clock=self.clock),
            name,
            self.cluster,
            _metrics.GatewayMetrics(),
            self.clock,
            lambda: True,
            self.clock,
            origins.OriginPeers(messaging.Datagrams(), "127.0.0.1:1", dict),
        )

    def begin(self, request_id: bytes, version: str) -> None:
        """Begin a stream at a version."""
        self.origins.resolver.note(
            resumptions.admitted(request_id, self.clock()),
            core.StreamOrigin.of(_engine(version)),
        )

    async def write_for(self, seconds: float) -> None:
        """Do the periodic work for some time."""
        ends_s = self.clock() + seconds
        while self.clock() < ends_s:
            try:
                await self.origins.rows.run_once()
            except errors.BilberrydealError:
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.origins.rows.pause_s())

    async def resume(self, request_id: bytes, left_s: float = 2.0) -> str:
        """Return the version at which a stream goes on."""
        origin = await self.origins.resolver.resolve(
            resumptions.admitted(b"again", self.clock(), request_id, left_s)
        )
        return origin.software_version


def _run(work: collections.abc.Coroutine[object, object, Result]) -> Result:
    loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run(work)
    finally:
        loop.close()


def _rows(table: memory.MemoryStore) -> list[ports.Row]:
    return [
        row
        for (name, _key), row in table.rows.items()
        if name == "stream_begins"
    ]


async def _stored(
    table: memory.MemoryStore, streams: int, seconds: float = 20.0
) -> None:
    """Store streams of both versions at a gateway that ends then."""
    gateway = Gateway(table)
    for number in range(streams):
        gateway.begin(b"s%d" % number, f"v{1 + number % 2}")
    await gateway.write_for(seconds)


@pytest.mark.parametrize("mbps", [1.0, 10.0])
def test_resumption_is_not_bound_by_the_streams_of_all_others(
    mbps: float,
) -> None:
    async def play() -> list[str]:
        table = memory.MemoryStore()
        await _stored(table, 4_000)
        regained = Gateway(narrow_store.NarrowStore(table, mbps), 3, "g2")
        return [await regained.resume(b"s%d" % n) for n in range(6)]

    assert _run(play()) == ["v1", "v2"] * 3


def test_each_transaction_is_within_the_limits_of_the_store() -> None:
    async def play() -> tuple[memory.MemoryStore, narrow_store.NarrowStore]:
        table = memory.MemoryStore()
        link = narrow_store.NarrowStore(table, 1_000.0)
        gateway = Gateway(link)
        long = attrs.evolve(_engine("v1"), software_version="v" * 20_000)
        for number in range(250):
            gateway.begin(b"s%d" % number, "v1")
        for number in range(150):
            gateway.origins.resolver.note(
                resumptions.admitted(b"long%d" % number, gateway.clock()),
                core.StreamOrigin.of(long),
            )
        await gateway.write_for(10.0)
        return table, link

    table, link = _run(play())
    assert len(_rows(table)) == 400
    for transaction in link.transactions:
        assert len(transaction.writes) <= 100
        values = [write.value or b"" for write in transaction.writes]
        assert sum(len(value) * 4 / 3 + 200 for value in values) < 1_000_000


@pytest.mark.parametrize(("gateways", "most"), [(3, 4), (25, 4), (300, 1)])
def test_many_streams_are_stored_in_several_transactions_at_once(
    gateways: int, most: int
) -> None:
    async def play() -> int:
        link = narrow_store.NarrowStore(memory.MemoryStore(), 1_000.0)
        gateway = Gateway(link, gateways)
        await gateway.write_for(10.0)
        for number in range(1_000):
            gateway.begin(b"s%d" % number, "v1")
        before = len(link.transactions)
        await gateway.origins.rows.run_once()
        return len(link.transactions) - before

    assert _run(play()) == most


@pytest.mark.parametrize("gateways", [3, 25, 300])
def test_all_gateways_together_stay_within_the_rate_of_writes(
    gateways: int,
) -> None:
    async def play() -> int:
        link = narrow_store.NarrowStore(memory.MemoryStore(), 1_000.0)
        gateway = Gateway(link, gateways)
        await gateway.write_for(1.0)
        before = len(link.transactions)
        for second in range(60):
            for number in range(10):
                gateway.begin(b"%d/%d" % (second, number), "v1")
            await gateway.write_for(1.0)
        return len(link.transactions) - before

    # Four are saved from an idle time.
    assert (_run(play()) - 4) * gateways / 60.0 <= 40.0


@pytest.mark.parametrize("gateways", [1, 16, 25])
def test_stream_that_began_a_moment_before_its_gateway_ended_is_stored(
    gateways: int,
) -> None:
    async def play() -> str:
        table = memory.MemoryStore()
        ended = Gateway(table, gateways)
        await ended.write_for(2.0)
        writing = asyncio.ensure_future(ended.origins.rows.write_begun())
        ended.begin(b"s1", "v2")
        await asyncio.sleep(0.05)
        writing.cancel()
        return await Gateway(table, gateways, "g2").resume(b"s1")

    assert _run(play()) == "v2"


@pytest.mark.parametrize("lost", ["answer", "call"])
def test_streams_of_a_write_that_failed_are_stored_by_a_later_one(
    lost: str,
) -> None:
    async def play() -> int:
        table = memory.MemoryStore()
        gateway = Gateway(table)
        await gateway.write_for(1.0)
        gateway.begin(b"s", "v1")
        table.unreachable = lost == "call"
        table.lose_next = int(lost == "answer")
        with pytest.raises(errors.BilberrydealError):
            await gateway.origins.rows.streams.write(may_add=True)
        table.unreachable = False
        table.rows.clear()
        await gateway.write_for(1.0)
        return len(_rows(table))

    assert _run(play()) == 1


def test_rows_of_streams_that_are_over_go_though_no_others_begin() -> None:
    async def play() -> tuple[int, int]:
        table = memory.MemoryStore()
        gateway = Gateway(table)
        for number in range(150):
            gateway.begin(b"s%d" % number, "v1")
        await gateway.write_for(20.0)
        before = len(_rows(table))
        await gateway.write_for(20.0)
        return before, len(_rows(table))

    assert _run(play()) == (150, 0)


@pytest.mark.parametrize(("name", "left"), [("g2", 0), ("z2", 1_000)])
def test_rows_of_ended_gateways_are_removed_by_the_first_gateway_alone(
    name: str, left: int
) -> None:
    async def play() -> int:
        table = memory.MemoryStore()
        await _stored(table, 1_000)
        link = narrow_store.NarrowStore(table, 10.0)
        await Gateway(link, 3, name).write_for(120.0)
        return len(_rows(table))

    assert _run(play()) == left


def test_sweep_leaves_what_may_still_be_resumed() -> None:
    async def play() -> tuple[set[str], int]:
        table = memory.MemoryStore()
        await _stored(table, 1_000)
        await asyncio.sleep(60.0)
        await _stored(table, 300)
        link = narrow_store.NarrowStore(table, 10.0)
        await Gateway(link, 3, "g2").write_for(25.0)
        return {row.key for row in _rows(table)}, link.most_rows

    left, most = _run(play())
    assert left == {_memory.digest(b"s%d" % n) for n in range(300)}
    assert most <= _stream_sweep.PAGE_ROWS


def test_row_that_holds_anything_spoils_itself_alone() -> None:
    async def play() -> list[str]:
        table = memory.MemoryStore()
        await _stored(table, 2)
        key = _memory.digest(b"s0")
        for value in (b"[]", b"\xff", b'{"written_s": "x", "origin": 1}'):
            write = ports.Write(_stream_rows.STREAM_BEGINS, key, value)
            await table.commit(ports.Transaction((), (write,)), 1.0)
            regained = Gateway(table, 3, "g2")
            with pytest.raises(errors.Refusal):
                await regained.resume(b"s0")
        return [await regained.resume(b"s1")]

    assert _run(play()) == ["v2"]


def test_regained_gateway_keeps_what_it_read_of_a_stream() -> None:
    async def play() -> str:
        table = memory.MemoryStore()
        await _stored(table, 2)
        regained = Gateway(table, 3, "g2")
        await regained.resume(b"s1")
        table.unreachable = True
        return await regained.resume(b"s1")

    assert _run(play()) == "v2"


async def _resumed_after(
    gateway: Gateway,
    link: narrow_store.NarrowStore,
    answer_s: float,
    request_id: bytes = b"s1",
) -> tuple[str, float]:
    """Resume a stream while responses are held back for some time."""
    link.answers.clear()
    asyncio.get_running_loop().call_later(answer_s, link.answers.set)
    asked_s = gateway.clock()
    try:
        found = await gateway.resume(request_id)
    except errors.Refusal as error:
        found = error.message.rpartition(" ")[2]
    return found, round(gateway.clock() - asked_s, 2)


@pytest.mark.parametrize(
    ("answer_s", "found", "took_s"),
    [(0.7, "v2", 0.7), (0.95, "v2", 0.95), (30.0, "unread", 1.0)],
)
def test_read_that_is_under_way_is_waited_for_while_the_caller_has_time(
    answer_s: float, found: str, took_s: float
) -> None:
    """The objective is 0.5 s, and the caller has 2 s."""

    async def play() -> tuple[str, float]:
        table = memory.MemoryStore()
        await _stored(table, 4)
        link = narrow_store.NarrowStore(table, 10.0)
        return await _resumed_after(Gateway(link, 3, "g2"), link, answer_s)

    told, after_s = _run(play())
    assert told == found
    assert after_s == pytest.approx(took_s, abs=0.02)


def test_store_that_was_silent_holds_the_next_callers_no_longer() -> None:
    async def play() -> list[tuple[str, float]]:
        table = memory.MemoryStore()
        await _stored(table, 4)
        link = narrow_store.NarrowStore(table, 10.0)
        gateway = Gateway(link, 3, "g2")
        found = [await _resumed_after(gateway, link, 30.0)]
        await asyncio.sleep(5.0)
        found.append(await _resumed_after(gateway, link, 30.0))
        link.answers.set()
        await asyncio.sleep(1.0)
        found.append(await _resumed_after(gateway, link, 0.7, b"s3"))
        return found

    told = _run(play())
    assert [found for found, _took in told] == ["unread", "unread", "v2"]
    took_s = [took for _found, took in told]
    assert took_s == pytest.approx([1.0, 0.5, 0.7], abs=0.05)


def test_store_whose_calls_fail_at_once_holds_no_caller() -> None:
    async def play() -> list[tuple[str, float]]:
        table = memory.MemoryStore()
        await _stored(table, 4)
        link = narrow_store.NarrowStore(table, 10.0)
        gateway = Gateway(link, 3, "g2")
        table.unreachable = True
        return [await _resumed_after(gateway, link, 0.0) for _ in range(2)]

    first, second = _run(play())
    assert first[0] == second[0] == "unread"
    assert first[1] <= 0.5
    assert second[1] <= 0.05


def test_waiter_that_ends_does_not_end_the_read_of_another() -> None:
    async def play() -> tuple[int, list[object]]:
        table = memory.MemoryStore()
        await _stored(table, 4)
        link = narrow_store.NarrowStore(table, 10.0)
        gateway = Gateway(link, 3, "g2")
        link.answers.clear()
        asyncio.get_running_loop().call_later(0.8, link.answers.set)
        found = await asyncio.gather(
            gateway.resume(b"s1", left_s=0.4),
            gateway.resume(b"s1", left_s=2.0),
            return_exceptions=True,
        )
        return link.responses, list(found)

    responses, (first, second) = _run(play())
    assert isinstance(first, errors.Refusal)
    assert second == "v2"
    assert responses == 1


def test_read_goes_on_for_the_next_try_when_its_caller_has_gone() -> None:
    async def play() -> str:
        table = memory.MemoryStore()
        await _stored(table, 4)
        link = narrow_store.NarrowStore(table, 10.0)
        gateway = Gateway(link, 3, "g2")
        link.answers.clear()
        asyncio.get_running_loop().call_later(0.8, link.answers.set)
        with pytest.raises(errors.Refusal):
            await gateway.resume(b"s1", left_s=0.4)
        await asyncio.sleep(0.8)
        table.unreachable = True
        return await gateway.resume(b"s1", left_s=0.4)

    assert _run(play()) == "v2"

import asyncio
import collections.abc
import contextlib
import os
import signal
import typing

import aiohttp
import attrs
import pytest

from bilberrydeal import adapters
from bilberrydeal import agent
from bilberrydeal import link
from bilberrydeal import membership
from bilberrydeal import orders
from bilberrydeal import ports
from bilberrydeal import settings
from bilberrydeal import store
from bilberrydeal.agent import _daemon
from bilberrydeal.link.tests import harness
from standins import platform

from . import fakes


class Table(platform.MemoryTable):
    """Remembers what the agent's row said, empty when it was removed."""

    def __init__(self) -> None:
        super().__init__()
        self.said: list[str] = []

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Carry out a transaction."""
        committed = await super().commit(transaction, timeout_s)
        for write in transaction.writes:
            if write.table == "members":
                self.said.append(_said(write.value))
        return committed


def _said(value: bytes | None) -> str:
    if value is None:
        return ""
    member = store.decode(value, membership.AgentMember)
    return f"{member.state.value} {member.role}"


@attrs.define
class World:
    """What the agent under test sees."""

    engine: fakes.FakeEngine = attrs.field(factory=fakes.FakeEngine)
    weights: fakes.FakeWeights = attrs.field(factory=fakes.FakeWeights)
    table: Table = attrs.field(factory=Table)


WORLDS: list[World] = []


@adapters.ENGINES.register("agent_test")
def _engine(session: aiohttp.ClientSession, url: str) -> ports.Engine:
    return WORLDS[-1].engine


@adapters.WEIGHTS.register("agent_test")
def _weights(session: aiohttp.ClientSession, url: str) -> ports.WeightStore:
    return WORLDS[-1].weights


@adapters.TABLES.register("agent_test")
def _table(session: aiohttp.ClientSession, url: str) -> ports.TableService:
    return WORLDS[-1].table


@pytest.fixture
def world() -> collections.abc.Iterator[World]:
    WORLDS.append(World())
    yield WORLDS[-1]
    WORLDS.pop()


def given(**fields: typing.Any) -> settings.AgentSettings:
    fake = settings.AdapterSettings("agent_test", "http://127.0.0.1:1")
    return harness.agent_settings(
        endpoint=fake,
        platform=settings.PlatformSettings(*[fake] * 6),
        **fields,
    )


@contextlib.asynccontextmanager
async def serving(
    chosen: settings.AgentSettings,
) -> collections.abc.AsyncIterator[asyncio.Task[int]]:
    """Run an agent; the test sends the signal that ends it."""
    task = asyncio.create_task(agent.serve(chosen))
    yield task
    await task


async def accepting(entry: link.AgentLink, wanted: bool) -> None:
    """Wait until the agent says whether it takes work."""
    await harness.until(
        lambda: entry.status is not None and entry.status.accepting == wanted
    )


async def beats(entry: link.AgentLink) -> None:
    """Wait for echoes that only an agent that stays sends."""
    for _ in range(5):
        before_s = entry.heard_at_s
        entry.check()
        await harness.until(lambda: entry.heard_at_s > before_s)  # noqa: B023


def usage_of(entry: link.AgentLink) -> asyncio.Queue[link.UsageRecords]:
    """Return a queue of what the agent sends for settlement."""
    usage: asyncio.Queue[link.UsageRecords] = asyncio.Queue()
    entry.on_usage = lambda _, records: usage.put_nowait(records)
    return usage


def terminate() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


async def test_sigterm_takes_no_new_work_and_cuts_none(world: World) -> None:
    chosen = given()
    async with (
        serving(chosen) as task,
        harness.entry(chosen.control_port) as entry,
    ):
        await accepting(entry, True)
        await harness.until(lambda: world.table.said[-1:] == ["live both"])
        running = entry.submit(harness.submit(1, max_tokens=4))
        await harness.until(lambda: running.arrived == 4)
        terminate()
        await accepting(entry, False)
        (event,) = await harness.answer(entry.submit(harness.submit(2)))
        assert isinstance(event, link.Refused)
        assert (event.reason, event.started) == ("endpoint_leaving", False)
        usage = usage_of(entry)
        world.engine.flowing.set()
        answer = await harness.answer(running)
        assert isinstance(answer[-1], link.Finished)
        (record,) = (await usage.get()).records
        assert (record.prompt_tokens, record.output_tokens) == (7, 4)
        await beats(entry)
        assert not task.done()
        entry.settled((record.record,))
        assert await task == _daemon.EXIT_DONE
    assert world.table.said[-3:] == ["live both", "leaving both", ""]


async def test_leaving_waits_for_the_bill_of_a_cancelled_request(
    world: World,
) -> None:
    chosen = given()
    async with (
        serving(chosen) as task,
        harness.entry(chosen.control_port) as entry,
    ):
        await accepting(entry, True)
        world.engine.cancelling.clear()
        call = entry.submit(harness.submit(1, max_tokens=4))
        await harness.until(lambda: call.arrived == 4)
        await entry.cancel(1, harness.PATIENCE_S)
        assert isinstance((await harness.answer(call))[-1], link.Refused)
        terminate()
        await beats(entry)
        usage = usage_of(entry)
        world.engine.cancelling.set()
        (record,) = (await usage.get()).records
        assert (record.prompt_tokens, record.output_tokens) == (7, 4)
        entry.settled((record.record,))
        assert await task == _daemon.EXIT_DONE


@pytest.mark.parametrize("signals", [1, 2])
async def test_bound_or_second_signal_ends_running_work(
    world: World, signals: int
) -> None:
    bound_s = 0.2 if signals == 1 else 3600.0
    chosen = given(shutdown_bound_s=bound_s)
    async with (
        serving(chosen) as task,
        harness.entry(chosen.control_port) as entry,
    ):
        await accepting(entry, True)
        running = entry.submit(harness.submit(1, max_tokens=4))
        await harness.until(lambda: running.arrived == 4)
        for _ in range(signals):
            terminate()
            await asyncio.sleep(0)
        *_, last = await harness.answer(running)
        assert isinstance(last, link.Refused)
        assert (last.reason, last.started) == ("shutting_down", True)
        assert await task == _daemon.EXIT_CUT


async def test_hinted_order_is_applied_and_shown(world: World) -> None:
    chosen = given(order_poll_s=3600.0)
    order = orders.CommittedOrder(
        order_version=2, fence=1, role=ports.EngineRole.DECODE, model="n"
    )
    async with (
        serving(chosen),
        harness.entry(chosen.control_port) as entry,
    ):
        await accepting(entry, True)
        key = orders.order_key("e1")
        write = ports.Write(key.table, key.key, orders.encode_order(order))
        await world.table.commit(ports.Transaction((), (write,)), 1.0)
        entry.hint(2)
        await harness.until(
            lambda: (
                entry.status is not None and entry.status.order_version == 2
            )
        )
        assert entry.status is not None
        assert (entry.status.role, entry.status.service) == ("decode", "n")
        terminate()


async def test_pages(world: World) -> None:
    chosen = given()
    base = f"http://127.0.0.1:{chosen.metrics_port}"
    async with (
        serving(chosen) as task,
        harness.entry(chosen.control_port) as entry,
        aiohttp.ClientSession() as session,
    ):
        await accepting(entry, True)
        entry.on_usage = lambda _, usage: entry.settled(
            tuple(record.record for record in usage.records)
        )
        world.engine.flowing.set()
        await harness.answer(entry.submit(harness.submit(1, max_tokens=4)))
        for path, text in (
            ("health", "alive"),
            ("ready", "ready"),
            ("metrics", "bilberrydeal_agent_links 1"),
            ("metrics", 'bilberrydeal_agent_tokens_total{kind="output"} 4'),
        ):
            async with session.get(f"{base}/{path}") as response:
                assert response.status == 200
                assert text in await response.text()
        terminate()
        assert await task == _daemon.EXIT_DONE


def test_paused_predecessor_keeps_an_agent_out() -> None:
    chosen = given()
    guard = _daemon.guard(chosen)
    assert agent.run(chosen) == _daemon.EXIT_TAKEN
    guard.release()

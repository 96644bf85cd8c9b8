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
    """Table that records each state of the agent's row; empty if removed."""

    def __init__(self) -> None:
        super().__init__()
        self.row_states: list[str] = []

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        """Commit a transaction and record writes of member rows."""
        committed = await super().commit(transaction, timeout_s)
        for write in transaction.writes:
            if write.table == "members":
                self.row_states.append(_row_state(write.value))
        return committed


def _row_state(value: bytes | None) -> str:
    if value is None:
        return ""
    member = store.decode(value, membership.AgentMember)
    return f"{member.state.value} {member.role}"


@attrs.define
class Environment:
    """Fake services that the agent under test uses."""

    engine: fakes.FakeEngine = attrs.field(factory=fakes.FakeEngine)
    weights: fakes.FakeWeights = attrs.field(factory=fakes.FakeWeights)
    table: Table = attrs.field(factory=Table)


ENVIRONMENTS: list[Environment] = []


@adapters.ENGINES.register("agent_test")
def _engine(session: aiohttp.ClientSession, url: str) -> ports.Engine:
    return ENVIRONMENTS[-1].engine


@adapters.WEIGHTS.register("agent_test")
def _weights(session: aiohttp.ClientSession, url: str) -> ports.WeightStore:
    return ENVIRONMENTS[-1].weights


@adapters.TABLES.register("agent_test")
def _table(session: aiohttp.ClientSession, url: str) -> ports.TableService:
    return ENVIRONMENTS[-1].table


@pytest.fixture
def environment() -> collections.abc.Iterator[Environment]:
    ENVIRONMENTS.append(Environment())
    yield ENVIRONMENTS[-1]
    ENVIRONMENTS.pop()


def make_settings(**fields: typing.Any) -> settings.AgentSettings:
    fake = settings.AdapterSettings("agent_test", "http://127.0.0.1:1")
    return harness.agent_settings(
        endpoint=fake,
        platform=settings.PlatformSettings(*[fake] * 6),
        **fields,
    )


@contextlib.asynccontextmanager
async def serving(
    agent_settings: settings.AgentSettings,
) -> collections.abc.AsyncIterator[asyncio.Task[int]]:
    """Run an agent; the test sends the signal that stops it."""
    task = asyncio.create_task(agent.serve(agent_settings))
    yield task
    await task


async def wait_accepting(entry: link.AgentLink, expected: bool) -> None:
    """Wait until the agent reports the expected ``accepting`` status."""
    await harness.wait_until(
        lambda: entry.status is not None and entry.status.accepting == expected
    )


async def exchange_heartbeats(entry: link.AgentLink) -> None:
    """Exchange several heartbeats, which fails if the agent stops."""
    for _ in range(5):
        before_s = entry.last_echo_at_s
        entry.request_heartbeat()
        await harness.wait_until(
            lambda: entry.last_echo_at_s > before_s  # noqa: B023
        )


def usage_queue(entry: link.AgentLink) -> asyncio.Queue[link.UsageRecords]:
    """Return a queue of the usage records that the agent sends."""
    usage: asyncio.Queue[link.UsageRecords] = asyncio.Queue()
    entry.on_usage = lambda _, records: usage.put_nowait(records)
    return usage


def send_sigterm() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


async def test_sigterm_drains_running_requests(
    environment: Environment,
) -> None:
    """An agent that stops must not lose running requests or their usage."""
    agent_settings = make_settings()
    async with (
        serving(agent_settings) as task,
        harness.entry(agent_settings.control_port) as entry,
    ):
        await wait_accepting(entry, True)
        await harness.wait_until(
            lambda: environment.table.row_states[-1:] == ["live both"]
        )
        running = entry.submit(harness.make_submit(1, max_tokens=4))
        await harness.wait_until(lambda: running.last_received_chunk == 4)
        send_sigterm()
        await wait_accepting(entry, False)
        (event,) = await harness.collect_events(
            entry.submit(harness.make_submit(2))
        )
        assert isinstance(event, link.Refused)
        assert (event.reason, event.started) == ("endpoint_leaving", False)
        usage = usage_queue(entry)
        environment.engine.released.set()
        answer = await harness.collect_events(running)
        assert isinstance(answer[-1], link.Finished)
        (record,) = (await usage.get()).records
        assert (record.prompt_tokens, record.output_tokens) == (7, 4)
        await exchange_heartbeats(entry)
        assert not task.done()
        entry.acknowledge_usage((record.record,))
        assert await task == _daemon.EXIT_OK
    assert environment.table.row_states[-3:] == [
        "live both",
        "leaving both",
        "",
    ]


async def test_drain_waits_for_usage_of_a_cancelled_request(
    environment: Environment,
) -> None:
    """An agent that stops must not lose usage still being determined."""
    agent_settings = make_settings()
    async with (
        serving(agent_settings) as task,
        harness.entry(agent_settings.control_port) as entry,
    ):
        await wait_accepting(entry, True)
        environment.engine.cancel_released.clear()
        call = entry.submit(harness.make_submit(1, max_tokens=4))
        await harness.wait_until(lambda: call.last_received_chunk == 4)
        await entry.cancel(1, harness.TIMEOUT_S)
        assert isinstance(
            (await harness.collect_events(call))[-1], link.Refused
        )
        send_sigterm()
        await exchange_heartbeats(entry)
        usage = usage_queue(entry)
        environment.engine.cancel_released.set()
        (record,) = (await usage.get()).records
        assert (record.prompt_tokens, record.output_tokens) == (7, 4)
        entry.acknowledge_usage((record.record,))
        assert await task == _daemon.EXIT_OK


@pytest.mark.parametrize("signals", [1, 2])
async def test_bound_or_second_signal_aborts_running_request(
    environment: Environment, signals: int
) -> None:
    """A request that does not end must not delay shutdown forever."""
    bound_s = 0.2 if signals == 1 else 3600.0
    agent_settings = make_settings(shutdown_bound_s=bound_s)
    async with (
        serving(agent_settings) as task,
        harness.entry(agent_settings.control_port) as entry,
    ):
        await wait_accepting(entry, True)
        running = entry.submit(harness.make_submit(1, max_tokens=4))
        await harness.wait_until(lambda: running.last_received_chunk == 4)
        for _ in range(signals):
            send_sigterm()
            await asyncio.sleep(0)
        *_, last = await harness.collect_events(running)
        assert isinstance(last, link.Refused)
        assert (last.reason, last.started) == ("shutting_down", True)
        assert await task == _daemon.EXIT_WORK_ABORTED


async def test_hinted_order_is_applied_and_reported(
    environment: Environment,
) -> None:
    agent_settings = make_settings(order_poll_s=3600.0)
    order = orders.CommittedOrder(
        order_version=2, fence=1, role=ports.EngineRole.DECODE, model="n"
    )
    async with (
        serving(agent_settings),
        harness.entry(agent_settings.control_port) as entry,
    ):
        await wait_accepting(entry, True)
        key = orders.order_key("e1")
        write = ports.Write(key.table, key.key, orders.encode_order(order))
        await environment.table.commit(ports.Transaction((), (write,)), 1.0)
        entry.announce_order(2)
        await harness.wait_until(
            lambda: (
                entry.status is not None and entry.status.order_version == 2
            )
        )
        assert entry.status is not None
        assert (entry.status.role, entry.status.service) == ("decode", "n")
        send_sigterm()


async def test_metrics_and_health_checks(environment: Environment) -> None:
    agent_settings = make_settings()
    base = f"http://127.0.0.1:{agent_settings.metrics_port}"
    async with (
        serving(agent_settings) as task,
        harness.entry(agent_settings.control_port) as entry,
        aiohttp.ClientSession() as session,
    ):
        await wait_accepting(entry, True)
        entry.on_usage = lambda _, usage: entry.acknowledge_usage(
            tuple(record.record for record in usage.records)
        )
        environment.engine.released.set()
        await harness.collect_events(
            entry.submit(harness.make_submit(1, max_tokens=4))
        )
        for path, text in (
            ("health", "alive"),
            ("ready", "ready"),
            ("metrics", "bilberrydeal_agent_links 1"),
            ("metrics", 'bilberrydeal_agent_tokens_total{kind="output"} 4'),
        ):
            async with session.get(f"{base}/{path}") as response:
                assert response.status == 200
                assert text in await response.text()
        send_sigterm()
        assert await task == _daemon.EXIT_OK


def test_agent_does_not_start_while_another_holds_the_lock() -> None:
    """A paused agent holds the lock; two must never order one endpoint."""
    agent_settings = make_settings()
    instance_lock = _daemon.acquire_instance_lock(agent_settings)
    assert agent.run(agent_settings) == _daemon.EXIT_CONFLICT
    instance_lock.release()

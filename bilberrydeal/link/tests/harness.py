"""Runs the two ends of a link over loopback for tests."""

import asyncio
import collections.abc
import contextlib
import time
import typing

import attrs
import tenacity

from bilberrydeal import errors
from bilberrydeal import link
from bilberrydeal import settings

from . import freeports
from . import relay

ADDRESS = "127.0.0.1"
#: Timeout of every wait in a test; only reached if something hangs.
TIMEOUT_S = 20.0
LINK_SETTINGS = settings.LinkSettings(
    idle_heartbeat_s=0.1,
    silent_bound_s=0.4,
    status_s=0.05,
    resume_window_s=5.0,
)
LINK_PORTS = 16
STATUS = link.EndpointStatus(
    order_version=1,
    role="both",
    service="m",
    accepting=True,
    running=0,
    waiting=0,
    queued_prompt_tokens=0,
    queued_output_tokens=0,
    kv_used_share=0.0,
)


def agent_settings(**fields: typing.Any) -> settings.AgentSettings:
    """Return settings of an agent on loopback."""
    store = settings.AdapterSettings(adapter="none", url="http://127.0.0.1:1")
    defaults: dict[str, typing.Any] = {
        "role": "agent",
        "host_id": "h1",
        "endpoint_id": "e1",
        "listen_address": ADDRESS,
        "advertise_address": ADDRESS,
        "failure_domain": "d1",
        "control_port": freeports.allocate_ports(),
        "link_ports_from": freeports.allocate_ports(LINK_PORTS),
        "link_ports": LINK_PORTS,
        "guard_port": freeports.allocate_ports(),
        "metrics_port": freeports.allocate_ports(),
        "endpoint": store,
        "endpoint_kind": "engine",
        "service": "m",
        "platform": settings.PlatformSettings(*[store] * 6),
        "link": LINK_SETTINGS,
    }
    return settings.AgentSettings(**{**defaults, **fields})


def make_submit(sequence: int, **fields: typing.Any) -> link.Submit:
    """Return a request of entry ``a``."""
    default = link.Submit(
        number=link.RequestNumber(entry="a", sequence=sequence),
        organisation="russo",
        route="chat",
        model="m",
        request_class=0,
        time_left_s=30.0,
        weight=1.0,
        idempotent=True,
    )
    return attrs.evolve(default, **fields)


class Executor(link.Executor):
    """Stores requests for the test to answer."""

    def __init__(self) -> None:
        self.executions: dict[int, link.RequestExecution] = {}
        self.arrivals: asyncio.Queue[link.RequestExecution] = asyncio.Queue()

    def submit(self, execution: link.RequestExecution) -> None:
        """Store the request."""
        self.executions[execution.sequence] = execution
        self.arrivals.put_nowait(execution)

    def cancel(self, execution: link.RequestExecution) -> None:
        """Refuse the request as cancelled."""
        execution.refuse(errors.ErrorCode.CANCELLED)


class AgentCallbacks(link.AgentCallbacks):
    """Records the callbacks of a link server."""

    def __init__(self) -> None:
        self.events: asyncio.Queue[tuple[str, object]] = asyncio.Queue()

    def status(self) -> link.EndpointStatus:
        """Return a fixed status."""
        return STATUS

    def order_announced(self, order_version: int) -> None:
        """Record an order hint."""
        self.events.put_nowait(("hinted", order_version))

    def usage_settled(self, records: tuple[int, ...]) -> None:
        """Record a settlement."""
        self.events.put_nowait(("settled", records))

    def entry_connected(self, entry: str) -> None:
        """Record an entry that connected."""
        self.events.put_nowait(("joined", entry))

    def entry_expired(self, entry: str) -> None:
        """Record an entry that stayed away."""
        self.events.put_nowait(("gone", entry))


@attrs.define
class Agent:
    """A running link server with its executor and callbacks."""

    server: link.LinkServer
    executor: Executor
    callbacks: AgentCallbacks
    settings: settings.AgentSettings

    async def next_execution(self) -> link.RequestExecution:
        """Return the next request that arrives."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.executor.arrivals.get()

    async def event(self) -> tuple[str, object]:
        """Return the next recorded callback."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.callbacks.events.get()


@contextlib.asynccontextmanager
async def agent(
    name: str = "agent-1", **fields: typing.Any
) -> collections.abc.AsyncIterator[Agent]:
    """Run the agent's end of a link."""
    executor, callbacks = Executor(), AgentCallbacks()
    server_settings = agent_settings(**fields)
    server = link.LinkServer(
        name, server_settings, callbacks, executor, time.monotonic
    )
    task = asyncio.create_task(server.run())
    try:
        yield Agent(server, executor, callbacks, server_settings)
    finally:
        server.close()
        await task


@contextlib.asynccontextmanager
async def entry(
    control_port: int,
    name: str = "a",
    link_settings: settings.LinkSettings = LINK_SETTINGS,
    address: str = ADDRESS,
) -> collections.abc.AsyncIterator[link.AgentLink]:
    """Run the entry's end of a link, once connected."""
    agent_link = link.AgentLink(
        address, control_port, name, "d1", link_settings, time.monotonic
    )
    task = asyncio.create_task(agent_link.run())
    try:
        await wait_until(lambda: agent_link.connected)
        yield agent_link
    finally:
        await agent_link.close()
        await task


@contextlib.asynccontextmanager
async def relayed(
    agent: Agent,
) -> collections.abc.AsyncIterator[relay.Relay]:
    """Run a relay to all ports of an agent."""
    link_relay = relay.Relay()
    first = agent.settings.link_ports_from
    await link_relay.listen(
        [
            agent.settings.control_port,
            *range(first, first + agent.settings.link_ports),
        ]
    )
    try:
        yield link_relay
    finally:
        await link_relay.close()


async def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    retrying = tenacity.AsyncRetrying(
        retry=tenacity.retry_if_result(lambda satisfied: not satisfied),
        stop=tenacity.stop_after_delay(TIMEOUT_S),
        wait=tenacity.wait_fixed(0.005),
    )

    async def check() -> bool:
        return condition()

    await retrying(check)


async def collect_events(call: link.Call) -> list[object]:
    """Return the whole answer of a call."""
    async with asyncio.timeout(TIMEOUT_S):
        return [event async for event in call.events()]

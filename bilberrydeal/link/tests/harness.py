"""A link over loopback for tests."""

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
#: Nothing in a test takes longer unless it hangs.
PATIENCE_S = 20.0
LINK = settings.LinkSettings(
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
    given: dict[str, typing.Any] = {
        "role": "agent",
        "host_id": "h1",
        "endpoint_id": "e1",
        "listen_address": ADDRESS,
        "advertise_address": ADDRESS,
        "failure_domain": "d1",
        "control_port": freeports.take(),
        "link_ports_from": freeports.take(LINK_PORTS),
        "link_ports": LINK_PORTS,
        "guard_port": freeports.take(),
        "metrics_port": freeports.take(),
        "endpoint": store,
        "endpoint_kind": "engine",
        "service": "m",
        "platform": settings.PlatformSettings(*[store] * 6),
        "link": LINK,
    }
    return settings.AgentSettings(**{**given, **fields})


def submit(sequence: int, **fields: typing.Any) -> link.Submit:
    """Return a request of entry ``a``."""
    plain = link.Submit(
        number=link.RequestNumber(entry="a", sequence=sequence),
        organisation="russo",
        route="chat",
        model="m",
        request_class=0,
        time_left_s=30.0,
        weight=1.0,
        idempotent=True,
    )
    return attrs.evolve(plain, **fields)


class Executor(link.Executor):
    """Keeps works for the test to answer."""

    def __init__(self) -> None:
        self.works: dict[int, link.Work] = {}
        self.arrivals: asyncio.Queue[link.Work] = asyncio.Queue()

    def submit(self, work: link.Work) -> None:
        """Keep it."""
        self.works[work.sequence] = work
        self.arrivals.put_nowait(work)

    def cancel(self, work: link.Work) -> None:
        """Refuse it."""
        work.refuse(errors.ErrorCode.CANCELLED)


class Host(link.Host):
    """Records what the links said."""

    def __init__(self) -> None:
        self.events: asyncio.Queue[tuple[str, object]] = asyncio.Queue()

    def status(self) -> link.EndpointStatus:
        """Return a status."""
        return STATUS

    def hinted(self, order_version: int) -> None:
        """Record it."""
        self.events.put_nowait(("hinted", order_version))

    def settled(self, records: tuple[int, ...]) -> None:
        """Record it."""
        self.events.put_nowait(("settled", records))

    def joined(self, entry: str) -> None:
        """Record it."""
        self.events.put_nowait(("joined", entry))

    def gone(self, entry: str) -> None:
        """Record it."""
        self.events.put_nowait(("gone", entry))


@attrs.define
class Agent:
    """A running agent's end."""

    server: link.LinkServer
    executor: Executor
    host: Host
    settings: settings.AgentSettings

    async def work(self) -> link.Work:
        """Return the next request that arrives."""
        async with asyncio.timeout(PATIENCE_S):
            return await self.executor.arrivals.get()

    async def event(self) -> tuple[str, object]:
        """Return what a link says next."""
        async with asyncio.timeout(PATIENCE_S):
            return await self.host.events.get()


@contextlib.asynccontextmanager
async def agent(
    name: str = "agent-1", **fields: typing.Any
) -> collections.abc.AsyncIterator[Agent]:
    """Run an agent's end of the link."""
    executor, host = Executor(), Host()
    given = agent_settings(**fields)
    server = link.LinkServer(name, given, host, executor, time.monotonic)
    running = asyncio.create_task(server.run())
    try:
        yield Agent(server, executor, host, given)
    finally:
        server.close()
        await running


@contextlib.asynccontextmanager
async def entry(
    control_port: int,
    name: str = "a",
    link_settings: settings.LinkSettings = LINK,
    address: str = ADDRESS,
) -> collections.abc.AsyncIterator[link.AgentLink]:
    """Run an entry's end of the link, connected."""
    agent_link = link.AgentLink(
        address, control_port, name, "d1", link_settings, time.monotonic
    )
    running = asyncio.create_task(agent_link.run())
    try:
        await until(lambda: agent_link.connected)
        yield agent_link
    finally:
        await agent_link.close()
        await running


@contextlib.asynccontextmanager
async def relayed(
    agent: Agent,
) -> collections.abc.AsyncIterator[relay.Relay]:
    """Run a relay to all ports of an agent."""
    between = relay.Relay()
    first = agent.settings.link_ports_from
    await between.listen(
        [
            agent.settings.control_port,
            *range(first, first + agent.settings.link_ports),
        ]
    )
    try:
        yield between
    finally:
        await between.close()


async def until(condition: collections.abc.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    retrying = tenacity.AsyncRetrying(
        retry=tenacity.retry_if_result(lambda held: not held),
        stop=tenacity.stop_after_delay(PATIENCE_S),
        wait=tenacity.wait_fixed(0.005),
    )

    async def check() -> bool:
        return condition()

    await retrying(check)


async def answer(call: link.Call) -> list[object]:
    """Return the whole answer of a call."""
    async with asyncio.timeout(PATIENCE_S):
        return [event async for event in call.events()]

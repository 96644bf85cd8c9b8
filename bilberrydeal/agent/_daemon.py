"""Runs an agent as a process, from guard to exit code."""

import asyncio
import signal

import aiohttp
import uvloop

from .. import link
from .. import settings
from .. import telemetry
from . import _agent
from . import _build
from . import _guard
from . import _pages
from . import _presence

LOG = telemetry.logger("agent")

EXIT_DONE = 0
#: The guard or a port is held by another process.
EXIT_TAKEN = 3
#: The shutdown bound came before all work had ended.
EXIT_CUT = 4


def run(agent_settings: settings.AgentSettings) -> int:
    """Serve until a signal and return the exit code of the process."""
    telemetry.configure(agent_settings.log.level)
    link.limit_threads()
    try:
        held = guard(agent_settings)
    except _guard.GuardHeld as error:
        LOG.error("Another agent is alive.", port=error.port)
        return EXIT_TAKEN
    try:
        return uvloop.run(serve(agent_settings))
    except OSError as error:
        LOG.error("A port is taken.", reason=str(error))
        return EXIT_TAKEN
    finally:
        held.release()


def guard(agent_settings: settings.AgentSettings) -> _guard.Guard:
    """Keep other agents of this host out, or raise ``GuardHeld``."""
    return _guard.Guard(agent_settings.guard_port)


async def serve(agent_settings: settings.AgentSettings) -> int:
    """Serve until SIGTERM or SIGINT; a second signal cuts what runs.

    The caller holds the guard. Raises ``OSError`` when a port is taken.
    """
    signals = _Signals()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = _build.store_client(agent_settings, session)
        name = _build.incarnation(agent_settings)
        agent = _build.build(name, agent_settings, session, client)
        pages = _pages.Pages(agent, agent_settings)
        presence = _presence.Presence(agent, agent_settings, client)
        await pages.start()
        try:
            return await _serve(agent, presence, agent_settings, signals)
        finally:
            await pages.stop()


async def _serve(
    agent: _agent.Agent,
    presence: _presence.Presence,
    agent_settings: settings.AgentSettings,
    signals: "_Signals",
) -> int:
    """Run the agent and its row; leave on a signal."""
    serving = asyncio.create_task(agent.run())
    keeping = asyncio.create_task(presence.run())
    signalled = asyncio.create_task(signals.first.wait())
    LOG.info("Started.", agent=agent.name)
    await asyncio.wait(
        [serving, signalled], return_when=asyncio.FIRST_COMPLETED
    )
    signalled.cancel()
    code = EXIT_DONE
    if not serving.done():
        marking = asyncio.create_task(presence.leaving())
        code = await _leave(agent, agent_settings.shutdown_bound_s, signals)
        await marking
    await _end(keeping)
    await presence.leave()
    await serving
    LOG.info("Stopped.", code=code)
    return code


async def _leave(
    agent: _agent.Agent, bound_s: float, signals: "_Signals"
) -> int:
    """Let all work end; cut it at the bound or a second signal."""
    leaving = asyncio.create_task(agent.leave())
    second = asyncio.create_task(signals.second.wait())
    await asyncio.wait(
        [leaving, second],
        timeout=bound_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    second.cancel()
    if leaving.done():
        return EXIT_DONE
    await _end(leaving)
    await agent.stop()
    return EXIT_CUT


async def _end(task: asyncio.Task[None]) -> None:
    task.cancel()
    try:
        await task
    except asyncio.CancelledError:
        pass


class _Signals:
    """Counts SIGTERM and SIGINT."""

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take)

    def _take(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()

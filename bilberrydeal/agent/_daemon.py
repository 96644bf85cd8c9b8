"""Runs an agent as a process."""

import asyncio
import signal

import uvloop

from .. import adapters
from .. import link
from .. import settings
from .. import telemetry
from . import _agent
from . import _build
from . import _instance_lock
from . import _monitoring
from . import _registration

LOG = telemetry.logger("agent")

EXIT_OK = 0
#: Another process holds the instance lock or a port.
EXIT_CONFLICT = 3
#: Requests were aborted at the shutdown bound or on a second signal.
EXIT_WORK_ABORTED = 4


def run(agent_settings: settings.AgentSettings) -> int:
    """Serve until signalled and return the process exit code."""
    telemetry.configure(agent_settings.log.level)
    link.limit_threads()
    try:
        instance_lock = acquire_instance_lock(agent_settings)
    except _instance_lock.InstanceLockHeld as error:
        LOG.error("Another agent is running.", port=error.port)
        return EXIT_CONFLICT
    try:
        return uvloop.run(serve(agent_settings))
    except OSError as error:
        LOG.error("Port unavailable.", reason=str(error))
        return EXIT_CONFLICT
    finally:
        instance_lock.release()


def acquire_instance_lock(
    agent_settings: settings.AgentSettings,
) -> _instance_lock.InstanceLock:
    """Return the lock of this host's agent; raises ``InstanceLockHeld``."""
    return _instance_lock.InstanceLock(agent_settings.guard_port)


async def serve(agent_settings: settings.AgentSettings) -> int:
    """Serve until SIGTERM or SIGINT; a second one aborts running requests.

    The caller holds the instance lock. Raises ``OSError`` when a port is in
    use.
    """
    signals = _Signals()
    async with adapters.open_session(connection_limit=0) as session:
        client = _build.store_client(agent_settings, session)
        name = _build.new_incarnation(agent_settings)
        agent = _build.build(name, agent_settings, session, client)
        monitoring = _monitoring.MonitoringServer(agent, agent_settings)
        registration = _registration.AgentRegistration(
            agent, agent_settings, client
        )
        await monitoring.start()
        try:
            return await _serve(agent, registration, agent_settings, signals)
        finally:
            await monitoring.stop()


async def _serve(
    agent: _agent.Agent,
    registration: _registration.AgentRegistration,
    agent_settings: settings.AgentSettings,
    signals: "_Signals",
) -> int:
    """Run the agent and its registration; drain on a signal."""
    serving = asyncio.create_task(agent.run())
    registering = asyncio.create_task(registration.run())
    signalled = asyncio.create_task(signals.first.wait())
    LOG.info("Agent started.", agent=agent.name)
    await asyncio.wait(
        [serving, signalled], return_when=asyncio.FIRST_COMPLETED
    )
    signalled.cancel()
    code = EXIT_OK
    if not serving.done():
        marking = asyncio.create_task(registration.mark_leaving())
        code = await _drain(agent, agent_settings.shutdown_bound_s, signals)
        await marking
    await _cancel(registering)
    await registration.remove()
    await serving
    LOG.info("Agent stopped.", code=code)
    return code


async def _drain(
    agent: _agent.Agent, bound_s: float, signals: "_Signals"
) -> int:
    """Drain; abort requests after ``bound_s`` or on a second signal."""
    draining = asyncio.create_task(agent.drain())
    second = asyncio.create_task(signals.second.wait())
    await asyncio.wait(
        [draining, second],
        timeout=bound_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    second.cancel()
    if draining.done():
        return EXIT_OK
    await _cancel(draining)
    await agent.stop()
    return EXIT_WORK_ABORTED


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    try:
        await task
    except asyncio.CancelledError:
        pass


class _Signals:
    """Sets an event on the first and the second SIGTERM or SIGINT."""

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle)

    def _handle(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()

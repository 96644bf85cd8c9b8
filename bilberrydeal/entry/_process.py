"""Runs an entry from start to end."""

import asyncio
import os
import signal
import sys
import typing

import aiohttp

from .. import periodic
from .. import settings
from .. import telemetry
from ..systems import health
from . import _app
from . import _base
from . import _path
from . import _secrets
from . import _upkeep
from . import knowledge
from . import planners

LOG = telemetry.logger("entry")
#: Time between two looks at links and circuits.
TICK_S = 0.1
#: Time between two looks at what still runs while shutting down.
DRAIN_LOOK_S = 0.05


class EntryProcess:
    """One entry from start to end."""

    def __init__(self, base: _base.Base) -> None:
        self._base = base
        self._stop = asyncio.Event()
        self._hurry = False
        self._asked = False
        self._server: typing.Any = None
        self._tasks: list[asyncio.Task[None]] = []
        self._path = _path.build(base, self._stop.set)
        applier = knowledge.ChangeApplier(self._path.gate, base.tables)
        base.shared_state.follower.listen(applier.apply)
        self._upkeep = _upkeep.build(base, self._path)
        self._app = _app.build(base, self._path, self._upkeep)

    async def run(self) -> bool:
        """Serve until a signal asks to stop or another took over the name.

        Returns whether to go on under a new incarnation.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        chosen = self._base.settings
        self._server = await self._app.create_server(
            host=chosen.listen_address,
            port=chosen.http.port,
            return_asyncio_server=True,
        )
        await self._server.startup()
        await self._server.start_serving()
        self._start_loops()
        LOG.info("Serving.", entry=self._base.entry, port=chosen.http.port)
        try:
            await self._stop.wait()
            await self._drain()
        finally:
            await self._close()
        return not self._asked

    def _on_signal(self) -> None:
        """Stop; a second signal does not wait for what runs."""
        self._hurry = self._asked
        self._asked = True
        self._stop.set()

    def _start_loops(self) -> None:
        chosen = self._base.settings
        shared_state = self._base.shared_state
        self._spawn(self._upkeep.exchange.serve())
        self._spawn(self._maintain_row())
        self._spawn(self._upkeep.duties.run())
        for name, period_s, work in (
            (
                "configuration",
                knowledge.CONFIGURATION_POLL_S,
                shared_state.poll_configuration,
            ),
            ("members", chosen.membership.read_s, self._poll_members),
            ("hosts", knowledge.HOSTS_POLL_S, shared_state.poll_hosts),
            (
                "exchange",
                chosen.membership.exchange_s,
                self._upkeep.exchange.run_round,
            ),
            ("usage", chosen.usage.settle_s, self._path.settling.round),
            ("demand", planners.WINDOW_S, self._observe_demand),
            ("tick", TICK_S, self._tick),
        ):
            pause_s = periodic.jittered(period_s, self._base.random)
            self._spawn(periodic.every(name, pause_s, work))

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(periodic.log_defect)
        self._tasks.append(task)

    async def _maintain_row(self) -> None:
        await self._base.shared_state.maintain_row()
        self._stop.set()

    async def _poll_members(self) -> None:
        await self._base.shared_state.poll_members()
        await self._upkeep.sync.run()

    async def _observe_demand(self) -> None:
        await self._upkeep.observe_demand(self._base)

    async def _tick(self) -> None:
        self._path.pool.refresh()
        now_s = self._base.clock()
        self._path.policies.health.run(self._base.tables, now_s)
        for endpoint_id in self._path.policies.health.probes(
            self._base.tables, now_s
        ):
            answers = self._path.pool.probe(endpoint_id)
            if answers is not None:
                self._path.policies.health.observe(
                    health.Observation(endpoint_id, answers, probe=True), now_s
                )

    async def _drain(self) -> None:
        """Take nothing new, hand duties over and wait for what runs."""
        LOG.info("Shutting down.", in_flight=self._path.gate.in_flight)
        self._path.gate.closing = True
        until_s = self._base.clock() + self._base.settings.shutdown_bound_s
        await self._upkeep.duties.stop()
        while self._path.gate.in_flight and not self._hurry:
            if self._base.clock() >= until_s:
                LOG.warning(
                    "Bound reached.", in_flight=self._path.gate.in_flight
                )
                break
            await asyncio.sleep(DRAIN_LOOK_S)

    async def _close(self) -> None:
        self._server.close()
        await self._server.wait_closed()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._path.settling.close()
        await self._base.shared_state.leave()
        self._upkeep.exchange.close()
        await self._path.pool.close()
        self._base.tracing.close()
        LOG.info("Ended.")


def run(chosen: settings.EntrySettings) -> int:
    """Run an entry until a signal asks to stop; return the exit code."""
    import uvloop

    secret = _secrets.read(chosen.secrets)
    telemetry.configure(chosen.log.level)

    async def main() -> bool:
        async with aiohttp.ClientSession() as session:
            base = _base.build(chosen, secret, session)
            return await EntryProcess(base).run()

    if uvloop.run(main()):
        # The HTTP library sets itself up once a process, so this one begins
        # again as a whole; it stays the same process to the platform.
        LOG.warning("Starting anew under another incarnation.")
        os.execv(sys.executable, sys.orig_argv)
    return 0

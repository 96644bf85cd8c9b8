"""Runs an entry process from start to shutdown."""

import asyncio
import os
import signal
import sys
import typing

from .. import adapters
from .. import periodic
from .. import settings
from .. import telemetry
from ..systems import health
from . import _app
from . import _background
from . import _context
from . import _pipeline
from . import _secrets
from . import cluster_state
from . import http_api
from . import planners

LOG = telemetry.logger("entry")
#: Interval between updates of links and circuits.
TICK_S = 0.1
#: Most calls to the platform at a time.
CONNECTION_LIMIT = 100
#: Interval between checks for running requests during shutdown.
DRAIN_POLL_S = 0.05


class EntryProcess:
    """One incarnation of an entry, from start to shutdown."""

    def __init__(self, context: _context.EntryContext) -> None:
        self._context = context
        self._stop = asyncio.Event()
        self._skip_drain = False
        self._stop_requested = False
        #: When requests under way are cut off, on the context's clock.
        self._drained_by_s = float("-inf")
        self._server: typing.Any = None
        self._tasks: list[asyncio.Task[None]] = []
        self._pipeline = _pipeline.build(context, self._stop.set)
        applier = cluster_state.ChangeApplier(
            self._pipeline.admitter, context.tables
        )
        context.shared_state.follower.listen(applier.apply)
        self._background = _background.build(context, self._pipeline)
        self._app = _app.build(context, self._pipeline, self._background)

    async def run(self) -> bool:
        """Serve until a signal, or until the entry lost its row or recorder.

        Returns whether to restart under a new incarnation.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        entry_settings = self._context.settings
        self._server = await self._app.create_server(
            host=entry_settings.listen_address,
            port=entry_settings.http.port,
            return_asyncio_server=True,
        )
        await self._server.startup()
        await self._server.start_serving()
        self._start_loops()
        LOG.info(
            "Entry started.",
            entry=self._context.entry,
            port=entry_settings.http.port,
        )
        try:
            await self._stop.wait()
            await self._drain()
        finally:
            await self._close()
        return not self._stop_requested

    def _on_signal(self) -> None:
        """Shut down; on a second signal, without waiting for requests."""
        self._skip_drain = self._stop_requested
        self._stop_requested = True
        self._stop.set()

    def _start_loops(self) -> None:
        entry_settings = self._context.settings
        shared_state = self._context.shared_state
        self._spawn(self._background.exchange.serve())
        self._spawn(self._maintain_row())
        self._spawn(self._background.duties.run())
        for name, period_s, work in (
            (
                "configuration",
                cluster_state.CONFIGURATION_POLL_S,
                shared_state.poll_configuration,
            ),
            ("members", entry_settings.membership.read_s, self._poll_members),
            ("hosts", cluster_state.HOSTS_POLL_S, shared_state.poll_hosts),
            (
                "exchange",
                entry_settings.membership.exchange_s,
                self._background.exchange.run_round,
            ),
            (
                "usage",
                entry_settings.usage.settle_s,
                self._pipeline.settler.run_round,
            ),
            ("demand", planners.WINDOW_S, self._observe_demand),
            ("tick", TICK_S, self._tick),
        ):
            pause_s = periodic.jittered(period_s, self._context.random)
            self._spawn(periodic.run_periodically(name, pause_s, work))

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(periodic.log_task_failure)
        self._tasks.append(task)

    async def _maintain_row(self) -> None:
        await self._context.shared_state.maintain_row()
        self._stop.set()

    async def _poll_members(self) -> None:
        await self._context.shared_state.poll_members()
        await self._background.sync.run()

    async def _observe_demand(self) -> None:
        await self._background.observe_demand(self._context)

    async def _tick(self) -> None:
        self._pipeline.pool.refresh()
        now_s = self._context.clock()
        self._pipeline.policies.health.run(self._context.tables, now_s)
        for endpoint_id in self._pipeline.policies.health.probes(
            self._context.tables, now_s
        ):
            answers = self._pipeline.pool.probe(endpoint_id)
            if answers is not None:
                self._pipeline.policies.health.observe(
                    health.Observation(endpoint_id, answers, probe=True), now_s
                )

    async def _drain(self) -> None:
        """Stop admission, release duties and wait for running requests."""
        LOG.info(
            "Entry shutting down.", in_flight=self._pipeline.admitter.in_flight
        )
        self._pipeline.admitter.closing = True
        self._drained_by_s = (
            self._context.clock() + self._context.settings.shutdown_bound_s
        )
        await self._background.duties.stop()
        while self._pipeline.admitter.in_flight and not self._skip_drain:
            if self._context.clock() >= self._drained_by_s:
                LOG.warning(
                    "Shutdown time limit reached.",
                    in_flight=self._pipeline.admitter.in_flight,
                )
                break
            await asyncio.sleep(DRAIN_POLL_S)

    async def _close(self) -> None:
        time_left_s = max(0.0, self._drained_by_s - self._context.clock())
        await http_api.close_server(
            self._server, 0.0 if self._skip_drain else time_left_s
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._pipeline.settler.close()
        await self._context.shared_state.leave()
        self._background.exchange.close()
        await self._pipeline.pool.close()
        self._context.tracing.close()
        LOG.info("Entry stopped.")


def run(entry_settings: settings.EntrySettings) -> int:
    """Run an entry until a signal stops it; return the exit code."""
    import uvloop

    secret = _secrets.read(entry_settings.secrets)
    telemetry.configure(entry_settings.log.level)

    async def main() -> bool:
        async with adapters.open_session(CONNECTION_LIMIT) as session:
            context = _context.build(entry_settings, secret, session)
            return await EntryProcess(context).run()

    if uvloop.run(main()):
        # Sanic can be set up only once per process, so the process replaces
        # itself; to the platform it stays the same process.
        LOG.warning("Restarting under a new incarnation.")
        os.execv(sys.executable, sys.orig_argv)
    return 0

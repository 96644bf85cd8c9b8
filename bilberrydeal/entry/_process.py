"""Puts an entry together and runs it."""

import asyncio
import os
import random
import signal
import sys
import time
import typing

import aiohttp
import attrs

from .. import adapters
from .. import claims
from .. import configuration
from .. import link
from .. import membership
from .. import peers
from .. import settings
from .. import systems
from .. import telemetry
from ..systems import health
from . import _authority
from . import _dispatch
from . import _exchange
from . import _following
from . import _gate
from . import _gauges
from . import _http
from . import _journal
from . import _loops
from . import _observer
from . import _once
from . import _operator
from . import _planning
from . import _policies
from . import _pool
from . import _secrets
from . import _serving
from . import _settling
from . import _status
from . import _subset

LOG = telemetry.logger("entry")
#: Time between two looks at links and circuits.
TICK_S = 0.1
#: Time between two looks at what still runs while shutting down.
DRAIN_LOOK_S = 0.05


@attrs.define
class _Numbers:
    """Numbers the requests of one incarnation."""

    entry: str
    last: int = 0

    def next(self) -> link.RequestNumber:
        self.last += 1
        return link.RequestNumber(self.entry, self.last)


class EntryProcess:
    """One entry from start to end."""

    def __init__(
        self,
        chosen: settings.EntrySettings,
        secret: _secrets.Secrets,
        session: aiohttp.ClientSession,
    ) -> None:
        self._settings = chosen
        self._clock = time.monotonic
        self._wall = time.time
        self._random = random.SystemRandom()
        self._stop = asyncio.Event()
        self._hurry = False
        self._asked = False
        self._server: typing.Any = None
        self._tasks: list[asyncio.Task[None]] = []
        self.entry = membership.new_incarnation(
            chosen.host_id, self._wall(), self._random
        )
        self._platform = adapters.connect(session, chosen.platform)
        self._metrics = telemetry.Metrics()
        self._gauges = _gauges.Gauges(self._metrics)
        self._tracing = telemetry.Tracing(chosen.trace, "entry")
        self._tables = systems.Tables()
        self._following = _following.Following(
            self.entry,
            chosen,
            self._platform,
            secret.pepper,
            self._clock,
            self._wall,
        )
        self._following.follower.listen(self._on_change)
        self._build_path()
        self._build_upkeep(secret)
        self._build_app(secret)

    def _build_path(self) -> None:
        """Make what requests pass through."""
        chosen = self._settings
        following = self._following
        numbers = _Numbers(self.entry)
        self._policies = _policies.build(
            chosen, self.entry, self._random.getrandbits(32)
        )
        self._pool = _pool.LinkPool(
            self.entry,
            chosen,
            self._tables,
            self._policies.router,
            self._clock,
        )
        self._gate = _gate.Gate(
            numbers.next,
            chosen,
            following.current,
            following.key_directory,
            following.freshness,
            self._policies,
            self._tables,
            following.demand,
        )
        self._journal = _journal.Journal(self._clock)
        self._claims = claims.Claims(
            following.claims_client, self._platform.objects
        )
        self._settling = _settling.Settling(
            self.entry,
            chosen.usage,
            following.client,
            self._claims,
            self._pool,
            self._wall,
            following.is_agent,
            lambda: len(following.directory.entries()),
            self._clock,
            self._stop.set,
        )
        self._dispatcher = _dispatch.Dispatcher(
            self._pool,
            self._tables,
            self._policies,
            numbers.next,
            self._settling.bill_lost,
            self._journal,
            self._tracing,
            self._clock,
        )

    def _build_upkeep(self, secret: _secrets.Secrets) -> None:
        """Make what keeps this entry in step with the others."""
        chosen = self._settings
        following = self._following
        self._exchange = _exchange.Exchange(
            peers.Introduction(
                self.entry,
                chosen.advertise_address,
                chosen.peer_port,
                chosen.failure_domain,
            ),
            chosen,
            peers.Seal(secret.peer),
            following.follower,
            following.freshness,
            following.directory,
            following.hosts,
            self._policies.limiter,
            self._tables,
            self._clock,
        )
        self._sync = _subset.MemberSync(
            following.member,
            chosen.membership,
            self._policies.subset,
            following.directory,
            self._pool,
            self._tables,
            self._clock,
        )
        self._planning = _planning.Planning(
            chosen,
            following.directory,
            self._tables.of(systems.EndpointView),
            following.current,
        )
        authority = _authority.build(
            self.entry,
            chosen,
            following.client,
            self._platform,
            self._claims,
            following.directory,
            self._planning,
            self._pool,
            _following.PACT_LONGEST_S + chosen.duties.margin_s,
            following.may_remove,
            self._random,
        )
        self._duties = authority.runner
        _gauges.add_all(
            self._gauges,
            following,
            self._gate,
            self._pool,
            self._settling,
            authority,
        )

    def _build_app(self, secret: _secrets.Secrets) -> None:
        """Make the HTTP application."""
        following = self._following
        body_timeout_s = self._settings.http.body_timeout_s
        once = _once.OnceRunner(
            self._dispatcher,
            self._claims,
            _once.agent_resolver(self._pool, following.is_agent),
            self._tracing,
            self._wall,
        )
        serving = _serving.Serving(
            self._gate,
            self._dispatcher,
            once,
            following.current,
            self._tracing,
            _observer.MetricsObserver(self._metrics, following.demand),
            _serving.Clocks(self._clock, self._wall),
        )
        operator = _operator.OperatorRoutes(
            secret.operator_key_hash,
            secret.pepper,
            following.current,
            following.commit,
        )
        status = _status.StatusRoutes(
            following,
            self._exchange,
            self._gate,
            self._pool,
            self._duties,
            self._tables,
            self._metrics,
            self._gauges,
            self._journal,
            self._clock,
        )
        self._app = _http.new_app(
            "entry-" + self.entry.replace(".", "-"), self._settings.http
        )
        operator.install(self._app, body_timeout_s)
        status.install(self._app, operator, body_timeout_s)
        for path in ("/", "/<path:path>"):
            _http.add_route(
                self._app,
                path,
                _http.METHODS,
                serving.handle,
                body_timeout_s,
            )

    async def run(self) -> bool:
        """Serve until a signal asks to stop or another took over the name.

        Returns whether to go on under a new incarnation.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        chosen = self._settings
        self._server = await self._app.create_server(
            host=chosen.listen_address,
            port=chosen.http.port,
            return_asyncio_server=True,
        )
        await self._server.startup()
        await self._server.start_serving()
        self._start_loops()
        LOG.info("Serving.", entry=self.entry, port=chosen.http.port)
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
        chosen = self._settings
        following = self._following
        self._spawn(self._exchange.serve())
        self._spawn(self._keep_row())
        self._spawn(self._duties.run())
        for name, period_s, work in (
            (
                "configuration",
                _following.CONFIGURATION_POLL_S,
                following.poll_configuration,
            ),
            ("members", chosen.membership.read_s, self._poll_members),
            ("hosts", _following.HOSTS_READ_S, following.poll_hosts),
            ("exchange", chosen.membership.exchange_s, self._exchange.round),
            ("usage", chosen.usage.settle_s, self._settling.round),
            ("demand", _planning.WINDOW_S, self._observe_demand),
            ("tick", TICK_S, self._tick),
        ):
            self._spawn(_loops.every(name, period_s, work, self._random))

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_log_defect)
        self._tasks.append(task)

    async def _keep_row(self) -> None:
        await self._following.keep_row()
        self._stop.set()

    async def _poll_members(self) -> None:
        await self._following.poll_members()
        await self._sync.run()

    async def _observe_demand(self) -> None:
        """Look at the demand of all entries, where a planner's duty is held.

        The rows are read from the store: peers hand on news of members, and
        a renewal is none.
        """
        if not self._duties.held():
            return
        rows = await self._following.client.scan_all(
            membership.TABLE, membership.ENTRIES
        )
        members = [membership.decode(row) for row in rows]
        self._planning.observe(
            [m for m in members if isinstance(m, membership.EntryMember)],
            self._clock(),
        )

    async def _tick(self) -> None:
        self._pool.refresh()
        now_s = self._clock()
        self._policies.health.run(self._tables, now_s)
        for endpoint_id in self._policies.health.probes(self._tables, now_s):
            self._policies.health.observe(
                health.Observation(
                    endpoint_id, self._pool.answers(endpoint_id), probe=True
                ),
                now_s,
            )

    def _on_change(
        self,
        change: configuration.Change,
        current: configuration.Configuration,
    ) -> None:
        """Take one change of the configuration into the tables."""
        if isinstance(change, configuration.WithdrawKey):
            self._gate.revoke({change.key_id})
        elif isinstance(change, configuration.SetOrganisation):
            self._take_organisation(change.organisation)
            if not change.organisation.enabled:
                name = change.organisation.name
                keys = current.keys.values()
                self._gate.revoke(
                    {key.key_id for key in keys if key.organisation == name}
                )
        elif isinstance(change, configuration.SnapshotLoaded):
            self._gate.revoke(
                {key.key_id for key in current.keys.values() if key.withdrawn}
            )
            for organisation in current.organisations.values():
                self._take_organisation(organisation)

    def _take_organisation(self, row: configuration.Organisation) -> None:
        self._tables.of(systems.OrganisationView).put(_organisation_view(row))

    async def _drain(self) -> None:
        """Take nothing new, hand duties over and wait for what runs."""
        LOG.info("Shutting down.", in_flight=self._gate.in_flight)
        self._gate.closing = True
        until_s = self._clock() + self._settings.shutdown_bound_s
        await self._duties.stop()
        while self._gate.in_flight and not self._hurry:
            if self._clock() >= until_s:
                LOG.warning("Bound reached.", in_flight=self._gate.in_flight)
                break
            await asyncio.sleep(DRAIN_LOOK_S)

    async def _close(self) -> None:
        self._server.close()
        await self._server.wait_closed()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._settling.close()
        await self._following.leave()
        self._exchange.close()
        await self._pool.close()
        self._tracing.close()
        LOG.info("Ended.")


def _organisation_view(
    row: configuration.Organisation,
) -> systems.OrganisationView:
    unlimited = float("inf")
    return systems.OrganisationView(
        organisation=row.name,
        weight=row.weight,
        requests_per_s=row.requests_per_s or unlimited,
        tokens_per_s=row.tokens_per_s or unlimited,
        concurrency=row.concurrency or unlimited,
    )


def _log_defect(task: asyncio.Task[None]) -> None:
    """Log work that ended on a defect: it is missing from now on."""
    if not task.cancelled() and task.exception() is not None:
        LOG.error("Work ended on a defect.", exc_info=task.exception())


def run(chosen: settings.EntrySettings) -> int:
    """Run an entry until a signal asks to stop; return the exit code."""
    import uvloop

    secret = _secrets.read(chosen.secrets)
    telemetry.configure(chosen.log.level)

    async def main() -> bool:
        async with aiohttp.ClientSession() as session:
            return await EntryProcess(chosen, secret, session).run()

    if uvloop.run(main()):
        # The HTTP library sets itself up once a process, so this one begins
        # again as a whole; it stays the same process to the platform.
        LOG.warning("Starting anew under another incarnation.")
        os.execv(sys.executable, sys.orig_argv)
    return 0

"""Puts an entry together and runs it."""

import asyncio
import random
import signal
import time
import typing

import aiohttp
import attrs

from .. import adapters
from .. import claims
from .. import configuration
from .. import errors
from .. import keys
from .. import link
from .. import membership
from .. import peers
from .. import settings
from .. import store
from .. import systems
from .. import telemetry
from ..systems import subsets
from . import _dispatch
from . import _exchange
from . import _gate
from . import _http
from . import _loops
from . import _observer
from . import _once
from . import _operator
from . import _policies
from . import _pool
from . import _secrets
from . import _serving
from . import _status

LOG = telemetry.logger("entry")
#: Time between two looks at links and circuits.
TICK_S = 0.1
#: Time between two polls of the configuration by an entry that reads it.
CONFIGURATION_POLL_S = 1.0
#: Time between two reads of the host list.
HOSTS_READ_S = 3.0
#: Longest time that an entry goes on without the store at all.
PACT_LONGEST_S = 3600.0
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
        self.entry = membership.new_incarnation(
            chosen.host_id, self._wall(), self._random
        )
        self._platform = adapters.connect(session, chosen.platform)
        self._metrics = telemetry.Metrics()
        self._tracing = telemetry.Tracing(chosen.trace, "entry")
        self._tables = systems.Tables()
        self._build_state(secret)
        self._build_path(secret)
        self._server: typing.Any = None
        self._stop = asyncio.Event()
        self._hurry = False
        self._tasks: list[asyncio.Task[None]] = []

    def _build_state(self, secret: _secrets.Secrets) -> None:
        """Make what follows the platform's tables."""
        chosen = self._settings
        self._store = store.StoreClient(
            self._platform.table,
            chosen.store.call_timeout_s,
            chosen.store.call_rate_per_s,
        )
        self._follower = configuration.Follower(
            self._store, self._platform.objects
        )
        self._committer = configuration.Committer(
            self._store, self._platform.objects, self._follower
        )
        self._freshness = keys.Freshness(
            own=self.entry,
            bound_s=chosen.key_stale_bound_s,
            pact_longest_s=PACT_LONGEST_S,
            call_longest_s=self._store.longest_s,
        )
        self._member = membership.EntryMember(
            incarnation=self.entry,
            host_id=chosen.host_id,
            address=chosen.advertise_address,
            peer_port=chosen.peer_port,
            failure_domain=chosen.failure_domain,
            region=chosen.region,
            renew_s=chosen.membership.renew_s,
        )
        self._registration = membership.Registration(self._store, self._member)
        self._directory = membership.MemberDirectory(
            self._store, self.entry, chosen.membership.read_s
        )
        self._key_directory = keys.KeyDirectory(
            lambda: self._follower.current, secret.pepper
        )
        self._follower.listen(self._on_change)

    def _build_path(self, secret: _secrets.Secrets) -> None:
        """Make what requests pass through."""
        chosen = self._settings
        self._policies = _policies.build(
            chosen, self.entry, self._random.getrandbits(32)
        )
        numbers = _Numbers(self.entry)
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
            lambda: self._follower.current,
            self._key_directory,
            self._freshness,
            self._policies,
            self._tables,
        )
        self._dispatcher = _dispatch.Dispatcher(
            self._pool,
            self._tables,
            self._policies,
            numbers.next,
            self._clock,
        )
        self._exchange = _exchange.Exchange(
            peers.Introduction(
                self.entry,
                chosen.advertise_address,
                chosen.peer_port,
                chosen.failure_domain,
            ),
            chosen,
            peers.Seal(secret.peer),
            self._follower,
            self._freshness,
            self._directory,
            self._policies.limiter,
            self._tables,
            self._clock,
        )
        self._build_app(secret)

    def _build_app(self, secret: _secrets.Secrets) -> None:
        """Make the HTTP application."""
        chosen = self._settings
        once = _once.OnceRunner(
            self._dispatcher,
            claims.Claims(self._store, self._platform.objects),
            _once.agent_resolver(self._pool, self._is_member),
            self._wall,
        )
        serving = _serving.Serving(
            self._gate,
            self._dispatcher,
            once,
            lambda: self._follower.current,
            self._tracing,
            _observer.MetricsObserver(self._metrics),
            _serving.Clocks(self._clock, self._wall),
        )
        operator = _operator.OperatorRoutes(
            secret.operator_key_hash,
            secret.pepper,
            lambda: self._follower.current,
            self._commit,
        )
        status = _status.StatusRoutes(
            self._member,
            self._exchange,
            self._freshness,
            self._follower,
            self._directory,
            self._gate,
            self._pool,
            self._tables,
            self._store,
            self._metrics,
            self._clock,
        )
        self._app = _http.new_app(
            "entry-" + self.entry.replace(".", "-"), chosen.http
        )
        operator.install(self._app, chosen.http.body_timeout_s)
        status.install(self._app, operator, chosen.http.body_timeout_s)
        for path in ("/", "/<path:path>"):
            _http.add_route(
                self._app,
                path,
                _http.METHODS,
                serving.handle,
                chosen.http.body_timeout_s,
            )

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        stop = self._stop
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal, stop)
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
            await stop.wait()
            await self._drain()
        finally:
            await self._close()

    def _on_signal(self, stop: asyncio.Event) -> None:
        """Stop; a second signal does not wait for what runs."""
        if stop.is_set():
            self._hurry = True
        stop.set()

    def _start_loops(self) -> None:
        chosen = self._settings
        self._spawn(self._exchange.serve())
        self._spawn(self._join())
        for name, period_s, work in (
            ("configuration", CONFIGURATION_POLL_S, self._poll_configuration),
            ("members", chosen.membership.read_s, self._poll_members),
            ("hosts", HOSTS_READ_S, self._poll_hosts),
            ("exchange", chosen.membership.exchange_s, self._exchange.round),
            ("tick", TICK_S, self._tick),
        ):
            self._spawn(_loops.every(name, period_s, work, self._random))

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_end_on_error)
        self._tasks.append(task)

    async def _join(self) -> None:
        """Write the own row as soon as the store can be reached."""
        joined = False
        while True:
            try:
                if not joined:
                    sent_s = await self._registration.join(self._wall())
                    await self._directory.read_all(self._clock())
                    self._freshness.joined(
                        self._directory.present(), self._clock()
                    )
                    joined = True
                else:
                    sent_s = await self._registration.renew(self._wall())
                self._freshness.renewed(sent_s)
            except membership.RowTaken:
                # Its claims and records go on under other names: start anew.
                LOG.error("The own row was taken; ending.")
                self._stop.set()
                return
            except (errors.StoreUnavailable, errors.OutcomeUnknown) as error:
                LOG.warning("Row was not renewed.", error=str(error))
            entries = len(self._directory.entries())
            await asyncio.sleep(self._registration.renewal_s(entries))

    async def _poll_configuration(self) -> None:
        now_s = self._clock()
        if not self._reads_head() and self._freshness.is_confirmed(
            now_s + CONFIGURATION_POLL_S
        ):
            return
        await self._follower.poll(now_s)
        self._freshness.applied(self._follower.current.revision)
        self._freshness.confirmed(now_s)

    def _reads_head(self) -> bool:
        """Whether this entry is one of the few that read the head."""
        own = self._settings.failure_domain
        peers_here = sorted(
            member.incarnation
            for member in self._directory.entries()
            if member.failure_domain == own
        )
        return (
            self.entry in peers_here[:HEAD_READERS_PER_DOMAIN]
            or not peers_here
        )

    async def _poll_members(self) -> None:
        now_s = self._clock()
        await self._directory.poll(now_s)
        now_s = self._clock()
        self._freshness.members(
            self._directory.present(),
            self._directory.young(PACT_LONGEST_S, now_s),
            now_s,
        )
        self._sync_entries(now_s)
        self._pool.sync(self._subset(now_s))

    async def _poll_hosts(self) -> None:
        hosts = await self._platform.hosts.hosts(
            self._settings.store.call_timeout_s
        )
        self._directory.take_hosts(hosts)

    def _sync_entries(self, now_s: float) -> None:
        """Bring the table of entries in line with the members."""
        table = self._tables.of(systems.EntryView)
        members = {m.incarnation: m for m in self._directory.entries()}
        members.setdefault(self.entry, self._member)
        for view in list(table):
            if view.entry not in members:
                table.remove(view.entry)
        for incarnation, member in members.items():
            known = table.get(incarnation)
            if known is None:
                known = systems.EntryView(
                    incarnation, member.failure_domain, now_s
                )
                table.put(known)
            known.live = member.state is membership.MemberState.LIVE

    def _subset(self, now_s: float) -> list[_pool.AgentPlace]:
        """Return the agents that this entry keeps links to."""
        agents = {m.endpoint_id: m for m in self._directory.agents()}
        entries = {
            subsets.EntryMember(m.host_id, m.failure_domain)
            for m in self._directory.entries()
        }
        own = subsets.EntryMember(
            self._settings.host_id, self._settings.failure_domain
        )
        chosen = self._policies.subset.choose(
            own,
            sorted(entries | {own}, key=lambda member: member.key),
            [
                subsets.EndpointMember(
                    m.endpoint_id, m.failure_domain, m.service
                )
                for m in agents.values()
            ],
            self._settings.membership.subset_size,
            now_s,
        )
        return [_place(agents[endpoint.key]) for endpoint in chosen]

    async def _tick(self) -> None:
        self._pool.refresh()
        self._policies.health.run(self._tables, self._clock())

    def _is_member(self, endpoint_id: str) -> bool:
        return any(
            member.endpoint_id == endpoint_id
            for member in self._directory.agents()
        )

    def _on_change(
        self,
        change: configuration.Change,
        current: configuration.Configuration,
    ) -> None:
        """Take one change of the configuration into the tables."""
        if isinstance(change, configuration.WithdrawKey):
            self._gate.revoke({change.key_id})
        table = self._tables.of(systems.OrganisationView)
        for row in current.organisations.values():
            table.put(_organisation_view(row))

    async def _commit(self, change: configuration.Change, author: str) -> int:
        """Commit a change for an operator."""
        now_s = self._clock()
        self._freshness.begin_commit(now_s)
        known = True
        try:
            revision = await self._committer.commit(
                change, author, self._wall()
            )
        except errors.OutcomeUnknown:
            known = False
            raise
        finally:
            self._freshness.end_commit(known, self._clock())
        self._freshness.applied(revision)
        LOG.info("Change committed.", revision=revision, author=author)
        return revision

    async def _drain(self) -> None:
        """Take nothing new and wait for what runs."""
        LOG.info("Shutting down.", in_flight=self._gate.in_flight)
        self._gate.closing = True
        until_s = self._clock() + self._settings.shutdown_bound_s
        while self._gate.in_flight and not self._hurry:
            if self._clock() >= until_s:
                LOG.warning("Bound reached.", in_flight=self._gate.in_flight)
                break
            await asyncio.sleep(DRAIN_LOOK_S)

    async def _close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            await self._registration.leave()
        except errors.BilberrydealError as error:
            LOG.warning("Row was not removed.", error=str(error))
        self._exchange.close()
        await self._pool.close()
        self._tracing.close()
        LOG.info("Ended.")


#: Entries of a failure domain that read the head of the configuration.
HEAD_READERS_PER_DOMAIN = 3


def _place(member: membership.AgentMember) -> _pool.AgentPlace:
    return _pool.AgentPlace(
        endpoint_id=member.endpoint_id,
        address=member.address,
        control_port=member.control_port,
        failure_domain=member.failure_domain,
        service=member.service,
        leaving=member.state is membership.MemberState.LEAVING,
    )


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


def _end_on_error(task: asyncio.Task[None]) -> None:
    """Log work that ended on a defect: it is missing from now on."""
    if not task.cancelled() and task.exception() is not None:
        LOG.error("Work ended on a defect.", exc_info=task.exception())


def run(chosen: settings.EntrySettings) -> int:
    """Run an entry until a signal asks to stop; return the exit code."""
    import uvloop

    secret = _secrets.read(chosen.secrets)
    telemetry.configure(chosen.log.level)

    async def main() -> None:
        async with aiohttp.ClientSession() as session:
            await EntryProcess(chosen, secret, session).run()

    uvloop.run(main())
    return 0

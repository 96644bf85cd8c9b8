"""Runs a gateway from start to end."""

import asyncio
import collections.abc
import os
import pathlib
import random
import signal
import time
import typing

from .. import errors
from .. import http1
from .. import leases
from .. import periodic
from .. import platform
from .. import settings
from .. import store
from .. import telemetry
from ..systems import health
from ..systems import placement
from ..systems import retries
from . import _clock
from . import _exchange
from . import _following
from . import _gate
from . import _knowledge
from . import _leaving
from . import _metrics
from . import _plain
from . import _reloading
from . import _repeating
from . import _reporting
from . import _roles
from . import _sending
from . import _serving
from . import _stream
from . import _usage

LOG = telemetry.logger("gateway")
#: Time between two looks at idle connections and circuits.
SWEEP_S = 0.1
#: Time between two writes of the own row.
ROW_S = 0.4
#: Rows that all gateways together write a second at most.
ROWS_PER_S = 80.0
#: Time between two readings of all gateways' rows.
MEMBERS_S = 4.0
#: Time between two steps of the lease, held or not.
LEASE_HELD_S = 1.2
LEASE_WATCH_S = 2.0
#: Gateways that watch the lease closely; all others look seldom.
LEASE_CANDIDATES = 3
LEASE_REST_S = 8.0
#: Time between two looks at windows that ended.
REPORT_S = 0.8
#: Time between two looks at the settings file.
SETTINGS_S = 2.0
#: Time between two looks at the roles of engines.
ROLES_S = 0.5
#: Time that the lease lasts beyond the shortest allowed, in seconds.
LEASE_BEYOND_S = 1.5
LEASE_MARGIN_S = 0.5
#: Longest time that a call made under the lease takes effect afterwards.
LEASE_CALL_S = 1.0
#: Longest wait for one call of the store.
STORE_TIMEOUT_S = 1.0
#: Longest wait for one write of the own row.
ROW_TIMEOUT_S = 0.5
#: Most calls a second to the store beside the feeds.
STORE_RATE_PER_S = 12.0
#: Requests read or served at once.
REQUESTS_LIMIT = 1500
#: Limits that hold until the first configuration.
FIRST_LIMITS = http1.ServerLimits(
    header_bytes=16_384,
    body_bytes=1_048_576,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class Gateway:
    """One gateway from start to end."""

    def __init__(
        self, chosen: settings.GatewaySettings, path: pathlib.Path
    ) -> None:
        self._settings = chosen
        self._watch = _reloading.SettingsWatch(path, chosen, self._apply)
        self._stop = asyncio.Event()
        self._leaving = False
        self._candidate = True
        self._tasks: set[asyncio.Task[None]] = set()
        clock = time.monotonic
        self._clock = clock
        rng = random.SystemRandom()
        self._store = platform.PlatformStore(*_split(chosen.platform.store))
        self._client = store.StoreClient(
            self._store,
            STORE_TIMEOUT_S,
            STORE_RATE_PER_S,
            clock=_clock.boot_s,
        )
        self._contact = _following.Contact(answered_s=clock())
        self._knowledge = _knowledge.Knowledge(
            health.HEALTH.get("outlier")(rng.getrandbits(32))
        )
        self._true = _clock.TrueClock(lambda: self._store.clock)
        self._begun = _usage.BegunCounter(
            self._true, chosen.bounds.usage_window_s
        )
        incarnation = _usage.incarnation_of(
            chosen.host_id, rng.getrandbits(48)
        )
        self._rows = _usage.UsageRows(
            store.StoreClient(
                self._store,
                ROW_TIMEOUT_S,
                STORE_RATE_PER_S,
                clock=_clock.boot_s,
            ),
            incarnation,
            chosen.listen.peers,
            self._begun,
            self._true,
        )
        self._lease = leases.Lease(
            self._client,
            _reporting.DUTY,
            incarnation,
            leases.LeaseBounds(
                ttl_s=chosen.bounds.lease_ms / 1000 + LEASE_BEYOND_S,
                margin_s=LEASE_MARGIN_S,
                call_longest_s=LEASE_CALL_S,
            ),
        )
        self._usage_api = platform.UsageApi(*_split(chosen.platform.usage))
        self._budget = retries.WindowBudget(_budget_bounds(chosen))
        self._reporter = _reporting.Reporter(
            self._client,
            self._lease,
            self._rows,
            self._usage_api,
            self._true,
            chosen.host_id,
            chosen.bounds.usage_window_s,
            chosen.bounds.usage_due_s,
        )
        self._roles = _roles.RoleKeeper(
            self._client, self._knowledge, self._lease, chosen.host_id
        )
        self._exchange = _exchange.Exchange(
            self._knowledge, incarnation, clock
        )
        self._metrics = _metrics.GatewayMetrics()
        self._endpoints = _following.EndpointsTaker(
            self._knowledge, self._contact, clock
        )
        self._callers = http1.HttpServer(
            self._serving(rng).handle, self._limits, clock
        )
        self._readiness = http1.HttpServer(
            self._ready, lambda: FIRST_LIMITS, clock
        )
        self._metrics_server = http1.HttpServer(
            self._scrape, lambda: FIRST_LIMITS, clock
        )

    def _serving(self, rng: random.Random) -> _serving.Serving:
        chosen = self._settings
        repeater = _repeating.Repeater(
            self._knowledge, self._budget, self._clock
        )
        sender = _sending.Sender(self._knowledge, repeater, self._clock)
        return _serving.Serving(
            gate=_gate.Gate(self._knowledge, rng),
            knowledge=self._knowledge,
            plain=_plain.PlainServer(
                self._knowledge,
                sender,
                repeater,
                self._begun,
                chosen.failure_domain,
                self._clock,
            ),
            stream=_stream.StreamServer(
                self._knowledge,
                sender,
                repeater,
                self._begun,
                placement.PLACERS.get(chosen.placer)(),
                chosen.failure_domain,
                self._clock,
            ),
            repeater=repeater,
            metrics=self._metrics,
            contact=self._contact,
            clock=self._clock,
        )

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        listen = self._settings.listen
        await self._callers.listen(*_split(listen.callers))
        await self._readiness.listen(*_split(listen.readiness))
        await self._metrics_server.listen(*_split(listen.metrics))
        await self._exchange.listen(*_split(listen.peers))
        self._start_tasks()
        LOG.info(
            "Started.",
            host=self._settings.host_id,
            failure_domain=self._settings.failure_domain,
            process=os.getpid(),
        )
        await self._stop.wait()
        await self._leave()
        LOG.info("Stopped.")

    def _reload(self) -> None:
        LOG.info("Asked to reload.")
        self._watch.look("signal")

    async def _look_at_settings(self) -> None:
        self._watch.look("poll")

    def _apply(self, chosen: settings.GatewaySettings) -> None:
        """Take settings that can change while the process runs."""
        self._settings = chosen
        self._budget.bounds = _budget_bounds(chosen)
        self._store.move(*_split(chosen.platform.store))
        self._usage_api.move(*_split(chosen.platform.usage))

    def _start_tasks(self) -> None:
        configuration = _following.TableFollower(
            self._store,
            platform.CONFIGURATION_TABLE,
            self._contact,
            self._clock,
        )
        endpoints = _following.TableFollower(
            self._store, platform.ENDPOINTS_TABLE, self._contact, self._clock
        )
        taker = _following.ConfigurationTaker(self._knowledge)
        self._spawn(
            configuration.run(taker.take, 0.0, _following.CONFIGURATION_WAIT_S)
        )
        self._spawn(
            endpoints.run(
                self._endpoints.take,
                _following.ENDPOINTS_PAUSE_S,
                _following.ENDPOINTS_WAIT_S,
            )
        )
        self._spawn(self._exchange.run())
        self._spawn(periodic.every("sweep", lambda: SWEEP_S, self._sweep))
        self._spawn(periodic.every("row", self._row_pause_s, self._rows.write))
        self._spawn(
            periodic.every("members", lambda: MEMBERS_S, self._members)
        )
        self._spawn(periodic.every("lease", self._lease_pause_s, self._tick))
        self._spawn(
            periodic.every(
                "settings", lambda: SETTINGS_S, self._look_at_settings
            )
        )
        self._spawn(
            periodic.every("roles", lambda: ROLES_S, self._roles.round)
        )
        self._spawn(
            periodic.every("reports", lambda: REPORT_S, self._reporter.round)
        )

    def _spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(_log_defect)

    async def _sweep(self) -> None:
        now_s = self._clock()
        for server in (self._callers, self._readiness, self._metrics_server):
            server.sweep(now_s)
        self._knowledge.sweep(now_s)
        self._endpoints.sweep(now_s)

    async def _members(self) -> None:
        rows = await self._rows.read()
        members = self._rows.members(rows)
        self._knowledge.set_members(members.count)
        self._candidate = members.place < LEASE_CANDIDATES
        self._exchange.peers = tuple(map(_split, members.peers))

    def _row_pause_s(self) -> float:
        return max(ROW_S, self._knowledge.members / ROWS_PER_S)

    def _lease_pause_s(self) -> float:
        if self._lease.held(_clock.boot_s()):
            return LEASE_HELD_S
        return LEASE_WATCH_S if self._candidate else LEASE_REST_S

    async def _tick(self) -> None:
        held = self._lease.held(_clock.boot_s())
        if await self._lease.tick() != held:
            LOG.info("Lease lost." if held else "Lease taken.", duty="usage")

    def _limits(self) -> http1.ServerLimits:
        configuration = self._knowledge.configuration
        if configuration is None:
            return FIRST_LIMITS
        limits = configuration.limits
        return http1.ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _ready(
        self, request: http1.Request, responder: http1.Responder
    ) -> None:
        ready = (
            request.path == platform.READY_PATH
            and not self._leaving
            and self._knowledge.configuration is not None
            and self._knowledge.endpoints_read
        )
        responder.send(200 if ready else 503, [], b"")

    async def _scrape(
        self, _request: http1.Request, responder: http1.Responder
    ) -> None:
        content = [(b"content-type", b"text/plain; version=0.0.4")]
        responder.send(200, content, self._metrics.render(self._state()))

    def _state(self) -> _metrics.State:
        configuration = self._knowledge.configuration
        return _metrics.State(
            configuration_version=(
                configuration.version if configuration else 0
            ),
            store_age_s=self._contact.age_s(self._clock()),
            endpoints=len(self._knowledge.endpoints),
            gateways=self._knowledge.members,
            requests_open=self._callers.requests_open,
            lease_held=self._lease.held(_clock.boot_s()),
            store_calls=self._store.calls,
        )

    async def _leave(self) -> None:
        """Send callers elsewhere and wait for what runs."""
        self._leaving = True
        times = _leaving.leaving_times(self._settings.bounds.grace_s)
        await _leaving.leave(self._callers, times)
        try:
            await self._rows.write(final=True)
        except errors.BilberrydealError as error:
            LOG.warning("Last counts not written.", reason=str(error))
        for task in self._tasks:
            task.cancel()


def _budget_bounds(chosen: settings.GatewaySettings) -> retries.WindowBounds:
    return retries.WindowBounds(
        window_s=chosen.bounds.extra_sends_window_s,
        ratio=chosen.bounds.extra_sends_ratio,
        slack=chosen.bounds.extra_sends_slack,
    )


def _split(address: str) -> tuple[str, int]:
    host, _colon, port = address.rpartition(":")
    return host, int(port)


def _log_defect(task: asyncio.Task[None]) -> None:
    """Log work that ended on a defect: it is missing from now on."""
    if not task.cancelled() and task.exception() is not None:
        LOG.error("Work ended on a defect.", exc_info=task.exception())


def run(chosen: settings.GatewaySettings, path: pathlib.Path) -> int:
    """Run a gateway until a signal asks to stop; return the exit code."""
    import uvloop

    telemetry.configure(chosen.log.level, telemetry.BoundedStream(1))

    async def main() -> None:
        await Gateway(chosen, path).run()

    uvloop.run(main())
    return 0

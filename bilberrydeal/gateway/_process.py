"""Runs a gateway from start to end."""

import asyncio
import collections.abc
import os
import pathlib
import random
import signal
import time
import typing

from .. import http1
from .. import periodic
from .. import platform
from .. import settings
from .. import telemetry
from ..systems import health
from ..systems import placement
from ..systems import retries
from . import _datagrams
from . import _duties
from . import _exchange
from . import _following
from . import _gate
from . import _knowledge
from . import _leaving
from . import _metrics
from . import _plain
from . import _reloading
from . import _repeating
from . import _sending
from . import _serving
from . import _stream
from . import _uplink

LOG = telemetry.logger("gateway")
#: Time between two looks at idle connections and circuits.
SWEEP_S = 0.1
#: Time between two looks at the settings file.
SETTINGS_S = 2.0
#: Share of the open files that callers' connections may take.
CALLERS_FILES_SHARE = 0.6
#: Share of the memory that bodies under way may take.
BODIES_MEMORY_SHARE = 0.2
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
        self._tasks: set[asyncio.Task[None]] = set()
        clock = time.monotonic
        self._clock = clock
        rng = random.SystemRandom()
        self._store = platform.PlatformStore(
            *settings.split_address(chosen.platform.store)
        )
        self._contact = _following.Contact(answered_s=clock())
        self._tracing = telemetry.Tracing(chosen.trace, "gateway")
        self._uplink = _uplink.Uplink(chosen.uplink_mbps, clock)
        self._knowledge = _knowledge.Knowledge(
            health.HEALTH.get("outlier")(rng.getrandbits(32))
        )
        self._datagrams = _datagrams.Datagrams()
        self._duties = _duties.Duties(
            chosen, self._store, self._knowledge, self._datagrams, rng
        )
        self._budget = retries.WindowBudget(_budget_bounds(chosen))
        self._exchange = _exchange.LoadExchange(
            self._datagrams,
            self._knowledge,
            self._duties.incarnation,
            lambda: self._duties.peers,
            self._uplink,
            clock,
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
        sender = _sending.Sender(
            self._knowledge,
            repeater,
            self._uplink,
            self._tracing,
            self._clock,
        )
        return _serving.Serving(
            gate=_gate.Gate(self._knowledge, rng),
            knowledge=self._knowledge,
            plain=_plain.PlainServer(
                self._knowledge,
                sender,
                repeater,
                self._duties.begun,
                chosen.failure_domain,
                self._clock,
            ),
            stream=_stream.StreamServer(
                self._knowledge,
                sender,
                repeater,
                self._duties.begun,
                placement.PLACERS.get(chosen.placer)(),
                self._uplink,
                chosen.failure_domain,
                self._clock,
            ),
            repeater=repeater,
            metrics=self._metrics,
            tracing=self._tracing,
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
        await self._callers.listen(*settings.split_address(listen.callers))
        await self._readiness.listen(*settings.split_address(listen.readiness))
        await self._metrics_server.listen(
            *settings.split_address(listen.metrics)
        )
        await self._datagrams.listen(*settings.split_address(listen.peers))
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
        self._uplink.set_rate(chosen.uplink_mbps)
        self._store.move(*settings.split_address(chosen.platform.store))
        self._duties.usage.move(*settings.split_address(chosen.platform.usage))

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
        self._spawn(
            periodic.every(
                "settings", lambda: SETTINGS_S, self._look_at_settings
            )
        )
        for loop in self._duties.loops():
            self._spawn(loop)

    def _spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(periodic.log_defect)

    async def _sweep(self) -> None:
        now_s = self._clock()
        for server in (self._callers, self._readiness, self._metrics_server):
            server.sweep(now_s)
        self._knowledge.sweep(now_s)
        self._endpoints.sweep(now_s)

    def _limits(self) -> http1.ServerLimits:
        configuration = self._knowledge.configuration
        if configuration is None:
            return FIRST_LIMITS
        limits = configuration.limits
        chosen = self._settings
        return http1.ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            connections=int(chosen.open_files_limit * CALLERS_FILES_SHARE),
            all_body_bytes=int(
                chosen.memory_limit_mb * 1e6 * BODIES_MEMORY_SHARE
            ),
        )

    async def _ready(
        self, request: http1.Request, responder: http1.Responder
    ) -> None:
        ready = (
            request.path == platform.READY_PATH
            and not self._callers.leaving
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
            lease_held=self._duties.lease_held,
            store_calls=self._store.calls,
        )

    async def _leave(self) -> None:
        """Send callers elsewhere and wait for what runs."""
        times = _leaving.leaving_times(self._settings.bounds.grace_s)
        await _leaving.leave(self._callers, times)
        await self._duties.leave()
        for task in self._tasks:
            task.cancel()
        self._tracing.close()


def _budget_bounds(chosen: settings.GatewaySettings) -> retries.WindowBounds:
    return retries.WindowBounds(
        window_s=chosen.bounds.extra_sends_window_s,
        ratio=chosen.bounds.extra_sends_ratio,
        slack=chosen.bounds.extra_sends_slack,
    )


def run(chosen: settings.GatewaySettings, path: pathlib.Path) -> int:
    """Run a gateway until a signal asks to stop; return the exit code."""
    import uvloop

    telemetry.configure(chosen.log.level, telemetry.BoundedStream(1))

    async def main() -> None:
        await Gateway(chosen, path).run()

    uvloop.run(main())
    return 0

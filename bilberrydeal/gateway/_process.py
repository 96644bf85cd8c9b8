"""Runs a gateway process from startup to shutdown."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import time
import typing

import attrs

from .. import decoding
from .. import http1
from .. import periodic
from .. import platform
from .. import settings
from .. import telemetry
from ..systems import quotas as quota_systems
from . import _caller_limits
from . import _parts
from . import _settings_watcher
from . import _shutdown
from . import cluster_state
from . import core
from . import duties
from . import origins
from . import peer_exchange
from . import sending

LOG = telemetry.logger("gateway")
#: Interval between sweeps of idle connections and circuits.
SWEEP_INTERVAL_S = 0.1
#: Interval between checks of the settings file.
SETTINGS_INTERVAL_S = 2.0
#: Limits of the readiness and the metrics server, whose requests have no body
#: and come from few callers.
INTERNAL_LIMITS = attrs.evolve(
    _caller_limits.INITIAL_LIMITS,
    body_bytes=65_536,
    connections=64,
    memory_bytes=2_000_000,
)


class _Runnable(typing.Protocol):
    """A part of a gateway that is run periodically."""

    async def run_once(self) -> None:
        """Do the work that is due."""


@attrs.frozen
class _PeriodicWork:
    """Work that is repeated until the process ends."""

    name: str
    #: Returns the pause before the next round, in seconds.
    pause_s: collections.abc.Callable[[], float]
    once: periodic.WorkFunction


def _work(name: str, pause_s: float, part: _Runnable) -> _PeriodicWork:
    return _PeriodicWork(name, lambda: pause_s, part.run_once)


class Gateway:
    """A gateway process: its servers, its state and its periodic tasks."""

    def __init__(
        self, gateway_settings: settings.GatewaySettings, path: pathlib.Path
    ) -> None:
        self._settings = gateway_settings
        self._settings_watcher = _settings_watcher.SettingsWatcher(
            path, gateway_settings, self._apply_settings
        )
        self._stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._clock = time.monotonic
        self._parts = _parts.Parts(gateway_settings, self._clock)
        self._limits = _caller_limits.CallerLimits()
        self._caller_server = http1.HttpServer(
            self._parts.request_handler.handle,
            self._caller_limits,
            self._clock,
        )
        self._readiness_server = http1.HttpServer(
            self._handle_readiness, lambda: INTERNAL_LIMITS, self._clock
        )
        self._metrics_server = http1.HttpServer(
            self._handle_metrics, lambda: INTERNAL_LIMITS, self._clock
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        listen = self._settings.listen
        await self._caller_server.listen(
            *decoding.split_address(listen.callers)
        )
        await self._readiness_server.listen(
            *decoding.split_address(listen.readiness)
        )
        await self._metrics_server.listen(
            *decoding.split_address(listen.metrics)
        )
        await self._parts.datagrams.listen(
            *decoding.split_address(listen.peers)
        )
        self._start_tasks()
        LOG.info(
            "Gateway started.",
            host=self._settings.host_id,
            failure_domain=self._settings.failure_domain,
            process=os.getpid(),
        )
        await self._stop.wait()
        await self._shut_down()
        LOG.info("Gateway stopped.")

    def _reload(self) -> None:
        LOG.info("Settings reload requested.")
        self._settings_watcher.check("signal")

    async def _check_settings(self) -> None:
        self._settings_watcher.check("poll")

    def _apply_settings(
        self, gateway_settings: settings.GatewaySettings
    ) -> None:
        """Apply the settings that can change at run time."""
        self._settings = gateway_settings
        self._parts.apply_settings(gateway_settings)

    def _start_tasks(self) -> None:
        apply_limit_s = self._settings.bounds.apply_limit_s
        self._parts.hints.follow(
            platform.CONFIGURATION_TABLE,
            self._parts.cluster.configuration_freshness,
        )
        self._parts.hints.follow(
            platform.ENDPOINTS_TABLE,
            self._parts.cluster.endpoints_freshness,
        )
        configuration = cluster_state.TableFollower(
            self._parts.store,
            platform.CONFIGURATION_TABLE,
            self._parts.connectivity,
            self._parts.hints,
            cluster_state.configuration_times(apply_limit_s),
            self._clock,
        )
        endpoints = cluster_state.TableFollower(
            self._parts.store,
            platform.ENDPOINTS_TABLE,
            self._parts.connectivity,
            self._parts.hints,
            cluster_state.endpoints_times(apply_limit_s),
            self._clock,
        )
        updater = cluster_state.ConfigurationUpdater(
            self._parts.cluster, self._clock
        )
        self._spawn(
            periodic.keep_running(
                "configuration",
                lambda: configuration.run(updater.apply),
            )
        )
        self._spawn(
            periodic.keep_running(
                "endpoints",
                lambda: endpoints.run(self._parts.endpoint_updater.apply),
            )
        )
        self._spawn(
            periodic.keep_running("loads", self._parts.load_exchange.run)
        )
        for work in self._periodic_work():
            self._spawn(
                periodic.run_periodically(work.name, work.pause_s, work.once)
            )
        for loop in self._parts.coordination.loops():
            self._spawn(loop)

    def _periodic_work(self) -> list[_PeriodicWork]:
        quarantine_rows = self._parts.coordination.quarantine_rows(
            self._parts.quarantine, self._parts.connectivity, self._clock
        )
        return [
            _work("hints", cluster_state.HINT_INTERVAL_S, self._parts.hints),
            _work(
                "limits",
                peer_exchange.LIMIT_BROADCAST_INTERVAL_S,
                self._parts.limit_broadcast,
            ),
            _work("quotas", quota_systems.TICK_INTERVAL_S, self._parts.quotas),
            _work(
                "capability",
                peer_exchange.CAPABILITY_INTERVAL_S,
                self._parts.capability_broadcast,
            ),
            _work(
                "quarantine",
                sending.QUARANTINE_INTERVAL_S,
                self._parts.quarantine,
            ),
            _work(
                "quarantine rows",
                duties.QUARANTINE_ROWS_INTERVAL_S,
                quarantine_rows,
            ),
            _PeriodicWork(
                "versions",
                lambda: origins.VERSIONS_INTERVAL_S,
                self._parts.origins.rows.write_versions,
            ),
            _PeriodicWork(
                "origins",
                self._parts.origins.rows.pause_s,
                self._parts.origins.run_once,
            ),
            _PeriodicWork(
                "begun streams",
                lambda: 0.0,
                self._parts.origins.rows.write_begun,
            ),
            _PeriodicWork("sweep", lambda: SWEEP_INTERVAL_S, self._sweep),
            _PeriodicWork(
                "settings", lambda: SETTINGS_INTERVAL_S, self._check_settings
            ),
        ]

    def _spawn(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(periodic.log_task_failure)

    async def _sweep(self) -> None:
        now_s = self._clock()
        for server in (
            self._caller_server,
            self._readiness_server,
            self._metrics_server,
        ):
            server.enforce_timeouts(now_s)
        self._parts.cluster.set_clock_offset(
            self._parts.coordination.clock_offset_s(now_s)
        )
        self._parts.cluster.sweep(now_s)
        self._parts.endpoint_updater.sweep(now_s)

    def _caller_limits(self) -> http1.ServerLimits:
        return self._limits.current(
            self._parts.cluster.configuration, self._settings
        )

    async def _handle_readiness(
        self, request: http1.Request, responder: http1.Responder
    ) -> None:
        ready = (
            request.path == platform.READY_PATH
            and not self._caller_server.draining
            and self._parts.cluster.configuration is not None
            and self._parts.cluster.endpoints_loaded
        )
        responder.send(200 if ready else 503, [], b"")

    async def _handle_metrics(
        self, _request: http1.Request, responder: http1.Responder
    ) -> None:
        content = [(b"content-type", b"text/plain; version=0.0.4")]
        responder.send(
            200, content, self._parts.metrics.render(self._gauge_values())
        )

    def _gauge_values(self) -> core.GaugeValues:
        configuration = self._parts.cluster.configuration
        return core.GaugeValues(
            configuration_version=(
                configuration.version if configuration else 0
            ),
            store_age_s=self._parts.connectivity.age_s(self._clock()),
            configuration_age_s=(
                self._parts.cluster.configuration_freshness.age_s(
                    self._clock()
                )
                or 0.0
            ),
            endpoints=len(self._parts.cluster.endpoints),
            endpoints_limited=self._parts.cluster.limited_count(),
            gateways=self._parts.cluster.members,
            requests_open=self._caller_server.requests_open,
            lease_held=self._parts.coordination.lease_held,
            quarantines=len(self._parts.quarantine.in_force()),
            store_era=self._parts.store.era or 0,
            store_calls=self._parts.store.calls,
            callers_bytes=self._caller_server.budget.used_bytes,
            callers_refused=self._caller_server.budget.refused,
            stream_slots=self._parts.cluster.stream_slots(),
            engine_factors=self._parts.capability_broadcast.factors(),
        )

    async def _shut_down(self) -> None:
        """Stop accepting requests and wait for those in flight."""
        self._parts.coordination.begin_shutdown()
        times = _shutdown.shutdown_times(self._settings.bounds.grace_s)
        await _shutdown.shut_down(
            self._caller_server, self._parts.shutdown_state, times
        )
        self._parts.quotas.shut_down()
        await self._parts.coordination.shut_down()
        for task in self._tasks:
            task.cancel()
        self._parts.tracing.close()


def run(gateway_settings: settings.GatewaySettings, path: pathlib.Path) -> int:
    """Run a gateway until SIGTERM or SIGINT; return the exit code."""
    import uvloop

    telemetry.configure(gateway_settings.log.level, telemetry.BoundedStream(1))

    async def main() -> None:
        await Gateway(gateway_settings, path).run()

    uvloop.run(main())
    return 0

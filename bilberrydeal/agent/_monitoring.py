"""HTTP server for the metrics and health checks of an agent."""

from aiohttp import web

from .. import settings
from .. import telemetry
from . import _agent

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"


class MonitoringServer:
    """Serves ``/metrics``, ``/health`` and ``/ready``."""

    def __init__(
        self, agent: _agent.Agent, agent_settings: settings.AgentSettings
    ) -> None:
        self._agent = agent
        self._settings = agent_settings
        self._runner: web.AppRunner | None = None
        self._metrics = telemetry.Metrics()
        self._gauges = {
            name: self._metrics.gauge(
                f"bilberrydeal_agent_{name}", description
            )
            for name, description in (
                ("running", "Requests that run."),
                ("waiting", "Requests that wait."),
                ("accepting", "Whether new work is taken, 0 or 1."),
                ("unsettled", "Usage records that wait for settlement."),
                ("links", "Entries that have a link."),
                ("order_version", "Version of the last order applied."),
                ("cache_gaps", "Gaps seen in the engine's cache events."),
                ("orphans_ended", "Generations ended that nobody had."),
            )
        }

        self._requests = self._metrics.counter(
            "bilberrydeal_agent_requests_total", "Requests that ended."
        )
        self._tokens = self._metrics.counter(
            "bilberrydeal_agent_tokens_total", "Tokens counted for usage."
        )

    async def start(self) -> None:
        """Start listening; raises ``OSError`` if the port is in use."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/metrics", self._handle_metrics),
                web.get("/health", self._handle_health),
                web.get("/ready", self._handle_ready),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._settings.listen_address,
            self._settings.metrics_port,
        )
        await site.start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        self._collect()
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": METRICS_CONTENT_TYPE},
        )

    def _collect(self) -> None:
        """Update all metrics from the state of the agent."""
        executor = self._agent.executor
        load = executor.load()
        reconciler = self._agent.reconciler
        poller = self._agent.engine_poller
        canceller = self._agent.orphan_canceller
        for name, value in (
            ("running", load.running),
            ("waiting", load.waiting),
            ("accepting", int(self._agent.accepting)),
            ("unsettled", len(self._agent.usage)),
            ("links", len(self._agent.links.connected())),
            ("order_version", reconciler.order_version if reconciler else 0),
            ("cache_gaps", poller.gaps if poller else 0),
            ("orphans_ended", canceller.cancelled if canceller else 0),
        ):
            self._gauges[name].set({}, value)
        for outcome, count in executor.outcomes.items():
            self._requests.set({"end": outcome}, count)
        for kind, count in executor.tokens.items():
            self._tokens.set({"kind": kind}, count)

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _handle_ready(self, request: web.Request) -> web.Response:
        if self._agent.accepting:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not accepting\n")

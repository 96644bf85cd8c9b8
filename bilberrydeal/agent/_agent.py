"""Agent: connects the links, the executor and the endpoint."""

import asyncio
import collections.abc
import time

from .. import errors
from .. import link
from .. import settings
from .. import telemetry
from ..systems import queueing
from . import _drivers
from . import _engine_poller
from . import _executor
from . import _meter
from . import _orders
from . import _orphans
from . import _usage

LOG = telemetry.logger("agent")

#: Interval at which new usage records are sent.
USAGE_FLUSH_S = 0.2
#: Interval at which unsettled usage records are sent again.
USAGE_RESEND_S = 10.0
#: Poll interval while waiting for usage and links to finish on shutdown.
DRAIN_POLL_S = 0.05


class Agent(link.AgentCallbacks):
    """Serves one endpoint to entries.

    ``reconciler``, ``engine_poller`` and ``orphan_canceller`` are set for an
    engine and ``None`` for a plain service.
    """

    def __init__(
        self,
        name: str,
        agent_settings: settings.AgentSettings,
        driver: _drivers.Driver,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self._settings = agent_settings
        self._draining = False
        self.reconciler: _orders.OrderReconciler | None = None
        self.engine_poller: _engine_poller.EnginePoller | None = None
        self.orphan_canceller: _orphans.OrphanCanceller | None = None
        self._tracing = telemetry.Tracing(agent_settings.trace, "agent")
        self.usage = _usage.UsageBuffer(name, self._send_usage)
        self.executor = _executor.Executor(
            agent_settings,
            driver,
            queueing.QUEUES.get(agent_settings.policy.queueing)(),
            clock,
            self._record_usage,
            self._tracing,
        )
        self.links = link.LinkServer(
            name, agent_settings, self, self.executor, clock
        )

    @property
    def accepting(self) -> bool:
        """Whether new requests are accepted."""
        return self._refusal() is None

    def update_availability(self) -> None:
        """Propagate a change of :attr:`accepting` to executor and entries."""
        refusal = self._refusal()
        if self.executor.refusal != refusal:
            self.executor.refusal = refusal
            self.links.send_status_reports()

    async def run(self) -> None:
        """Serve until :meth:`drain` or :meth:`stop` completes.

        Raises the exception of a loop that fails. The next agent process
        rebuilds its state from the engine and the table.
        """
        self.update_availability()
        tasks = [asyncio.create_task(loop) for loop in self._loops()]
        serving = asyncio.create_task(self.links.run())
        try:
            await asyncio.wait(
                [serving, *tasks], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self._tracing.close()
            self.links.close()
            for task in tasks:
                task.cancel()
            await asyncio.wait([serving, *tasks])
        for task in (serving, *tasks):
            if not task.cancelled():
                task.result()

    async def drain(self) -> None:
        """Refuse new requests, finish and settle accepted ones, and stop."""
        self._draining = True
        self.update_availability()
        LOG.info("Agent draining.")
        await self.executor.wait_idle()
        self.usage.flush()
        while len(self.usage) or not self.links.is_idle():  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)
        self.links.close()

    async def stop(self) -> None:
        """Stop now and abort running requests."""
        self._draining = True
        self.update_availability()
        await self.executor.stop()
        self.usage.flush()
        await asyncio.sleep(self._settings.link.flush_delay_s * 2)
        self.links.close()

    def status(self) -> link.EndpointStatus:
        """Return the endpoint status to report to entries."""
        load = self.executor.load()
        engine = (
            self.engine_poller.load
            if self.engine_poller
            else _engine_poller.NO_LOAD
        )
        return link.EndpointStatus(
            order_version=self.reconciler.order_version
            if self.reconciler
            else 0,
            role=self.role,
            service=self.service,
            accepting=self.accepting,
            running=load.running,
            waiting=load.waiting + engine.waiting,
            queued_prompt_tokens=(
                load.waiting_prompt_tokens + engine.queued_prompt_tokens
            ),
            queued_output_tokens=load.output_tokens,
            kv_used_share=engine.kv_used_share,
        )

    def cache_changes(self, entry: str) -> link.CacheChanges | None:
        """Return prefix cache changes not yet reported to an entry."""
        if self.engine_poller is None:
            return None
        return self.engine_poller.changes(entry)

    @property
    def role(self) -> str:
        """Role of the engine; empty for a plain service."""
        state = self.reconciler.state if self.reconciler else None
        return state.role.value if state else ""

    @property
    def service(self) -> str:
        """Name of the served model or plain service."""
        state = self.reconciler.state if self.reconciler else None
        return state.model if state else self._settings.service

    def order_announced(self, order_version: int) -> None:
        """Handle the notification that an order row was committed."""
        if self.reconciler is not None:
            self.reconciler.order_announced(order_version)

    def usage_settled(self, records: tuple[int, ...]) -> None:
        """Handle the confirmation that usage records are stored."""
        self.usage.settled(records)
        self.update_availability()

    def entry_connected(self, entry: str) -> None:
        """Handle a new link with an entry."""
        LOG.info("Link established.", entry=entry)
        self.usage.entry_connected(entry)
        if self.engine_poller is not None:
            self.engine_poller.replay(entry)

    def entry_expired(self, entry: str) -> None:
        """Handle an entry that did not reconnect in the resume window."""
        LOG.warning("Entry resume window expired.", entry=entry)
        self.usage.entry_expired(entry)
        if self.engine_poller is not None:
            self.engine_poller.forget_entry(entry)

    def _loops(
        self,
    ) -> list[collections.abc.Coroutine[object, object, None]]:
        loops = [
            self.executor.run(),
            self._flush_usage_periodically(),
            self._resend_usage_periodically(),
        ]
        if self.reconciler is not None:
            loops.append(self.reconciler.run())
        if self.engine_poller is not None:
            loops.append(self.engine_poller.run())
        if self.orphan_canceller is not None:
            loops.append(self.orphan_canceller.run())
        return loops

    async def _flush_usage_periodically(self) -> None:
        while True:
            await asyncio.sleep(USAGE_FLUSH_S)
            self.usage.flush()

    async def _resend_usage_periodically(self) -> None:
        while True:
            await asyncio.sleep(USAGE_RESEND_S)
            self.usage.resend()

    def _refusal(self) -> errors.ErrorCode | None:
        if self._draining:
            return errors.ErrorCode.ENDPOINT_LEAVING
        if self.reconciler is not None and not self.reconciler.ready:
            return errors.ErrorCode.NO_ENDPOINT
        if self.usage.full:
            return errors.ErrorCode.OVERLOADED
        return None

    def _record_usage(self, submit: link.Submit, meter: _meter.Meter) -> None:
        self.usage.add(submit, meter, time.time())
        if self.usage.full:
            self.update_availability()

    def _send_usage(self, entry: str, records: link.UsageRecords) -> None:
        self.links.send(entry, records)

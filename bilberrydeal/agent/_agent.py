"""One agent: its links, its executor and its endpoint."""

import asyncio
import collections.abc
import time

from .. import errors
from .. import link
from .. import settings
from .. import telemetry
from ..systems import queueing
from . import _drivers
from . import _executor
from . import _feed
from . import _meter
from . import _orders
from . import _orphans
from . import _usage

LOG = telemetry.logger("agent")

#: Time between two sends of usage records.
USAGE_FLUSH_S = 0.2
#: Time between two reminders of records that are not settled.
USAGE_REMINDER_S = 10.0
#: Time between two looks at whether all is done when shutting down.
DRAIN_POLL_S = 0.05


class Agent(link.Host):
    """Serves one endpoint to entries.

    ``keeper``, ``feed`` and ``orphans`` belong to an engine; a plain service
    has none.
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
        self._leaving = False
        self.keeper: _orders.OrderKeeper | None = None
        self.feed: _feed.EngineFeed | None = None
        self.orphans: _orphans.OrphanSweep | None = None
        self._tracing = telemetry.Tracing(agent_settings.trace, "agent")
        self.usage = _usage.UsageBook(name, self._send_usage)
        self.executor = _executor.Executor(
            agent_settings,
            driver,
            queueing.QUEUES.get(agent_settings.policy.queueing)(),
            clock,
            self._count,
            self._tracing,
        )
        self.links = link.LinkServer(
            name, agent_settings, self, self.executor, clock
        )

    @property
    def accepting(self) -> bool:
        """Whether new work is taken."""
        return self._refusal() is None

    def update(self) -> None:
        """Let executor and entries know whether new work is taken."""
        refusal = self._refusal()
        if self.executor.refusal != refusal:
            self.executor.refusal = refusal
            self.links.announce()

    async def run(self) -> None:
        """Serve until :meth:`leave` or :meth:`stop` has ended it.

        A loop that fails ends the agent and raises: its successor begins
        again from the engine and the table.
        """
        self.update()
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

    async def leave(self) -> None:
        """Take no new work, end what was accepted, settle it and stop."""
        self._leaving = True
        self.update()
        LOG.info("Leaving.")
        await self.executor.idle()
        self.usage.flush()
        while len(self.usage) or not self.links.idle():  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)
        self.links.close()

    async def stop(self) -> None:
        """Stop now; what runs is cut."""
        self._leaving = True
        self.update()
        await self.executor.stop()
        self.usage.flush()
        await asyncio.sleep(self._settings.link.flush_delay_s * 2)
        self.links.close()

    def status(self) -> link.EndpointStatus:
        """Return what entries are to know of the endpoint."""
        load = self.executor.load()
        engine = self.feed.load if self.feed else _feed.NO_LOAD
        return link.EndpointStatus(
            order_version=self.keeper.order_version if self.keeper else 0,
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
        """Return what an entry was not told of the prefix cache yet."""
        if self.feed is None:
            return None
        return self.feed.changes(entry)

    @property
    def role(self) -> str:
        """Role of the engine, empty for a plain service."""
        state = self.keeper.state if self.keeper else None
        return state.role.value if state else ""

    @property
    def service(self) -> str:
        """Model, or name of the plain service."""
        state = self.keeper.state if self.keeper else None
        return state.model if state else self._settings.service

    def hinted(self, order_version: int) -> None:
        """An order row was committed."""
        if self.keeper is not None:
            self.keeper.hint(order_version)

    def settled(self, records: tuple[int, ...]) -> None:
        """Usage records are in the table."""
        self.usage.settled(records)
        self.update()

    def joined(self, entry: str) -> None:
        """A link with an entry is up."""
        LOG.info("Link is up.", entry=entry)
        self.usage.joined(entry)
        if self.feed is not None:
            self.feed.restart(entry)

    def gone(self, entry: str) -> None:
        """An entry stayed away past the resume window."""
        LOG.warning("Entry is gone.", entry=entry)
        self.usage.gone(entry)
        if self.feed is not None:
            self.feed.drop(entry)

    def _loops(
        self,
    ) -> list[collections.abc.Coroutine[object, object, None]]:
        loops = [
            self.executor.run(),
            self._flush_usage(),
            self._remind_of_usage(),
        ]
        if self.keeper is not None:
            loops.append(self.keeper.run())
        if self.feed is not None:
            loops.append(self.feed.run())
        if self.orphans is not None:
            loops.append(self.orphans.run())
        return loops

    async def _flush_usage(self) -> None:
        while True:
            await asyncio.sleep(USAGE_FLUSH_S)
            self.usage.flush()

    async def _remind_of_usage(self) -> None:
        while True:
            await asyncio.sleep(USAGE_REMINDER_S)
            self.usage.remind()

    def _refusal(self) -> errors.ErrorCode | None:
        if self._leaving:
            return errors.ErrorCode.ENDPOINT_LEAVING
        if self.keeper is not None and not self.keeper.ready:
            return errors.ErrorCode.NO_ENDPOINT
        if self.usage.full:
            return errors.ErrorCode.OVERLOADED
        return None

    def _count(self, submit: link.Submit, meter: _meter.Meter) -> None:
        self.usage.add(submit, meter, time.time())
        if self.usage.full:
            self.update()

    def _send_usage(self, entry: str, records: link.UsageRecords) -> None:
        self.links.send(entry, records)

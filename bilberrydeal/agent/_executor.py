"""Runs requests in the order of a queue, within slots and deadlines."""

import asyncio
import collections
import collections.abc

import attrs

from .. import errors
from .. import link
from .. import ports
from .. import settings
from .. import telemetry
from ..systems import queueing
from . import _drivers
from . import _meter
from . import _pace

LOG = telemetry.logger("executor")

#: Time between two looks at requests that wait: some can no longer end in
#: time, some become urgent.
SWEEP_S = 0.1
#: How a request ended that has its whole answer.
FINISHED = "finished"
#: A refusal for lack of room asks for a retry no sooner.
RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class _Job:
    """One request at this executor."""

    work: link.Work
    item: queueing.QueuedRequest
    #: What runs at the endpoint; set when it begins.
    driving: asyncio.Task[None] | None = None
    #: What waits for that.
    task: asyncio.Task[None] | None = None
    meter: _meter.Meter = attrs.field(factory=_meter.Meter)


@attrs.frozen
class Load:
    """What waits and runs here."""

    #: Requests that run.
    running: int
    #: Requests that wait.
    waiting: int
    #: Prompt tokens of the requests that wait.
    waiting_prompt_tokens: int
    #: Tokens expected of the requests that wait or run.
    output_tokens: int


class Executor:
    """Implements :class:`bilberrydeal.link.Executor`.

    ``count`` is called once for each request that used anything, when it
    has ended here and at the endpoint.
    """

    def __init__(
        self,
        agent_settings: settings.AgentSettings,
        driver: _drivers.Driver,
        queue: queueing.Queue,
        clock: collections.abc.Callable[[], float],
        count: collections.abc.Callable[[link.Submit, _meter.Meter], None],
        tracing: telemetry.Tracing,
    ) -> None:
        self._settings = agent_settings
        self._driver = driver
        self._queue = queue
        self._clock = clock
        self._count = count
        self._tracing = tracing
        self._pace = _pace.Pace()
        self._waiting: dict[str, _Job] = {}
        self._running: dict[str, _Job] = {}
        self._idle = asyncio.Event()
        self._idle.set()
        #: Requests that ended, by how: ``FINISHED`` or the refusal's code.
        self.ends: collections.Counter[str] = collections.Counter()
        #: Tokens counted, by kind.
        self.tokens: collections.Counter[str] = collections.Counter()
        #: Why new work is refused, ``None`` while it is taken.
        self.refusal: errors.ErrorCode | None = None

    def submit(self, work: link.Work) -> None:
        """Queue a request, or refuse it as not started."""
        now_s = self._clock()
        refusal = self._refusal_of(work)
        if refusal is not None:
            self._turn_away(work, refusal)
            return
        item = self._item(work, now_s)
        excess_s = queueing.hopeless_s(self._queue, item, now_s)
        if excess_s > 0.0 and work.taken is None:
            self._turn_away(work, errors.ErrorCode.DEADLINE_HOPELESS, excess_s)
            return
        self._idle.clear()
        self._waiting[item.key] = _Job(work, item)
        self._queue.push(item, now_s)
        self._fill()
        self._shed(now_s)

    def cancel(self, work: link.Work) -> None:
        """End a request that waits or runs, if it can be stopped."""
        key = str(work.submit.number)
        if key in self._waiting:
            self._queue.remove(key)
            self._refuse_waiting(key, errors.ErrorCode.CANCELLED)
            return
        job = self._running.get(key)
        if job is None or work.ended:
            return
        if work.started and not self._driver.stoppable(work):
            return
        self._end(job, errors.ErrorCode.CANCELLED)

    def holds(self, request_id: str) -> bool:
        """Return whether a request waits or runs here."""
        return request_id in self._waiting or request_id in self._running

    def load(self) -> Load:
        """Return what waits and runs."""
        jobs = [*self._waiting.values(), *self._running.values()]
        return Load(
            running=len(self._running),
            waiting=len(self._waiting),
            waiting_prompt_tokens=round(
                sum(job.item.prompt_tokens for job in self._waiting.values())
            ),
            output_tokens=round(sum(map(_output_left, jobs))),
        )

    async def run(self) -> None:
        """Follow deadlines and what the queue keeps back; never ends."""
        while True:
            await asyncio.sleep(SWEEP_S)
            if self._waiting:
                self._fill()

    async def idle(self) -> None:
        """Wait until no request waits or runs."""
        await self._idle.wait()

    async def stop(self) -> None:
        """Refuse what waits, end what runs, and wait for that."""
        for key in list(self._waiting):
            self._queue.remove(key)
            self._refuse_waiting(key, errors.ErrorCode.SHUTTING_DOWN)
        for job in list(self._running.values()):
            self._end(job, errors.ErrorCode.SHUTTING_DOWN)
        await self.idle()

    def _refusal_of(self, work: link.Work) -> errors.ErrorCode | None:
        """Return why a request isn't taken.

        What runs at the engine already is taken before the engine takes
        anything new.
        """
        if work.taken and self.refusal is errors.ErrorCode.NO_ENDPOINT:
            return None
        return self.refusal

    def _turn_away(
        self,
        work: link.Work,
        reason: errors.ErrorCode,
        retry_after_s: float = 0.0,
    ) -> None:
        """Refuse what never ran under this agent.

        What a predecessor passed on is counted nowhere else.
        """
        self._refuse(work, reason, retry_after_s)
        if work.taken is not None and work.taken.tokens:
            passed = _meter.Meter(output_tokens=work.taken.tokens, calls=1)
            self.tokens.update(output=passed.output_tokens)
            self._count(work.submit, passed)

    def _item(self, work: link.Work, now_s: float) -> queueing.QueuedRequest:
        submit = work.submit
        return queueing.QueuedRequest(
            key=str(submit.number),
            organisation=submit.organisation,
            weight=submit.weight,
            request_class=submit.request_class,
            deadline_s=work.deadline_s,
            prompt_tokens=max(0, submit.prompt_tokens - submit.cached_tokens),
            output_tokens=self._pace.output_tokens(submit),
            run_time_s=self._pace.run_time_s(submit, now_s),
        )

    def _shed(self, now_s: float) -> None:
        """Refuse what waits past the limit; the queue chooses whose."""
        limit = self._settings.waiting_limit
        for item in self._queue.overflow(limit, now_s):
            wait_s = self._queue.wait_s(item, now_s)
            self._refuse_waiting(
                item.key,
                errors.ErrorCode.OVERLOADED,
                max(wait_s, RETRY_AFTER_S),
            )

    def _refuse(
        self,
        work: link.Work,
        reason: errors.ErrorCode,
        retry_after_s: float = 0.0,
    ) -> None:
        if not work.ended:
            self.ends[reason.value] += 1
            work.refuse(reason, retry_after_s)

    def _refuse_late(self, now_s: float) -> None:
        for item in self._queue.expired(now_s):
            self._refuse_waiting(item.key, errors.ErrorCode.DEADLINE_HOPELESS)

    def _refuse_waiting(
        self,
        key: str,
        reason: errors.ErrorCode,
        retry_after_s: float = 0.0,
    ) -> None:
        self._turn_away(self._waiting.pop(key).work, reason, retry_after_s)
        self._note_idle()

    def _fill(self) -> None:
        """Start requests while slots are free."""
        now_s = self._clock()
        self._refuse_late(now_s)
        slots = self._settings.running_limit
        while len(self._running) < slots:
            item = self._queue.pop(now_s, slots)
            if item is None:
                return
            job = self._waiting.pop(item.key)
            self._running[item.key] = job
            job.driving = asyncio.create_task(self._drive(job))
            job.task = asyncio.create_task(self._run(job, job.driving))

    async def _drive(self, job: _Job) -> None:
        submit = job.work.submit
        with self._tracing.span("agent", submit.traceparent) as span:
            span.set_attribute("request", str(submit.number))
            waited_s = self._clock() - job.work.arrived_at_s
            span.set_attribute("queue_wait_s", waited_s)
            await self._driver.run(job.work, job.meter)
            span.set_attribute("output_tokens", job.meter.output_tokens)

    def _end(self, job: _Job, reason: errors.ErrorCode) -> None:
        """Answer at once; the endpoint is told in the background."""
        if job.work.ended:
            return
        self._refuse(job.work, reason)
        if job.driving is not None:
            job.driving.cancel()

    async def _run(self, job: _Job, driving: asyncio.Task[None]) -> None:
        began_s = self._clock()
        left_s = max(0.0, job.work.deadline_s - began_s)
        await asyncio.wait([driving], timeout=left_s)
        if not driving.done():
            self._end(job, errors.ErrorCode.DEADLINE_EXCEEDED)
            await asyncio.wait([driving])
        self._refuse(job.work, _reason(driving))
        self._settle(job, began_s)

    def _settle(self, job: _Job, began_s: float) -> None:
        now_s = self._clock()
        del self._running[job.item.key]
        work, meter = job.work, job.meter
        self.tokens.update(
            prompt=meter.prompt_tokens,
            cached=meter.cached_tokens,
            output=meter.output_tokens,
        )
        if isinstance(work.last, link.Finished):
            self.ends[FINISHED] += 1
            if work.taken is None:
                self._pace.add(
                    work.submit, meter.output_tokens, now_s - began_s, now_s
                )
        actual = attrs.evolve(
            job.item,
            prompt_tokens=meter.prompt_tokens,
            output_tokens=meter.output_tokens,
        )
        self._queue.ended(job.item, actual.cost)
        if meter != _meter.Meter():
            self._count(work.submit, meter)
        self._fill()
        self._note_idle()

    def _note_idle(self) -> None:
        if not self._waiting and not self._running:
            self._idle.set()


def _reason(driving: asyncio.Task[None]) -> errors.ErrorCode:
    """Return why a request has no answer, where it has none."""
    if driving.cancelled():
        return errors.ErrorCode.CANCELLED
    failure = driving.exception()
    if isinstance(failure, ports.EngineFailure | ports.PlainFailure):
        return errors.ErrorCode.ENDPOINT_FAILED
    if failure is not None:
        LOG.error("Driver failed.", exc_info=failure)
    return errors.ErrorCode.INTERNAL


def _output_left(job: _Job) -> float:
    return max(0.0, job.item.output_tokens - job.meter.output_tokens)

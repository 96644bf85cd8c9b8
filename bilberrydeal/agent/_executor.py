"""Schedules requests: queueing, concurrency limit and deadlines."""

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
from . import _run_time

LOG = telemetry.logger("executor")

#: Interval at which waiting requests are re-examined: some can no longer meet
#: their deadline, others become urgent.
SWEEP_S = 0.1
#: Outcome of a request whose response is complete.
FINISHED = "finished"
#: Shortest retry delay advised when a request is refused for overload.
MIN_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class _Job:
    """One waiting or running request."""

    execution: link.RequestExecution
    item: queueing.QueuedRequest
    #: Runs the request at the endpoint; set when it starts.
    driver_task: asyncio.Task[None] | None = None
    #: Waits for ``driver_task`` and enforces the deadline.
    supervisor: asyncio.Task[None] | None = None
    meter: _meter.Meter = attrs.field(factory=_meter.Meter)


@attrs.frozen
class Load:
    """Requests and tokens that wait or run at an executor."""

    #: Running requests.
    running: int
    #: Waiting requests.
    waiting: int
    #: Prompt tokens of the waiting requests.
    waiting_prompt_tokens: int
    #: Output tokens still expected of all these requests.
    output_tokens: int


class Executor:
    """Implements :class:`bilberrydeal.link.Executor`.

    ``record_usage`` is called once for each request with any usage, after it
    has ended both here and at the endpoint.
    """

    def __init__(
        self,
        agent_settings: settings.AgentSettings,
        driver: _drivers.Driver,
        queue: queueing.Queue,
        clock: collections.abc.Callable[[], float],
        record_usage: collections.abc.Callable[
            [link.Submit, _meter.Meter], None
        ],
        tracing: telemetry.Tracing,
    ) -> None:
        self._settings = agent_settings
        self._driver = driver
        self._queue = queue
        self._clock = clock
        self._record_usage = record_usage
        self._tracing = tracing
        self._run_times = _run_time.RunTimeEstimator()
        self._waiting: dict[str, _Job] = {}
        self._running: dict[str, _Job] = {}
        self._idle = asyncio.Event()
        self._idle.set()
        #: Ended requests by outcome: ``FINISHED`` or the refusal's code.
        self.outcomes: collections.Counter[str] = collections.Counter()
        #: Counted tokens by kind.
        self.tokens: collections.Counter[str] = collections.Counter()
        #: Code to refuse new requests with; ``None`` while they are accepted.
        self.refusal: errors.ErrorCode | None = None

    def submit(self, execution: link.RequestExecution) -> None:
        """Queue a request, or refuse it as not started."""
        now_s = self._clock()
        refusal = self._refusal_for(execution)
        if refusal is not None:
            self._refuse_unstarted(execution, refusal)
            return
        item = self._queued_request(execution, now_s)
        late_by_s = queueing.expected_lateness_s(self._queue, item, now_s)
        if late_by_s > 0.0 and execution.takeover is None:
            self._refuse_unstarted(
                execution, errors.ErrorCode.DEADLINE_HOPELESS, late_by_s
            )
            return
        self._idle.clear()
        self._waiting[item.key] = _Job(execution, item)
        self._queue.push(item, now_s)
        self._start_queued()
        self._shed(now_s)

    def cancel(self, execution: link.RequestExecution) -> None:
        """Cancel a waiting request, or a running one that can be stopped."""
        key = str(execution.submit.number)
        if key in self._waiting:
            self._queue.remove(key)
            self._refuse_waiting(key, errors.ErrorCode.CANCELLED)
            return
        job = self._running.get(key)
        if job is None or execution.ended:
            return
        if execution.started and not self._driver.stoppable(execution):
            return
        self._abort(job, errors.ErrorCode.CANCELLED)

    def has_request(self, request_id: str) -> bool:
        """Return whether a request waits or runs here."""
        return request_id in self._waiting or request_id in self._running

    def load(self) -> Load:
        """Return the current load."""
        jobs = [*self._waiting.values(), *self._running.values()]
        return Load(
            running=len(self._running),
            waiting=len(self._waiting),
            waiting_prompt_tokens=round(
                sum(job.item.prompt_tokens for job in self._waiting.values())
            ),
            output_tokens=round(sum(map(_remaining_output_tokens, jobs))),
        )

    async def run(self) -> None:
        """Refuse expired requests and start deferred ones; never returns."""
        while True:
            await asyncio.sleep(SWEEP_S)
            if self._waiting:
                self._start_queued()

    async def wait_idle(self) -> None:
        """Wait until no request waits or runs."""
        await self._idle.wait()

    async def stop(self) -> None:
        """Refuse waiting requests, abort running ones and wait for them."""
        for key in list(self._waiting):
            self._queue.remove(key)
            self._refuse_waiting(key, errors.ErrorCode.SHUTTING_DOWN)
        for job in list(self._running.values()):
            self._abort(job, errors.ErrorCode.SHUTTING_DOWN)
        await self.wait_idle()

    def _refusal_for(
        self, execution: link.RequestExecution
    ) -> errors.ErrorCode | None:
        """Return the code to refuse a request with, if it is refused.

        A request that already runs at the engine is accepted even while the
        engine is not ready for new ones.
        """
        if execution.takeover and self.refusal is errors.ErrorCode.NO_ENDPOINT:
            return None
        return self.refusal

    def _refuse_unstarted(
        self,
        execution: link.RequestExecution,
        reason: errors.ErrorCode,
        retry_after_s: float = 0.0,
    ) -> None:
        """Refuse a request that this agent process has not started.

        Records the tokens that a previous process delivered for it, as
        nothing else counts them.
        """
        self._refuse(execution, reason, retry_after_s)
        if execution.takeover is not None and execution.takeover.tokens:
            meter = _meter.Meter(
                output_tokens=execution.takeover.tokens, calls=1
            )
            self.tokens.update(output=meter.output_tokens)
            self._record_usage(execution.submit, meter)

    def _queued_request(
        self, execution: link.RequestExecution, now_s: float
    ) -> queueing.QueuedRequest:
        submit = execution.submit
        return queueing.QueuedRequest(
            key=str(submit.number),
            organisation=submit.organisation,
            weight=submit.weight,
            request_class=submit.request_class,
            deadline_s=execution.deadline_s,
            prompt_tokens=max(0, submit.prompt_tokens - submit.cached_tokens),
            output_tokens=self._run_times.output_tokens(submit),
            run_time_s=self._run_times.run_time_s(submit, now_s),
        )

    def _shed(self, now_s: float) -> None:
        """Refuse requests above the limit, as chosen by the queue."""
        limit = self._settings.waiting_limit
        for item in self._queue.pop_overflow(limit, now_s):
            wait_s = self._queue.wait_s(item, now_s)
            self._refuse_waiting(
                item.key,
                errors.ErrorCode.OVERLOADED,
                max(wait_s, MIN_RETRY_AFTER_S),
            )

    def _refuse(
        self,
        execution: link.RequestExecution,
        reason: errors.ErrorCode,
        retry_after_s: float = 0.0,
    ) -> None:
        if not execution.ended:
            self.outcomes[reason.value] += 1
            execution.refuse(reason, retry_after_s)

    def _refuse_expired(self, now_s: float) -> None:
        for item in self._queue.pop_expired(now_s):
            self._refuse_waiting(item.key, errors.ErrorCode.DEADLINE_HOPELESS)

    def _refuse_waiting(
        self,
        key: str,
        reason: errors.ErrorCode,
        retry_after_s: float = 0.0,
    ) -> None:
        self._refuse_unstarted(
            self._waiting.pop(key).execution, reason, retry_after_s
        )
        self._update_idle()

    def _start_queued(self) -> None:
        """Start waiting requests while slots are free."""
        now_s = self._clock()
        self._refuse_expired(now_s)
        slots = self._settings.running_limit
        while len(self._running) < slots:
            item = self._queue.pop(now_s, slots)
            if item is None:
                return
            job = self._waiting.pop(item.key)
            self._running[item.key] = job
            job.driver_task = asyncio.create_task(self._run_driver(job))
            job.supervisor = asyncio.create_task(
                self._supervise(job, job.driver_task)
            )

    async def _run_driver(self, job: _Job) -> None:
        submit = job.execution.submit
        with self._tracing.span("agent", submit.traceparent) as span:
            span.set_attribute("request", str(submit.number))
            waited_s = self._clock() - job.execution.arrived_at_s
            span.set_attribute("queue_wait_s", waited_s)
            await self._driver.run(job.execution, job.meter)
            span.set_attribute("output_tokens", job.meter.output_tokens)

    def _abort(self, job: _Job, reason: errors.ErrorCode) -> None:
        """Refuse at once; the driver cancels at the endpoint in background."""
        if job.execution.ended:
            return
        self._refuse(job.execution, reason)
        if job.driver_task is not None:
            job.driver_task.cancel()

    async def _supervise(
        self, job: _Job, driver_task: asyncio.Task[None]
    ) -> None:
        started_at_s = self._clock()
        time_left_s = max(0.0, job.execution.deadline_s - started_at_s)
        await asyncio.wait([driver_task], timeout=time_left_s)
        if not driver_task.done():
            self._abort(job, errors.ErrorCode.DEADLINE_EXCEEDED)
            await asyncio.wait([driver_task])
        self._refuse(job.execution, _failure_code(driver_task))
        self._complete(job, started_at_s)

    def _complete(self, job: _Job, started_at_s: float) -> None:
        now_s = self._clock()
        del self._running[job.item.key]
        execution, meter = job.execution, job.meter
        self.tokens.update(
            prompt=meter.prompt_tokens,
            cached=meter.cached_tokens,
            output=meter.output_tokens,
        )
        if isinstance(execution.last, link.Finished):
            self.outcomes[FINISHED] += 1
            if execution.takeover is None:
                self._run_times.add(
                    execution.submit,
                    meter.output_tokens,
                    now_s - started_at_s,
                    now_s,
                )
        actual = attrs.evolve(
            job.item,
            prompt_tokens=meter.prompt_tokens,
            output_tokens=meter.output_tokens,
        )
        self._queue.record_end(job.item, actual.cost)
        if meter != _meter.Meter():
            self._record_usage(execution.submit, meter)
        self._start_queued()
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._waiting and not self._running:
            self._idle.set()


def _failure_code(driver_task: asyncio.Task[None]) -> errors.ErrorCode:
    """Return the refusal code of a request that has no response."""
    if driver_task.cancelled():
        return errors.ErrorCode.CANCELLED
    failure = driver_task.exception()
    if isinstance(failure, ports.EngineFailure | ports.PlainFailure):
        return errors.ErrorCode.ENDPOINT_FAILED
    if failure is not None:
        LOG.error("Driver failed.", exc_info=failure)
    return errors.ErrorCode.INTERNAL


def _remaining_output_tokens(job: _Job) -> float:
    return max(0.0, job.item.output_tokens - job.meter.output_tokens)

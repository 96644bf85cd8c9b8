"""Simulated agent: the production queue in front of a simulated engine."""

import collections.abc
import typing

import attrs

from bilberrydeal import systems
from bilberrydeal.systems import queueing

from . import _clock
from . import _engine
from . import _loads

#: Maximum number of requests that wait at an agent.
WAITING_LIMIT = 256
#: Weight of each output token in the moving average of the token time.
TOKEN_TIME_GAIN = 0.0005
#: Interval between load reports, in seconds.
REPORT_INTERVAL_S = 0.25
#: Interval between checks for urgent and expired requests, in seconds.
QUEUE_CHECK_INTERVAL_S = 0.1


class AttemptListener(typing.Protocol):
    """Receives the events of an attempt, on the side of the entry."""

    def first_token(self, attempt: "Attempt") -> None:
        """The first token has been generated."""

    def ended(self, attempt: "Attempt") -> None:
        """The answer is complete."""

    def refused(self, attempt: "Attempt", retry_after_s: float) -> None:
        """The agent has refused the request without running it."""

    def failed(self, attempt: "Attempt", started: bool) -> None:
        """The endpoint was lost."""


@attrs.define(eq=False)
class Attempt:
    """One attempt to run a request at an agent."""

    #: Request of the caller.
    arrival: _loads.Arrival
    #: Identifier of the request.
    key: str
    #: Name of the organisation.
    organisation: str
    #: Weight of the organisation.
    weight: float
    #: Time at which the caller gives up, in seconds.
    deadline_s: float
    #: Expected number of generated tokens.
    output_tokens: int
    #: Prompt tokens expected in the prefix cache.
    cached_tokens: int
    #: Receives the events of the attempt.
    listener: AttemptListener
    #: The queued request; set by the agent.
    item: queueing.QueuedRequest | None = None
    #: Whether it was submitted to the engine.
    started: bool = False
    #: Time at which it was submitted to the engine, in seconds.
    started_at_s: float = 0.0


class FakeAgent:
    """Queues requests and submits them to its engine."""

    def __init__(
        self,
        clock: _clock.Clock,
        engine: _engine.FakeEngine,
        queue: queueing.Queue,
    ) -> None:
        self.engine = engine
        self.crashed = False
        self.shed_count = 0
        self._clock = clock
        self._queue = queue
        self._token_s = engine.rates.full_step_s()
        self._waiting: dict[str, Attempt] = {}
        self._running: dict[str, Attempt] = {}
        clock.call_every(QUEUE_CHECK_INTERVAL_S, self._start_waiting)

    def submit(self, attempt: Attempt) -> None:
        """Queue a request, or refuse it immediately."""
        if self.crashed:
            attempt.listener.failed(attempt, started=False)
            return
        now_s = self._clock.now_s
        item = self._queued_request(attempt)
        excess_s = queueing.expected_lateness_s(self._queue, item, now_s)
        if excess_s > 0.0:
            self.shed_count += 1
            attempt.listener.refused(attempt, excess_s)
            return
        attempt.item = item
        self._waiting[attempt.key] = attempt
        self._queue.push(item, now_s)
        self._refuse(self._queue.pop_overflow(WAITING_LIMIT, now_s))
        self._start_waiting()

    def report(self) -> systems.EndpointLoad:
        """Return the current load."""
        items = [a.item for a in self._waiting.values() if a.item]
        engine = self.engine
        return systems.EndpointLoad(
            self._clock.now_s,
            len(self._running),
            len(items),
            engine.queued_prompt_tokens()
            + sum(item.prompt_tokens for item in items),
            engine.queued_output_tokens()
            + sum(item.output_tokens for item in items),
        )

    def crash(self) -> None:
        """Simulate the loss of the host with all its requests."""
        self.crashed = True
        waiting = list(self._waiting.values())
        self._waiting.clear()
        for attempt in waiting:
            self._queue.remove(attempt.key)
            attempt.listener.failed(attempt, started=False)
        self.engine.crash()
        self._running.clear()

    def restore(self) -> None:
        """Accept requests again, with an empty cache."""
        self.crashed = False

    def first_token(self, job: _engine.Job) -> None:
        """Forward the event to the entry."""
        attempt = self._running[job.key]
        attempt.listener.first_token(attempt)

    def ended(self, job: _engine.Job) -> None:
        """Charge the actual cost and start waiting requests."""
        attempt = self._running.pop(job.key)
        assert attempt.item is not None
        actual = queueing.cost(
            job.prompt_tokens - job.cached_tokens, job.output_tokens
        )
        self._queue.record_end(attempt.item, actual)
        run_s = self._clock.now_s - attempt.started_at_s
        token_s = run_s / job.output_tokens
        gain = min(1.0, job.output_tokens * TOKEN_TIME_GAIN)
        self._token_s += gain * (token_s - self._token_s)
        attempt.listener.ended(attempt)
        self._start_waiting()

    def failed(self, job: _engine.Job) -> None:
        """Report to the entry that the request failed."""
        attempt = self._running.pop(job.key)
        assert attempt.item is not None
        self._queue.record_end(attempt.item, attempt.item.cost)
        attempt.listener.failed(attempt, started=True)

    def _queued_request(self, attempt: Attempt) -> queueing.QueuedRequest:
        rates = self.engine.rates
        prompt_tokens = attempt.arrival.prompt_tokens - attempt.cached_tokens
        run_time_s = prompt_tokens / rates.prefill_tokens_per_s
        run_time_s += attempt.output_tokens * self._token_s
        return queueing.QueuedRequest(
            attempt.key,
            attempt.organisation,
            attempt.weight,
            attempt.arrival.kind.request_class,
            attempt.deadline_s,
            prompt_tokens,
            attempt.output_tokens,
            run_time_s,
        )

    def _start_waiting(self) -> None:
        now_s = self._clock.now_s
        self._refuse(self._queue.pop_expired(now_s))
        while len(self._running) < self.engine.rates.batch_limit:
            item = self._queue.pop(now_s, self.engine.rates.batch_limit)
            if item is None:
                return
            attempt = self._waiting.pop(item.key)
            attempt.started = True
            attempt.started_at_s = now_s
            self._running[attempt.key] = attempt
            self.engine.submit(
                _engine.Job(
                    attempt.key,
                    attempt.arrival.blocks,
                    attempt.arrival.prompt_tokens,
                    attempt.arrival.output_tokens,
                    attempt.arrival.kind.request_class,
                    self,
                )
            )

    def _refuse(self, items: list[queueing.QueuedRequest]) -> None:
        for item in items:
            self.shed_count += 1
            attempt = self._waiting.pop(item.key)
            attempt.listener.refused(attempt, item.run_time_s)


class ReportPublisher:
    """Publishes the reports of an agent with a delay and lost cache events."""

    def __init__(self, clock: _clock.Clock, agent: FakeAgent) -> None:
        self._clock = clock
        self._agent = agent
        self._report_count = 0
        self.subscribers: list[ReportSubscriber] = []

    def start(self, lag_s: float, loss_interval: int) -> None:
        """Start to publish; every n-th batch of cache events is lost."""

        def publish() -> None:
            if self._agent.crashed:
                return
            figures = self._agent.report()
            stored, evicted = self._agent.engine.cache_events()
            self._report_count += 1
            if self._report_count % loss_interval == 0:
                stored, evicted = (), ()
            for subscriber in self.subscribers:
                self._clock.call_later(
                    lag_s,
                    _report_callback(subscriber, figures, stored, evicted),
                )

        self._clock.call_every(REPORT_INTERVAL_S, publish)


ReportSubscriber = collections.abc.Callable[
    [systems.EndpointLoad, tuple[int, ...], tuple[int, ...]], None
]


def _report_callback(
    subscriber: ReportSubscriber,
    figures: systems.EndpointLoad,
    stored: tuple[int, ...],
    evicted: tuple[int, ...],
) -> _clock.Callback:
    return lambda: subscriber(figures, stored, evicted)

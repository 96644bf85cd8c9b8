"""A fake agent: the product's queue in front of a fake engine."""

import collections.abc
import typing

import attrs

from bilberrydeal import systems
from bilberrydeal.systems import queueing

from . import _clock
from . import _engine
from . import _loads

#: Requests that wait at an agent at most.
WAITING_LIMIT = 256
#: Part of the pace that each token of an answer makes up.
PACE_GAIN = 0.0005
#: Time between two reports, in seconds.
REPORT_S = 0.25
#: Time between two looks at what has become urgent or too late, in seconds.
TICK_S = 0.1


class Caller(typing.Protocol):
    """The entry's side of a request."""

    def first_token(self, sent: "Sent") -> None:
        """The first token has come."""

    def ended(self, sent: "Sent") -> None:
        """The answer is whole."""

    def refused(self, sent: "Sent", retry_after_s: float) -> None:
        """The agent has refused it as not run."""

    def failed(self, sent: "Sent", started: bool) -> None:
        """The endpoint was lost."""


@attrs.define(eq=False)
class Sent:
    """One try of a request at an agent."""

    #: What the caller asked for.
    arrival: _loads.Arrival
    #: Number of the request and the try.
    key: str
    #: Name of the organisation.
    organisation: str
    #: Its weight.
    weight: float
    #: When the caller stops waiting.
    deadline_s: float
    #: Tokens expected to be generated.
    output_tokens: int
    #: Prompt tokens expected in the cache.
    cached_tokens: int
    #: Who hears of it.
    caller: Caller
    #: How it waits; set by the agent.
    item: queueing.QueuedRequest | None = None
    #: Whether it is in the engine.
    started: bool = False
    #: When it was given to the engine.
    began_at_s: float = 0.0


class FakeAgent:
    """Queues requests and hands them to its engine."""

    def __init__(
        self,
        clock: _clock.Clock,
        engine: _engine.FakeEngine,
        queue: queueing.Queue,
    ) -> None:
        self.engine = engine
        self.lost = False
        self.shed_count = 0
        self._clock = clock
        self._queue = queue
        self._token_s = engine.rates.full_step_s()
        self._waiting: dict[str, Sent] = {}
        self._running: dict[str, Sent] = {}
        clock.every(TICK_S, self._pump)

    def submit(self, sent: Sent) -> None:
        """Take a request, or refuse it at once."""
        if self.lost:
            sent.caller.failed(sent, started=False)
            return
        now_s = self._clock.now_s
        item = self._item(sent)
        excess_s = queueing.expected_lateness_s(self._queue, item, now_s)
        if excess_s > 0.0:
            self.shed_count += 1
            sent.caller.refused(sent, excess_s)
            return
        sent.item = item
        self._waiting[sent.key] = sent
        self._queue.push(item, now_s)
        self._refuse(self._queue.pop_overflow(WAITING_LIMIT, now_s))
        self._pump()

    def report(self) -> systems.EndpointLoad:
        """Return the load as it is."""
        items = [s.item for s in self._waiting.values() if s.item]
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

    def lose(self) -> None:
        """Lose the host with all its requests."""
        self.lost = True
        waiting = list(self._waiting.values())
        self._waiting.clear()
        for sent in waiting:
            self._queue.remove(sent.key)
            sent.caller.failed(sent, started=False)
        self.engine.lose()
        self._running.clear()

    def restore(self) -> None:
        """Come back with an empty cache."""
        self.lost = False

    def first_token(self, job: _engine.Job) -> None:
        """Pass the first token on."""
        sent = self._running[job.key]
        sent.caller.first_token(sent)

    def ended(self, job: _engine.Job) -> None:
        """Charge what the request cost and begin the next."""
        sent = self._running.pop(job.key)
        assert sent.item is not None
        actual = queueing.cost(
            job.prompt_tokens - job.cached_tokens, job.output_tokens
        )
        self._queue.record_end(sent.item, actual)
        run_s = self._clock.now_s - sent.began_at_s
        token_s = run_s / job.output_tokens
        gain = min(1.0, job.output_tokens * PACE_GAIN)
        self._token_s += gain * (token_s - self._token_s)
        sent.caller.ended(sent)
        self._pump()

    def failed(self, job: _engine.Job) -> None:
        """Tell the entry that the request is lost."""
        sent = self._running.pop(job.key)
        assert sent.item is not None
        self._queue.record_end(sent.item, sent.item.cost)
        sent.caller.failed(sent, started=True)

    def _item(self, sent: Sent) -> queueing.QueuedRequest:
        rates = self.engine.rates
        prompt_tokens = sent.arrival.prompt_tokens - sent.cached_tokens
        run_time_s = prompt_tokens / rates.prefill_tokens_per_s
        run_time_s += sent.output_tokens * self._token_s
        return queueing.QueuedRequest(
            sent.key,
            sent.organisation,
            sent.weight,
            sent.arrival.kind.request_class,
            sent.deadline_s,
            prompt_tokens,
            sent.output_tokens,
            run_time_s,
        )

    def _pump(self) -> None:
        now_s = self._clock.now_s
        self._refuse(self._queue.pop_expired(now_s))
        while len(self._running) < self.engine.rates.batch_limit:
            item = self._queue.pop(now_s, self.engine.rates.batch_limit)
            if item is None:
                return
            sent = self._waiting.pop(item.key)
            sent.started = True
            sent.began_at_s = now_s
            self._running[sent.key] = sent
            self.engine.submit(
                _engine.Job(
                    sent.key,
                    sent.arrival.blocks,
                    sent.arrival.prompt_tokens,
                    sent.arrival.output_tokens,
                    sent.arrival.kind.request_class,
                    self,
                )
            )

    def _refuse(self, items: list[queueing.QueuedRequest]) -> None:
        for item in items:
            self.shed_count += 1
            sent = self._waiting.pop(item.key)
            sent.caller.refused(sent, item.run_time_s)


class Reports:
    """Reports of one agent on their way: late, and events with gaps."""

    def __init__(self, clock: _clock.Clock, agent: FakeAgent) -> None:
        self._clock = clock
        self._agent = agent
        self._count = 0
        self.listeners: list[ReportListener] = []

    def start(self, lag_s: float, gap_every: int) -> None:
        """Report from now on; every n-th batch of events is lost."""

        def publish() -> None:
            if self._agent.lost:
                return
            figures = self._agent.report()
            stored, evicted = self._agent.engine.cache_events()
            self._count += 1
            if self._count % gap_every == 0:
                stored, evicted = (), ()
            for listener in self.listeners:
                self._clock.after(
                    lag_s, _telling(listener, figures, stored, evicted)
                )

        self._clock.every(REPORT_S, publish)


ReportListener = collections.abc.Callable[
    [systems.EndpointLoad, tuple[int, ...], tuple[int, ...]], None
]


def _telling(
    listener: ReportListener,
    figures: systems.EndpointLoad,
    stored: tuple[int, ...],
    evicted: tuple[int, ...],
) -> _clock.Action:
    return lambda: listener(figures, stored, evicted)

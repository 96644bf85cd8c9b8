"""Load, cache contents and measured speed of an engine."""

import itertools
import operator

import attrs

from ... import ports
from . import _engine_speed
from . import _linear_time
from . import _long_streams
from . import _parts
from . import _peer_arrivals
from . import _request_counts

#: Weight of one observation in the moving averages.
EWMA_WEIGHT = 0.05
#: Time that a request is assumed to occupy its slot before this is
#: measured, in seconds.
INITIAL_SLOT_TIME_S = 0.5
#: Oldest outstanding prefills of an engine that are checked for being overdue.
OVERDUE_CHECKED = 4
#: A prefill is overdue beyond this multiple of its expectation and this time,
#: in seconds: queues are estimates.
OVERDUE_MULTIPLE = 4.0
OVERDUE_SLACK_S = 0.1


@attrs.define
class QueuedTokens:
    """Prompt tokens queued at an engine."""

    #: Of requests that can still meet their target.
    urgent: float = 0.0
    #: Of requests that are served when no urgent ones are queued.
    deferred: float = 0.0

    def add(self, tokens: float, deferred: bool) -> None:
        """Add tokens; a negative number removes them."""
        if deferred:
            self.deferred += tokens
        else:
            self.urgent += tokens


@attrs.define
class SlotTimes:
    """Moving average of the time that requests occupy their slots."""

    #: Time by rank, in seconds.
    held_s: list[float] = attrs.field(
        factory=lambda: [INITIAL_SLOT_TIME_S] * _request_counts.URGENT_RANKS
    )

    def update(self, rank: int, held_s: float) -> None:
        """Add the time that a finished request occupied its slot."""
        rank = min(rank, _request_counts.URGENT_RANKS - 1)
        self.held_s[rank] += (held_s - self.held_s[rank]) * EWMA_WEIGHT


@attrs.define(eq=False)
class OutstandingPrefill:
    """A prefill that an engine has not finished."""

    #: Prompt tokens that it still counts in the load of the engine.
    tokens: float
    #: Prompt tokens that the engine has to prefill until it is done, with
    #: those queued before.
    work_tokens: float
    #: Whether it waits for requests that can still meet their target.
    deferred: bool
    #: When its last byte left this host, monotonic seconds.
    sent_s: float


@attrs.define
class EngineLoad:
    """Load of one engine, updated by the gateway as it sends requests."""

    #: Name of the engine.
    engine_id: str
    #: Failure domain of the engine.
    failure_domain: str
    #: Service that it belongs to.
    service: str
    #: Whether it only prefills or also decodes.
    role: ports.EngineRole
    #: Number of requests that it runs concurrently.
    slots: int
    #: Prompt parts that it should have cached, as far as this process knows.
    cache: _parts.PartCache
    #: Prompt tokens sent by this process and not prefilled yet.
    own_tokens: QueuedTokens = attrs.field(factory=QueuedTokens)
    #: Prompt tokens sent by other processes and not prefilled yet.
    peer_tokens: QueuedTokens = attrs.field(factory=QueuedTokens)
    #: Requests of this process at the engine.
    own_counts: _request_counts.RequestCounts = attrs.field(
        factory=_request_counts.RequestCounts
    )
    #: Requests of other processes at the engine.
    peer_counts: _request_counts.RequestCounts = attrs.field(
        factory=_request_counts.RequestCounts
    )
    #: Prompts that this process sent and has not reported to its peers yet.
    unreported_prompts: list[_parts.Prompt] = attrs.field(factory=list)
    #: Time that requests occupy a slot; shared by all engines of a service.
    slot_times: SlotTimes = attrs.field(factory=SlotTimes)
    #: Learned need of long streams; shared by all engines of a service.
    long_streams: _long_streams.LongStreams = attrs.field(
        factory=_long_streams.LongStreams
    )
    #: What other processes send; shared by all engines of a service.
    arrivals: _peer_arrivals.PeerArrivals = attrs.field(
        factory=_peer_arrivals.PeerArrivals
    )
    #: Learned speed.
    speed: _engine_speed.EngineSpeed = attrs.field(
        factory=lambda: _engine_speed.EngineSpeed(_engine_speed.ServiceSpeed())
    )
    #: Measured prefills that were not reported to other processes yet.
    unreported_samples: list[_engine_speed.PrefillSample] = attrs.field(
        factory=list
    )
    #: Prefills of this process that are not finished, the oldest first.
    outstanding: dict[OutstandingPrefill, None] = attrs.field(factory=dict)
    #: Version of its software.
    software_version: str = ""

    @property
    def key(self) -> str:
        """Return the name of the engine."""
        return self.engine_id

    @property
    def urgent_tokens(self) -> float:
        """Return the queued prompt tokens of urgent requests."""
        return self.own_tokens.urgent + self.peer_tokens.urgent

    @property
    def deferred_tokens(self) -> float:
        """Return the queued prompt tokens of deferred requests."""
        return self.own_tokens.deferred + self.peer_tokens.deferred

    @property
    def running_deferred_tokens(self) -> float:
        """Return the tokens of a deferred prefill that may be running.

        An engine prefills in the order of ranks, but finishes a prefill that
        it has begun.
        """
        deferred = self.requests - self.urgent_requests
        return self.deferred_tokens / max(deferred, 1)

    @property
    def waiting_tokens(self) -> float:
        """Return the queued prompt tokens of all requests."""
        return self.urgent_tokens + self.deferred_tokens

    @property
    def prefill_only(self) -> bool:
        """Return whether the engine only prefills and does not decode."""
        return self.role is ports.EngineRole.PREFILL

    @property
    def prefill_wait_s(self) -> float:
        """Return the time needed to prefill all queued prompt tokens."""
        return self.waiting_tokens * self.token_s

    @property
    def token_s(self) -> float:
        """Return the time to prefill one token, in seconds."""
        return self.speed.token_s(self.prefill_only)

    def prefill_s(self, tokens: float) -> float:
        """Return the time to prefill that many tokens, in seconds."""
        return self.speed.prefill_s(tokens, self.prefill_only)

    def record_prompt(self, prompt: _parts.Prompt) -> None:
        """Record a prompt that this process sends to the engine."""
        self.cache.record(prompt)
        self.unreported_prompts.append(prompt)

    def start_prefill(self, prefill: OutstandingPrefill) -> None:
        """Count a prefill that this process sends to the engine."""
        self.own_tokens.add(prefill.tokens, prefill.deferred)
        self.outstanding[prefill] = None
        if self.prefill_only:
            self.arrivals.record_own(
                prefill.tokens, prefill.deferred, prefill.sent_s
            )

    def end_prefill(self, prefill: OutstandingPrefill) -> None:
        """Remove a prefill that is finished or was abandoned."""
        if prefill in self.outstanding:
            del self.outstanding[prefill]
            self.own_tokens.add(-prefill.tokens, prefill.deferred)

    def record_prefill(
        self,
        prefill: OutstandingPrefill,
        took_s: float,
        now_s: float,
        finished: bool = True,
    ) -> None:
        """Learn from a prefill."""
        measured = _engine_speed.PrefillSample(
            self.prefill_only,
            _linear_time.TimeSample(
                prefill.work_tokens,
                took_s,
                queued=prefill.work_tokens > prefill.tokens,
            ),
            finished,
        )
        self.speed.record(measured, now_s)
        self.unreported_samples.append(measured)

    def record_unfinished(
        self, prefill: OutstandingPrefill, waited_s: float, now_s: float
    ) -> None:
        """Learn from a prefill that was abandoned.

        It would have taken longer than it was waited for, which says
        something only if it should have been finished.
        """
        if waited_s > self.prefill_s(prefill.work_tokens):
            self.record_prefill(prefill, waited_s, now_s, finished=False)

    def overdue_factor(self, now_s: float) -> float:
        """Return by how much outstanding prefills exceed their expectation.

        It is 1 if all of them may still be in time. An engine that turns slow
        or stops shows so here before anything has come back from it.
        """
        factor = 1.0
        for prefill in itertools.islice(self.outstanding, OVERDUE_CHECKED):
            if prefill.deferred:
                continue
            expected_s = self.prefill_s(prefill.work_tokens)
            limit_s = expected_s * OVERDUE_MULTIPLE + OVERDUE_SLACK_S
            factor = max(factor, (now_s - prefill.sent_s) / limit_s)
        return factor

    def record_slot_time(self, rank: int, held_s: float) -> None:
        """Learn from the time that a finished request occupied its slot."""
        self.slot_times.update(rank, held_s / self.speed.capability.factor)

    @property
    def requests(self) -> int:
        """Return the number of requests at the engine."""
        return self.own_counts.total + self.peer_counts.total

    def requests_of_rank(self, rank: int) -> int:
        """Return the number of requests of a rank, deferred or not."""
        deferred = _request_counts.engine_rank(rank, deferred=True)
        own, peers = self.own_counts.by_rank, self.peer_counts.by_rank
        return own[rank] + own[deferred] + peers[rank] + peers[deferred]

    def deferred_requests(self, rank: int) -> int:
        """Return the number of deferred requests up to a rank."""
        return self.own_counts.deferred(rank) + self.peer_counts.deferred(rank)

    @property
    def urgent_requests(self) -> int:
        """Return the number of requests that are not deferred."""
        return self.own_counts.urgent + self.peer_counts.urgent

    def slot_wait_s(self, rank: int, deferred: bool) -> float:
        """Return how long a new request would wait for a slot.

        One slot has to become free, and waiting requests that are at least as
        urgent go first. It is not known which requests are running: the least
        urgent ones are assumed to wait.
        """
        own, peers = self.own_counts.by_rank, self.peer_counts.by_rank
        counts = [a + b for a, b in zip(own, peers, strict=True)]
        if not deferred:
            counts = counts[: _request_counts.URGENT_RANKS]
        requests = sum(counts)
        if requests < self.slots:
            return 0.0
        held_s = [*self.slot_times.held_s, *self.slot_times.held_s]
        mean_s: float = sum(map(operator.mul, counts, held_s)) / requests
        last = _request_counts.engine_rank(rank, deferred)
        ahead = max(sum(counts[: last + 1]) - self.slots, 0)
        wait_s = (mean_s + ahead * held_s[last]) / self.slots
        return wait_s * self.speed.capability.factor

"""Load, cache contents and measured speed of an engine."""

import operator

import attrs

from ... import ports
from . import _parts
from . import _request_counts

#: Prefill speed that is assumed for an engine before it is measured.
INITIAL_PREFILL_TOKENS_PER_S = 260_000.0
#: Bounds of the estimated prefill speed.
MIN_PREFILL_TOKENS_PER_S = 20_000.0
MAX_PREFILL_TOKENS_PER_S = 2_000_000.0
#: Weight of one observation in the moving averages.
EWMA_WEIGHT = 0.05
#: Largest factor by which one observation may differ from the estimate.
OUTLIER_FACTOR = 4.0
#: Time that a request is assumed to occupy its slot before this is
#: measured, in seconds.
INITIAL_SLOT_TIME_S = 0.5


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
    #: Estimated prefill speed.
    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S

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
        return self.waiting_tokens / self.prefill_tokens_per_s

    def record_prompt(self, prompt: _parts.Prompt) -> None:
        """Record a prompt that this process sends to the engine."""
        self.cache.record(prompt)
        self.unreported_prompts.append(prompt)

    def update_speed(self, expected_s: float, took_s: float) -> None:
        """Adjust the estimated prefill speed by one measured prefill time.

        Times include the prefill of everything queued before. The time of a
        request that got lost says little about the speed, so the effect of
        one observation is bounded.
        """
        ratio = expected_s / max(took_s, 1e-4)
        ratio = min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)
        tokens_per_s = self.prefill_tokens_per_s * ratio**EWMA_WEIGHT
        self.prefill_tokens_per_s = min(
            max(tokens_per_s, MIN_PREFILL_TOKENS_PER_S),
            MAX_PREFILL_TOKENS_PER_S,
        )

    @property
    def requests(self) -> int:
        """Return the number of requests at the engine."""
        return self.own_counts.total + self.peer_counts.total

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
        return (mean_s + ahead * held_s[last]) / self.slots

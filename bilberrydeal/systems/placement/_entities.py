"""What placement knows of an engine."""

import operator

import attrs

from ... import ports
from . import _parts
from . import _request_counts

#: Prompt tokens that an engine reads a second until that is learnt.
FIRST_PREFILL_TOKENS_PER_S = 260_000.0
#: Bounds of what is learnt.
SLOWEST_TOKENS_PER_S = 20_000.0
FASTEST_TOKENS_PER_S = 2_000_000.0
#: Weight of one observation.
LEARNING_SHARE = 0.05
#: Largest factor by which one observation may differ.
OUTLIER_FACTOR = 4.0
#: Time that a request holds its slot until that is learnt, in seconds.
FIRST_HELD_S = 0.5


@attrs.define
class QueuedTokens:
    """Prompt tokens that wait at an engine."""

    #: Of requests that can still be served within their target.
    urgent: float = 0.0
    #: Of requests that are served once none of the former waits.
    deferred: float = 0.0

    def add(self, tokens: float, deferred: bool) -> None:
        """Add tokens, or take them away where negative."""
        if deferred:
            self.deferred += tokens
        else:
            self.urgent += tokens


@attrs.define
class SlotTimes:
    """How long requests hold their slots, learnt from those that ended."""

    #: By rank, in seconds.
    held_s: list[float] = attrs.field(
        factory=lambda: [FIRST_HELD_S] * _request_counts.URGENT_RANKS
    )

    def learn(self, rank: int, held_s: float) -> None:
        """Note how long a request of a rank held its slot."""
        rank = min(rank, _request_counts.URGENT_RANKS - 1)
        self.held_s[rank] += (held_s - self.held_s[rank]) * LEARNING_SHARE


@attrs.define
class EngineLoad:
    """One engine; the gateway writes what it sends and what it learns."""

    #: Name of the engine.
    engine_id: str
    #: The failure domain it is in.
    failure_domain: str
    #: Service that it belongs to.
    service: str
    #: Whether it only reads prompts or makes tokens.
    role: ports.EngineRole
    #: Requests that run at once.
    slots: int
    #: Parts that it should keep, as far as this process knows.
    cache: _parts.PartCache
    #: Prompt tokens that this process sent and that are not read yet.
    own: QueuedTokens = attrs.field(factory=QueuedTokens)
    #: Prompt tokens that other processes sent and that are not read yet.
    others: QueuedTokens = attrs.field(factory=QueuedTokens)
    #: Requests of this process there.
    own_counts: _request_counts.RequestCounts = attrs.field(
        factory=_request_counts.RequestCounts
    )
    #: Requests of other processes there.
    others_counts: _request_counts.RequestCounts = attrs.field(
        factory=_request_counts.RequestCounts
    )
    #: Prompts that this process sent there and has told nobody of.
    untold: list[_parts.Prompt] = attrs.field(factory=list)
    #: How long requests hold a slot; one for all engines of a service.
    slot_times: SlotTimes = attrs.field(factory=SlotTimes)
    #: Prompt tokens that it reads a second.
    prefill_tokens_per_s: float = FIRST_PREFILL_TOKENS_PER_S

    @property
    def key(self) -> str:
        """Return the name of the engine."""
        return self.engine_id

    @property
    def urgent_tokens(self) -> float:
        """Return the prompt tokens of requests that are read first."""
        return self.own.urgent + self.others.urgent

    @property
    def deferred_tokens(self) -> float:
        """Return the prompt tokens that are read after those."""
        return self.own.deferred + self.others.deferred

    @property
    def waiting_tokens(self) -> float:
        """Return the prompt tokens of all requests that are not read yet."""
        return self.urgent_tokens + self.deferred_tokens

    @property
    def reads_only(self) -> bool:
        """Return whether it reads prompts for engines that make tokens."""
        return self.role is ports.EngineRole.PREFILL

    @property
    def reading_wait_s(self) -> float:
        """Return the time that reading all that waits here takes."""
        return self.waiting_tokens / self.prefill_tokens_per_s

    def note_prompt(self, prompt: _parts.Prompt) -> None:
        """Note a prompt that this process sends there."""
        self.cache.use(prompt)
        self.untold.append(prompt)

    def learn(self, expected_s: float, took_s: float) -> None:
        """Correct the speed by how long a reading took.

        Times include the reading of what waited there before. One that lost
        its way says little of the speed, so its weight is bounded.
        """
        ratio = expected_s / max(took_s, 1e-4)
        ratio = min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)
        learnt = self.prefill_tokens_per_s * ratio**LEARNING_SHARE
        self.prefill_tokens_per_s = min(
            max(learnt, SLOWEST_TOKENS_PER_S), FASTEST_TOKENS_PER_S
        )

    @property
    def requests(self) -> int:
        """Return the requests there."""
        return self.own_counts.total + self.others_counts.total

    def deferred_requests(self, rank: int) -> int:
        """Return the deferred requests there that are as urgent as a rank."""
        return self.own_counts.deferred(rank) + self.others_counts.deferred(
            rank
        )

    @property
    def urgent_requests(self) -> int:
        """Return the requests there that are not deferred."""
        return self.own_counts.urgent + self.others_counts.urgent

    def slot_wait_s(self, rank: int, deferred: bool) -> float:
        """Return how long a new request would wait for a slot.

        One slot has to become free, then those of the waiting that are as
        urgent go first. Which of all run is not known: the least urgent are
        taken to wait.
        """
        own, others = self.own_counts.by_rank, self.others_counts.by_rank
        counts = [
            mine + theirs for mine, theirs in zip(own, others, strict=True)
        ]
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

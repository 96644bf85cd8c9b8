"""What placement knows of an engine."""

import attrs

from ... import ports
from . import _parts

#: Prompt tokens that an engine reads a second until that is learnt.
FIRST_PREFILL_TOKENS_PER_S = 260_000.0
#: Bounds of what is learnt.
SLOWEST_TOKENS_PER_S = 20_000.0
FASTEST_TOKENS_PER_S = 2_000_000.0
#: Weight of one observation.
LEARNING_SHARE = 0.05
#: Largest factor by which one observation may differ.
OUTLIER_FACTOR = 4.0


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
    #: Whether it takes new work.
    accepting: bool = True
    #: Prompt tokens that this process sent and that are not read yet.
    own: QueuedTokens = attrs.field(factory=QueuedTokens)
    #: Prompt tokens that other processes sent and that are not read yet.
    others: QueuedTokens = attrs.field(factory=QueuedTokens)
    #: Requests of this process there.
    own_requests: int = 0
    #: Those of them that are deferred.
    own_deferred_requests: int = 0
    #: Requests of other processes there.
    others_requests: int = 0
    #: Those of them that are deferred.
    others_deferred_requests: int = 0
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
        return self.own_requests + self.others_requests

    @property
    def urgent_requests(self) -> int:
        """Return the requests there that are not deferred."""
        deferred = self.own_deferred_requests + self.others_deferred_requests
        return max(self.requests - deferred, 0)

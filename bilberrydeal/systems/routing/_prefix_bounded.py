"""Routes by prefix locality, bounded by load."""

import attrs

from ... import ports
from .. import _entities
from . import _base
from . import _load
from . import _prefix_history

BOTH = ports.EngineRole.BOTH
DECODE = ports.EngineRole.DECODE
PREFILL = ports.EngineRole.PREFILL
#: Maximum number of endpoints considered for a cached prefix.
MAX_CACHED_ENDPOINTS = 4
#: Number of other endpoints considered, sampled for each request.
SAMPLE_SIZE = 6
#: Penalty of an endpoint in another failure domain, in seconds.
OTHER_DOMAIN_PENALTY_S = 0.001
#: Penalty of an endpoint whose circuit is half open, in seconds.
HALF_OPEN_PENALTY_S = 0.05
#: Tokens of KV cache transferred per second.
KV_TRANSFER_TOKENS_PER_S = 100_000.0
#: Fixed time of a KV cache transfer, in seconds.
KV_TRANSFER_BASE_S = 0.01


@attrs.frozen
class ScoredEndpoint:
    """An endpoint with its score for a request."""

    #: Expected time to first token, in seconds.
    score_s: float
    #: The endpoint.
    view: _entities.EndpointView
    #: Prompt tokens that are likely cached there.
    cached_tokens: int


@_base.ROUTERS.register("prefix_bounded")
class PrefixBounded(_base.Router):
    """Sends a request to the endpoint with the soonest expected first token.

    An endpoint that likely has a prefix of the prompt cached saves the time
    to compute it. It is chosen only while its backlog is longer by less than
    that, so that locality creates no hot spot. Besides these, only a small
    random sample of endpoints is considered, so that entries with the same
    stale reports do not all choose the same endpoint.
    """

    def __init__(self, options: _base.RouterOptions) -> None:
        super().__init__(options)
        self.history = _prefix_history.PrefixHistory(
            options.cache_blocks // _prefix_history.STRIDE
        )

    def choose(
        self,
        candidates: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _entities.EndpointView:
        """Return the best endpoint; also set a separate prefill endpoint."""
        cached = self._cached(request)
        prefill, decode, both = _by_role(candidates)
        combined = self._best(
            both or decode or prefill, request, cached, now_s
        )
        chosen = combined
        if prefill and decode:
            prefill_option = self._best(prefill, request, cached, now_s)
            decode_option = self._best(
                decode, request, {}, now_s, decodes_only=True
            )
            disaggregated_s = prefill_option.score_s + decode_option.score_s
            disaggregated_s += _kv_transfer_s(request.prompt_tokens)
            if not both or disaggregated_s < combined.score_s:
                chosen = decode_option
                self._prefill_at(prefill_option, request, now_s)
        if not request.prefill_endpoint_id:
            request.cached_tokens = chosen.cached_tokens
        self.history.sent(chosen.view.endpoint_id, request.blocks, now_s)
        return chosen.view

    def record_cache_events(
        self,
        endpoint_id: str,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Apply cache events to the history."""
        self.history.evicted(endpoint_id, evicted, now_s)
        self.history.stored(endpoint_id, stored, now_s)

    def reset_cache(self, endpoint_id: str) -> None:
        """Remove the endpoint's blocks from the history."""
        self.history.remove_endpoint(endpoint_id)

    def _prefill_at(
        self,
        scored: ScoredEndpoint,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> None:
        view = scored.view
        request.prefill_endpoint_id = view.endpoint_id
        request.cached_tokens = scored.cached_tokens
        _load.sent(view, now_s)
        self.history.sent(view.endpoint_id, request.blocks, now_s)
        # The decode endpoint receives the computed prompt.
        request.cached_tokens = request.prompt_tokens

    def _cached(self, request: _entities.PendingRequest) -> dict[str, int]:
        if not request.blocks:
            return {}
        return {
            match.endpoint_id: min(
                request.prompt_tokens,
                match.blocks * self.options.block_tokens,
            )
            for match in self.history.matches(
                request.blocks, MAX_CACHED_ENDPOINTS
            )
        }

    def _best(
        self,
        views: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        cached: dict[str, int],
        now_s: float,
        decodes_only: bool = False,
    ) -> ScoredEndpoint:
        candidates = self._candidates(views, cached)
        prompt_tokens = 0 if decodes_only else request.prompt_tokens
        best = None
        best_s = 0.0
        for view in candidates:
            to_compute = prompt_tokens - cached.get(view.endpoint_id, 0)
            score_s = self._score_s(view, to_compute, now_s)
            if best is None or score_s < best_s:
                best = view
                best_s = score_s
        assert best is not None
        return ScoredEndpoint(best_s, best, cached.get(best.endpoint_id, 0))

    def _candidates(
        self,
        views: list[_entities.EndpointView],
        cached: dict[str, int],
    ) -> list[_entities.EndpointView]:
        """Return endpoints with a cached prefix and a random sample."""
        if len(views) <= SAMPLE_SIZE:
            self.random.shuffle(views)
            return views
        candidates = self.random.sample(views, SAMPLE_SIZE)
        if cached:
            candidates += [
                view for view in views if view.endpoint_id in cached
            ]
        return candidates

    def _score_s(
        self, view: _entities.EndpointView, to_compute: float, now_s: float
    ) -> float:
        score_s = self.load_s(view)
        score_s += _load.prefill_s(view, to_compute)
        if view.failure_domain != self.options.failure_domain:
            score_s += OTHER_DOMAIN_PENALTY_S
        if view.circuit is _entities.CircuitState.HALF_OPEN:
            score_s += HALF_OPEN_PENALTY_S
        return score_s


def _by_role(
    candidates: list[_entities.EndpointView],
) -> tuple[
    list[_entities.EndpointView],
    list[_entities.EndpointView],
    list[_entities.EndpointView],
]:
    """Return the candidates for prefill only, decode only and both."""
    both = [view for view in candidates if view.role is BOTH]
    if len(both) == len(candidates):
        return [], [], both
    prefill = [view for view in candidates if view.role is PREFILL]
    decode = [view for view in candidates if view.role is DECODE]
    return prefill, decode, both


def _kv_transfer_s(prompt_tokens: int) -> float:
    return KV_TRANSFER_BASE_S + prompt_tokens / KV_TRANSFER_TOKENS_PER_S

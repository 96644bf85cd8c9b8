"""Prefix locality, as far as the load allows."""

import attrs

from ... import ports
from .. import _entities
from . import _base
from . import _history
from . import _load

BOTH = ports.EngineRole.BOTH
DECODE = ports.EngineRole.DECODE
PREFILL = ports.EngineRole.PREFILL
#: Endpoints with a part of the prompt that are looked at.
HOLDERS_LIMIT = 4
#: Other endpoints that are looked at, drawn at random for each request.
SAMPLE_SIZE = 6
#: Added for an endpoint in another failure domain, in seconds.
OTHER_DOMAIN_S = 0.001
#: Added for a request to an endpoint that is being tried out, in seconds.
HALF_OPEN_S = 0.05
#: Tokens of KV cache that are handed over a second.
HAND_OVER_TOKENS_PER_S = 100_000.0
#: Fixed time of a hand-over, in seconds.
HAND_OVER_S = 0.01


@attrs.frozen
class Option:
    """An endpoint that a request could go to."""

    #: Time until the first token, as expected, in seconds.
    score_s: float
    #: The endpoint.
    view: _entities.EndpointView
    #: Prompt tokens likely in its cache.
    cached_tokens: int


@_base.ROUTERS.register("prefix_bounded")
class PrefixBounded(_base.Router):
    """Sends a request where its first token is expected soonest.

    An endpoint that likely has a part of the prompt in its cache saves the
    time of computing it, and wins only while its backlog is longer by less
    than that, so locality never makes a hot spot. Besides those only a few
    endpoints, drawn at random, are weighed: entries that know the same stale
    reports do not all pick the same endpoint.
    """

    def __init__(self, options: _base.RouterOptions) -> None:
        super().__init__(options)
        self.history = _history.PrefixHistory(
            options.cache_blocks // _history.STRIDE
        )

    def choose(
        self,
        candidates: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _entities.EndpointView:
        """Return the best endpoint; a pair's prefill one is set as well."""
        cached = self._cached(request)
        prefill, decode, both = _by_role(candidates)
        whole = self._best(both or decode or prefill, request, cached, now_s)
        chosen = whole
        if prefill and decode:
            first = self._best(prefill, request, cached, now_s)
            second = self._best(decode, request, {}, now_s, decodes_only=True)
            pair_s = first.score_s + second.score_s
            pair_s += _hand_over_s(request.prompt_tokens)
            if not both or pair_s < whole.score_s:
                chosen = second
                self._prefill_at(first, request, now_s)
        if not request.prefill_endpoint_id:
            request.cached_tokens = chosen.cached_tokens
        self.history.sent(chosen.view.endpoint_id, request.blocks, now_s)
        return chosen.view

    def cache_changed(
        self,
        endpoint_id: str,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Add and remove the blocks in the history."""
        self.history.evicted(endpoint_id, evicted, now_s)
        self.history.stored(endpoint_id, stored, now_s)

    def cache_lost(self, endpoint_id: str) -> None:
        """Forget the endpoint's blocks."""
        self.history.forget_endpoint(endpoint_id)

    def _prefill_at(
        self,
        option: Option,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> None:
        view = option.view
        request.prefill_endpoint_id = view.endpoint_id
        request.cached_tokens = option.cached_tokens
        _load.sent(view, now_s)
        self.history.sent(view.endpoint_id, request.blocks, now_s)
        # The decoding endpoint gets the prompt computed.
        request.cached_tokens = request.prompt_tokens

    def _cached(self, request: _entities.PendingRequest) -> dict[str, int]:
        if not request.blocks:
            return {}
        return {
            match.endpoint_id: min(
                request.prompt_tokens,
                match.blocks * self.options.block_tokens,
            )
            for match in self.history.matches(request.blocks, HOLDERS_LIMIT)
        }

    def _best(
        self,
        views: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        cached: dict[str, int],
        now_s: float,
        decodes_only: bool = False,
    ) -> Option:
        pool = self._pool(views, cached)
        prompt_tokens = 0 if decodes_only else request.prompt_tokens
        best = None
        best_s = 0.0
        for view in pool:
            to_compute = prompt_tokens - cached.get(view.endpoint_id, 0)
            score_s = self._score_s(view, to_compute, now_s)
            if best is None or score_s < best_s:
                best = view
                best_s = score_s
        assert best is not None
        return Option(best_s, best, cached.get(best.endpoint_id, 0))

    def _pool(
        self,
        views: list[_entities.EndpointView],
        cached: dict[str, int],
    ) -> list[_entities.EndpointView]:
        """Return those with a part of the prompt and a few at random."""
        if len(views) <= SAMPLE_SIZE:
            self.random.shuffle(views)
            return views
        pool = self.random.sample(views, SAMPLE_SIZE)
        if cached:
            pool += [view for view in views if view.endpoint_id in cached]
        return pool

    def _score_s(
        self, view: _entities.EndpointView, to_compute: float, now_s: float
    ) -> float:
        score_s = self.load_s(view)
        score_s += _load.prefill_s(view, to_compute)
        if view.failure_domain != self.options.failure_domain:
            score_s += OTHER_DOMAIN_S
        if view.circuit is _entities.CircuitState.HALF_OPEN:
            score_s += HALF_OPEN_S
        return score_s


def _by_role(
    candidates: list[_entities.EndpointView],
) -> tuple[
    list[_entities.EndpointView],
    list[_entities.EndpointView],
    list[_entities.EndpointView],
]:
    """Return the candidates that prefill, decode and do both."""
    both = [view for view in candidates if view.role is BOTH]
    if len(both) == len(candidates):
        return [], [], both
    prefill = [view for view in candidates if view.role is PREFILL]
    decode = [view for view in candidates if view.role is DECODE]
    return prefill, decode, both


def _hand_over_s(prompt_tokens: int) -> float:
    return HAND_OVER_S + prompt_tokens / HAND_OVER_TOKENS_PER_S

"""Baseline placers to compare with the two-stage placer."""

from . import _base
from . import _entities
from . import _options
from . import _parts
from . import _two_stage

#: Time after which a refused caller is told to retry, in seconds.
RETRY_AFTER_S = 0.2


@_base.PLACERS.register("least_outstanding")
class LeastOutstandingPlacer:
    """Sends each request to the decode engine with the fewest requests."""

    def place(
        self, request: _base.Request, engines: _base.Engines, now_s: float
    ) -> _base.Outcome:
        """Choose the next engine for a request."""
        chosen = self.decode_engine(request, "", engines)
        if chosen is None:
            return _base.DeadlineUnreachable(RETRY_AFTER_S)
        return _base.Placement(chosen, False, request.prompt.tokens, 0.0)

    def decode_engine(
        self, request: _base.Request, prefilled_at: str, engines: _base.Engines
    ) -> str | None:
        """Return the decode engine with the fewest requests."""
        available = _base.untried_decode_engines(request, engines)
        if not available:
            return None
        return min(available, key=lambda engine: engine.requests).engine_id


@_base.PLACERS.register("no_locality")
class NoLocalityPlacer(_two_stage.TwoStagePlacer):
    """Two-stage placer that ignores the prompt caches of the engines."""

    def _uncached_tokens(
        self,
        prompt: _parts.Prompt,
        engine: _entities.EngineLoad,
        has_affinity: bool,
    ) -> float:
        """Return the size of the whole prompt."""
        return float(prompt.tokens)


@_base.PLACERS.register("first_come")
class FirstComePlacer(_two_stage.TwoStagePlacer):
    """Two-stage placer that queues late requests instead of deferring."""

    def _defer(
        self,
        request: _base.Request,
        options: list[_options.Option],
        engines: _base.Engines,
    ) -> _base.Outcome:
        """Queue a late request normally unless it would miss its deadline."""
        best = min(options, key=lambda option: option.expected_s)
        if best.expected_s > request.time_left_s:
            late_s = best.expected_s - request.time_left_s
            return _base.DeadlineUnreachable(
                max(late_s, RETRY_AFTER_S), best.expected_s
            )
        return _two_stage.placement_at(best, best.expected_s, deferred=False)


@_base.PLACERS.register("no_early_refusal")
class NoEarlyRefusalPlacer(_two_stage.TwoStagePlacer):
    """Two-stage placer that refuses requests only if there is no engine."""

    def _defer(
        self,
        request: _base.Request,
        options: list[_options.Option],
        engines: _base.Engines,
    ) -> _base.Outcome:
        """Defer a late request, no matter how late it is."""
        best = min(options, key=lambda option: option.deferred_s)
        return _two_stage.placement_at(best, best.deferred_s, deferred=True)

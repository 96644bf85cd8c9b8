"""Baselines that the product's placer is compared with."""

from . import _base
from . import _entities
from . import _options
from . import _parts
from . import _two_stage

#: When a caller returns after a refusal, in seconds.
RETRY_S = 0.2


@_base.PLACERS.register("least_outstanding")
class LeastOutstandingPlacer:
    """Sends each request to the decode engine with the fewest requests."""

    def place(
        self, request: _base.Request, engines: _base.Engines, now_s: float
    ) -> _base.Placement | _base.Hopeless:
        """Return where a request goes next."""
        chosen = self.decode_engine(request, "", engines)
        if chosen is None:
            return _base.Hopeless(RETRY_S)
        return _base.Placement(chosen, False, request.prompt.tokens, 0.0)

    def decode_engine(
        self, request: _base.Request, prefilled_at: str, engines: _base.Engines
    ) -> str | None:
        """Return the decode engine with the fewest requests."""
        able = _base.untried_makers(request, engines)
        if not able:
            return None
        return min(able, key=lambda engine: engine.requests).engine_id


@_base.PLACERS.register("no_locality")
class NoLocalityPlacer(_two_stage.TwoStagePlacer):
    """The product's placer, which knows of no kept parts."""

    def _missing(
        self,
        prompt: _parts.Prompt,
        engine: _entities.EngineLoad,
        home: bool,
    ) -> float:
        """Return all tokens of a prompt."""
        return float(prompt.tokens)


@_base.PLACERS.register("first_come")
class FirstComePlacer(_two_stage.TwoStagePlacer):
    """The product's placer without deferring: what is late waits in line."""

    def _defer(
        self,
        request: _base.Request,
        options: list[_options.Option],
        engines: _base.Engines,
    ) -> _base.Placement | _base.Hopeless:
        """Place a late request among all others, unless it is hopeless."""
        best = min(options, key=lambda option: option.expected_s)
        if best.expected_s > request.left_s:
            late_s = best.expected_s - request.left_s
            return _base.Hopeless(max(late_s, RETRY_S), best.expected_s)
        return _two_stage.placement_at(best, best.expected_s, deferred=False)


@_base.PLACERS.register("no_early_refusal")
class NoEarlyRefusalPlacer(_two_stage.TwoStagePlacer):
    """The product's placer, which refuses nothing while an engine lives."""

    def _defer(
        self,
        request: _base.Request,
        options: list[_options.Option],
        engines: _base.Engines,
    ) -> _base.Placement | _base.Hopeless:
        """Defer a late request, however late."""
        best = min(options, key=lambda option: option.deferred_s)
        return _two_stage.placement_at(best, best.deferred_s, deferred=True)

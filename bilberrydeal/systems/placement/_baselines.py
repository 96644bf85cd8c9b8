"""Baseline: the engine with the fewest requests, which does it all."""

from ... import ports
from . import _base

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
        able = [
            engine
            for engine in engines
            if engine.accepting
            and engine.role is not ports.EngineRole.PREFILL
            and engine.engine_id not in request.tried
        ]
        if not able:
            return None
        return min(able, key=lambda engine: engine.requests).engine_id

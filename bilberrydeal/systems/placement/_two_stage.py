"""Reads prompts where their shared parts lie and makes tokens elsewhere."""

import math

from . import _base
from . import _entities
from . import _options
from . import _parts

#: Requests that an engine is given at once for each of its slots: the
#: others wait there in the order of their ranks.
QUEUE_FACTOR = 2
#: The same where a deferred request would be one more.
DEFERRED_QUEUE_FACTOR = 1.25
#: Share of the slots of a decode engine that deferred requests may take:
#: those in time would wait for the others.
DEFERRED_SLOTS_SHARE = 0.25
#: Share of the shared tokens that the first engine by rendezvous rank has
#: beyond what this process knows.
HOME_SHARE = 0.15
#: Weight of slots that are all taken beside the wait for reading, in
#: seconds.
SLOTS_WEIGHT_S = 0.02
#: Share of the target within which a first token must be expected.
TARGET_SHARE = 0.85
#: Share of the time left within which a deferred request must be expected:
#: others will come in before it.
DEFERRED_SHARE = 0.6
#: Shortest time after which a refused caller is asked to return, in seconds.
RETRY_FLOOR_S = 0.05


@_base.PLACERS.register("two_stage")
class TwoStagePlacer:
    """Weighs the queue at each engine against the parts that it keeps.

    Long prompts are read at the prefill engine that should keep most of
    them, or at a decode engine where that is sooner; requests that share a
    part meet at one engine by rendezvous rank. A request that would miss
    its target is deferred: it waits behind those that can meet theirs. One
    that would miss its deadline even so is hopeless.
    """

    def place(
        self, request: _base.Request, engines: _base.Engines, now_s: float
    ) -> _base.Placement | _base.Hopeless:
        """Return where a request goes next."""
        options = self._options(request, engines)
        if not options:
            return _base.Hopeless(RETRY_FLOOR_S)
        best = min(options, key=lambda option: option.cost_s)
        limit_s = min(request.target_s * TARGET_SHARE, request.left_s)
        if best.expected_s > limit_s:
            best = min(options, key=lambda option: option.expected_s)
        if best.expected_s <= limit_s:
            return placement_at(best, best.expected_s, deferred=False)
        return self._defer(request, options, engines)

    def _defer(
        self,
        request: _base.Request,
        options: list[_options.Option],
        engines: _base.Engines,
    ) -> _base.Placement | _base.Hopeless:
        """Place a request that is late behind those that are not.

        It waits where no tokens are made: a queue of long prompts would slow
        down those of many others.
        """
        apart = [option for option in options if option.split]
        best = min(apart or options, key=lambda option: option.deferred_s)
        late_s = best.deferred_s - request.left_s * DEFERRED_SHARE
        if late_s > 0.0:
            retry_s = max(late_s, RETRY_FLOOR_S)
            return _base.Hopeless(retry_s, best.deferred_s)
        if not _may_defer(request, best.engine, engines):
            # By then what was deferred before it has been served.
            return _base.Hopeless(best.deferred_s, best.deferred_s)
        return placement_at(best, best.deferred_s, deferred=True)

    def decode_engine(
        self, request: _base.Request, prefilled_at: str, engines: _base.Engines
    ) -> str | None:
        """Return the engine that makes the tokens, with the least to do."""
        able = [
            engine
            for engine in _base.untried_makers(request, engines)
            if engine.requests < engine.slots * QUEUE_FACTOR
        ]
        if not able:
            return None
        source = next(
            (e for e in engines if e.engine_id == prefilled_at), None
        )
        domain = source.failure_domain if source else request.failure_domain

        def cost(engine: _entities.EngineLoad) -> float:
            waits_s = engine.waiting_tokens / _options.speed(engine)
            share = engine.requests / engine.slots
            apart = engine.failure_domain != domain
            return (
                waits_s
                + share * SLOTS_WEIGHT_S
                + apart * _options.DOMAIN_WEIGHT_S
            )

        return min(able, key=cost).engine_id

    def _missing(
        self,
        prompt: _parts.Prompt,
        engine: _entities.EngineLoad,
        home: bool,
    ) -> float:
        """Return the tokens of a prompt that an engine has to read."""
        cached = float(engine.cache.cached_tokens(prompt))
        if home:
            cached += max(prompt.shared_tokens - cached, 0.0) * HOME_SHARE
        return max(prompt.tokens - cached, 1.0)

    def _options(
        self, request: _base.Request, engines: _base.Engines
    ) -> list[_options.Option]:
        able = [
            engine
            for engine in engines
            if engine.engine_id not in request.tried
            and engine.requests < engine.slots * QUEUE_FACTOR
        ]
        eligible = _options.eligible(request.prompt, able)
        if not eligible:
            return []
        home = _options.home(request.prompt, eligible)
        elsewhere = _options.slot_wait(
            request,
            [engine for engine in able if not engine.reads_only],
        )
        return [
            _options.weighed(
                request,
                engine,
                elsewhere,
                self._missing(
                    request.prompt, engine, engine.engine_id == home
                ),
            )
            for engine in eligible
        ]


def _may_defer(
    request: _base.Request,
    chosen: _entities.EngineLoad,
    engines: _base.Engines,
) -> bool:
    """Return whether a request may wait behind those in time.

    Short prompts delay no reading, and what was begun would be lost.
    """
    if request.begun or request.prompt.tokens < _options.SHORT_TOKENS:
        return True
    return _has_room_to_defer(request, chosen, engines)


def _has_room_to_defer(
    request: _base.Request,
    chosen: _entities.EngineLoad,
    engines: _base.Engines,
) -> bool:
    """Return whether one more deferred request keeps no slots from others."""
    shares = [
        engine.deferred_requests(request.rank) / engine.slots
        for engine in engines
        if not engine.reads_only
    ]
    return (
        chosen.requests < chosen.slots * DEFERRED_QUEUE_FACTOR
        and min(shares, default=math.inf) < DEFERRED_SLOTS_SHARE
    )


def placement_at(
    option: _options.Option, expected_s: float, deferred: bool
) -> _base.Placement:
    """Return the placement that an option stands for."""
    return _base.Placement(
        engine_id=option.engine.engine_id,
        split=option.split,
        missing_tokens=option.missing_tokens,
        expected_s=expected_s,
        read_s=option.read_s,
        deferred=deferred,
    )

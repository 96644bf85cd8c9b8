"""Reads prompts where their shared parts lie and makes tokens elsewhere."""

import math

import attrs

from ... import ports
from . import _base
from . import _entities
from . import _parts

#: An engine that makes tokens reads prompts at this share of the speed of
#: one that only reads.
DECODE_READ_SHARE = 0.5
#: Prompts with fewer tokens to read go to where their tokens are made.
SHORT_TOKENS = 768
#: Requests that an engine is given at once for each of its slots: the
#: others wait there in the order of their ranks.
QUEUE_FACTOR = 2
#: The same where a deferred request would be one more.
DEFERRED_QUEUE_FACTOR = 1.25
#: Share of the slots of a decode engine that deferred requests may take:
#: those in time would wait for the others.
DEFERRED_SLOTS_SHARE = 0.25
#: Share of its slots up to which a decode engine also reads long prompts.
READING_SLOTS_SHARE = 0.4
#: Ranks the decode engines.
_MAIN_DECODER = b"main decoder"
#: Share of the shared tokens that the first engine by rendezvous rank has
#: beyond what this process knows.
HOME_SHARE = 0.15
#: Time for handing the cache over and the first step, in seconds.
HAND_OVER_S = 0.012
#: Weight of the reading itself beside the time to the first token: reading
#: takes capacity from all others.
READING_WEIGHT = 10.0
#: Weight of another failure domain, in seconds.
DOMAIN_WEIGHT_S = 0.002
#: Weight of slots that are all taken beside the wait for reading, in
#: seconds.
SLOTS_WEIGHT_S = 0.02
#: Share of the target within which a first token must be expected.
TARGET_SHARE = 0.85
#: Share of the time left within which a deferred request must be expected:
#: others will come in before it.
DEFERRED_SHARE = 0.6
#: Tokens of deferred requests that an engine has begun to read.
BEGUN_TOKENS = 3_000
#: Sends of a prompt that is read at one engine and goes on at another.
SPLIT_SENDS = 2
#: Shortest time after which a refused caller is asked to return, in seconds.
RETRY_FLOOR_S = 0.05


@attrs.frozen
class Option:
    """A way to serve a request."""

    engine: _entities.EngineLoad
    split: bool
    missing_tokens: float
    #: Time until the prompt is read where it is read first.
    read_s: float
    #: Time to the first token then.
    expected_s: float
    #: Time to the first token where it waits for all others.
    deferred_s: float
    #: What the choice goes by.
    cost_s: float


@attrs.frozen
class _SlotWait:
    """How long a request would wait for a slot, in seconds."""

    #: Where it can be in time.
    in_time_s: float
    #: Where it is deferred.
    deferred_s: float


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
        options: list[Option],
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
            waiting = engine.urgent_tokens + engine.deferred_tokens
            waits_s = waiting / _speed(engine)
            share = engine.requests / engine.slots
            apart = engine.failure_domain != domain
            return waits_s + share * SLOTS_WEIGHT_S + apart * DOMAIN_WEIGHT_S

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
    ) -> list[Option]:
        able = [
            engine
            for engine in engines
            if engine.engine_id not in request.tried
            and engine.requests < engine.slots * QUEUE_FACTOR
        ]
        eligible = _eligible(request.prompt, able)
        if not eligible:
            return []
        home = _home(request.prompt, eligible)
        elsewhere = _slot_wait(
            request,
            [
                engine
                for engine in able
                if engine.role is not ports.EngineRole.PREFILL
            ],
        )
        return [
            _option(
                request,
                engine,
                elsewhere,
                self._missing(
                    request.prompt, engine, engine.engine_id == home
                ),
            )
            for engine in eligible
        ]


def _eligible(
    prompt: _parts.Prompt, engines: _base.Engines
) -> list[_entities.EngineLoad]:
    """Return the engines where a prompt may be read.

    Long prompts are read where they delay no tokens of others: at prefill
    engines and at all decode engines but one, which makes tokens only. Short
    ones are read where their tokens are made.
    """
    decoders = [
        engine
        for engine in engines
        if engine.role is not ports.EngineRole.PREFILL
    ]
    if not decoders or prompt.tokens < SHORT_TOKENS:
        return decoders
    main = main_decoder(decoders)
    apart = [
        engine
        for engine in engines
        if engine.role is ports.EngineRole.PREFILL
        or (engine is not main and _has_room_to_read(engine))
    ]
    return apart or decoders


def _has_room_to_read(decoder: _entities.EngineLoad) -> bool:
    """Return whether long prompts would delay the tokens of few others."""
    return decoder.requests < decoder.slots * READING_SLOTS_SHARE


def main_decoder(
    decoders: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    """Return the decode engine that reads no long prompts.

    All gateways agree on it by rank, without a message.
    """
    return max(
        decoders, key=lambda each: _parts.rank(_MAIN_DECODER, each.engine_id)
    )


def _option(
    request: _base.Request,
    engine: _entities.EngineLoad,
    elsewhere: _SlotWait,
    missing: float,
) -> Option:
    split = engine.role is ports.EngineRole.PREFILL
    slot_wait = elsewhere if split else _slot_wait(request, [engine])
    speed = _speed(engine)
    reading_s = missing / speed
    begun = min(engine.deferred_tokens, BEGUN_TOKENS)
    sends = SPLIT_SENDS if split else 1
    hand_over_s = sends * request.uplink_s + (HAND_OVER_S if split else 0.0)
    read_s = (engine.urgent_tokens + begun) / speed + reading_s
    expected_s = read_s + hand_over_s + slot_wait.in_time_s
    queued = engine.urgent_tokens + engine.deferred_tokens
    deferred_s = queued / speed + reading_s + hand_over_s
    apart = engine.failure_domain != request.failure_domain
    cost_s = expected_s + reading_s * READING_WEIGHT + apart * DOMAIN_WEIGHT_S
    if request.prompt.tokens < SHORT_TOKENS:
        # Its tokens would be made between the reading of all others.
        cost_s += engine.deferred_tokens / speed
    return Option(
        engine=engine,
        split=split,
        missing_tokens=missing,
        read_s=read_s,
        expected_s=expected_s,
        deferred_s=deferred_s + slot_wait.deferred_s,
        cost_s=cost_s,
    )


def _slot_wait(
    request: _base.Request, makers: list[_entities.EngineLoad]
) -> _SlotWait:
    """Return the shortest wait for a slot of engines that make tokens."""
    rank = request.rank
    return _SlotWait(
        min(
            (engine.slot_wait_s(rank, False) for engine in makers), default=0.0
        ),
        min(
            (engine.slot_wait_s(rank, True) for engine in makers), default=0.0
        ),
    )


def _may_defer(
    request: _base.Request,
    chosen: _entities.EngineLoad,
    engines: _base.Engines,
) -> bool:
    """Return whether a request may wait behind those in time.

    Short prompts delay no reading, and what was begun would be lost.
    """
    if request.begun or request.prompt.tokens < SHORT_TOKENS:
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
        if engine.role is not ports.EngineRole.PREFILL
    ]
    return (
        chosen.requests < chosen.slots * DEFERRED_QUEUE_FACTOR
        and min(shares, default=math.inf) < DEFERRED_SLOTS_SHARE
    )


def placement_at(
    option: Option, expected_s: float, deferred: bool
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


def _speed(engine: _entities.EngineLoad) -> float:
    """Return the prompt tokens that an engine reads a second."""
    if engine.role is ports.EngineRole.PREFILL:
        return engine.prefill_tokens_per_s
    return engine.prefill_tokens_per_s * DECODE_READ_SHARE


def _home(prompt: _parts.Prompt, engines: _base.Engines) -> str:
    """Return the engine where requests that share a part meet."""
    return max(
        engines,
        key=lambda engine: _parts.rank(
            prompt.affinity, engine.engine_id, _weight(engine)
        ),
    ).engine_id


def _weight(engine: _entities.EngineLoad) -> float:
    prefills = engine.role is ports.EngineRole.PREFILL
    return 1.0 if prefills else DECODE_READ_SHARE

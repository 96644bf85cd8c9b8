"""The ways to serve a request, with what each takes."""

import attrs

from . import _base
from . import _entities
from . import _parts

#: An engine that makes tokens reads prompts at this share of the speed of
#: one that only reads.
DECODE_READ_SHARE = 0.5
#: Prompts with fewer tokens to read go to where their tokens are made.
SHORT_TOKENS = 768
#: Share of its slots up to which a decode engine also reads long prompts.
READING_SLOTS_SHARE = 0.4
#: Ranks the decode engines.
_MAIN_DECODER = b"main decoder"
#: Time for handing the cache over and the first step, in seconds.
HAND_OVER_S = 0.012
#: Weight of the reading itself beside the time to the first token: reading
#: takes capacity from all others.
READING_WEIGHT = 10.0
#: Weight of another failure domain, in seconds.
DOMAIN_WEIGHT_S = 0.002
#: Tokens of deferred requests that an engine has begun to read.
BEGUN_TOKENS = 3_000
#: Sends of a prompt that is read at one engine and goes on at another.
SPLIT_SENDS = 2


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
class SlotWait:
    """How long a request would wait for a slot, in seconds."""

    #: Where it can be in time.
    in_time_s: float
    #: Where it is deferred.
    deferred_s: float


def eligible(
    prompt: _parts.Prompt, engines: _base.Engines
) -> list[_entities.EngineLoad]:
    """Return the engines where a prompt may be read.

    Long prompts are read where they delay no tokens of others: at prefill
    engines and at all decode engines but one, which makes tokens only. Short
    ones are read where their tokens are made.
    """
    decoders = [engine for engine in engines if not engine.reads_only]
    if not decoders or prompt.tokens < SHORT_TOKENS:
        return decoders
    main = main_decoder(decoders)
    apart = [
        engine
        for engine in engines
        if engine.reads_only
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


def weighed(
    request: _base.Request,
    engine: _entities.EngineLoad,
    elsewhere: SlotWait,
    missing: float,
) -> Option:
    """Return what it would take to have an engine read a prompt.

    ``missing`` are the tokens that it would have to read, ``elsewhere`` the
    wait for a slot where another engine makes the tokens.
    """
    split = engine.reads_only
    wait = elsewhere if split else slot_wait(request, [engine])
    tokens_per_s = speed(engine)
    reading_s = missing / tokens_per_s
    begun = min(engine.deferred_tokens, BEGUN_TOKENS)
    sends = SPLIT_SENDS if split else 1
    hand_over_s = sends * request.uplink_s + (HAND_OVER_S if split else 0.0)
    read_s = (engine.urgent_tokens + begun) / tokens_per_s + reading_s
    expected_s = read_s + hand_over_s + wait.in_time_s
    deferred_s = engine.waiting_tokens / tokens_per_s
    deferred_s += reading_s + hand_over_s
    apart = engine.failure_domain != request.failure_domain
    cost_s = expected_s + reading_s * READING_WEIGHT + apart * DOMAIN_WEIGHT_S
    if request.prompt.tokens < SHORT_TOKENS:
        # Its tokens would be made between the reading of all others.
        cost_s += engine.deferred_tokens / tokens_per_s
    return Option(
        engine=engine,
        split=split,
        missing_tokens=missing,
        read_s=read_s,
        expected_s=expected_s,
        deferred_s=deferred_s + wait.deferred_s,
        cost_s=cost_s,
    )


def slot_wait(
    request: _base.Request, makers: list[_entities.EngineLoad]
) -> SlotWait:
    """Return the shortest wait for a slot of engines that make tokens."""
    rank = request.rank
    return SlotWait(
        min(
            (engine.slot_wait_s(rank, False) for engine in makers), default=0.0
        ),
        min(
            (engine.slot_wait_s(rank, True) for engine in makers), default=0.0
        ),
    )


def speed(engine: _entities.EngineLoad) -> float:
    """Return the prompt tokens that an engine reads a second."""
    if engine.reads_only:
        return engine.prefill_tokens_per_s
    return engine.prefill_tokens_per_s * DECODE_READ_SHARE


def home(prompt: _parts.Prompt, engines: _base.Engines) -> str:
    """Return the engine where requests that share a part meet."""
    return max(
        engines,
        key=lambda engine: _parts.rank(
            prompt.affinity, engine.engine_id, _weight(engine)
        ),
    ).engine_id


def _weight(engine: _entities.EngineLoad) -> float:
    return 1.0 if engine.reads_only else DECODE_READ_SHARE

"""Candidate engines for a request, with their expected times and costs."""

import attrs

from . import _base
from . import _entities
from . import _fetching
from . import _long_streams
from . import _parts
from . import _slot_lending

#: Weight of an engine that also decodes in rendezvous hashing, where one that
#: only prefills has 1.
MIXED_WEIGHT = 0.5
#: Prompts with fewer tokens are prefilled by the engine that decodes.
SHORT_PROMPT_TOKENS = 768
#: Largest share of busy slots with which a decode engine also prefills long
#: prompts.
PREFILL_SLOTS_SHARE = 0.4
#: Weight of the prefill time relative to the time to the first token: prefill
#: uses capacity that other requests need.
PREFILL_TIME_WEIGHT = 10.0
#: Cost of an engine in another failure domain, in seconds.
REMOTE_DOMAIN_PENALTY_S = 0.002
#: Share of an engine's time that deferred requests have at least.
MIN_DEFERRED_SHARE = 0.25
#: Number of sends for a request that is prefilled and decoded at different
#: engines.
SEPARATE_DECODE_SENDS = 2


@attrs.frozen
class Option:
    """An engine that could prefill a request."""

    engine: _entities.EngineLoad
    #: Whether another engine decodes.
    separate_decode: bool
    #: Prompt tokens that the engine would have to prefill.
    uncached_tokens: float
    #: The same with those that are queued before, if not deferred.
    work_tokens: float
    #: Transfer of cached parts of the prompt before the prefill.
    fetch: _fetching.Fetch | None
    #: Expected wait for a slot if the request is not deferred, in seconds.
    slot_wait_s: float
    #: Time until prefill is finished if the request is not deferred.
    prefill_s: float
    #: Time to the first token if the request is not deferred.
    expected_s: float
    #: Time to the first token if the request is deferred.
    deferred_s: float
    #: Cost by which options are compared.
    cost_s: float
    #: The same if the request is deferred.
    deferred_cost_s: float


@attrs.frozen
class SlotWait:
    """Expected time until a request gets a slot, in seconds."""

    #: If the request is not deferred.
    urgent_s: float
    #: If the request is deferred.
    deferred_s: float


def deferred_share(engines: _base.Engines, now_s: float) -> float:
    """Return the share of time that prefill engines have for deferred ones.

    The others, from all gateways, go first, also those that come later.
    """
    prefilling = [engine for engine in engines if engine.prefill_only]
    if not prefilling:
        return 1.0
    arrivals = prefilling[0].arrivals
    # In a large fleet the candidates get their share of what is sent.
    share = len(prefilling) / max(arrivals.prefill_engines, len(prefilling))
    urgent_rate = arrivals.urgent_tokens_per_s(now_s) * share
    speed = sum(1 / engine.token_s for engine in prefilling)
    return max(1.0 - urgent_rate / speed, MIN_DEFERRED_SHARE)


def eligible(
    request: _base.Request,
    available: _base.Engines,
    engines: _base.Engines,
) -> list[_entities.EngineLoad]:
    """Return the available engines that may prefill a request's prompt.

    Long prompts are prefilled where they do not delay the decoding of other
    requests: by prefill engines and lightly loaded decode engines, except the
    main one and those protected for long streams. Short prompts are prefilled
    by the engine that decodes.
    """
    decode_engines = [each for each in available if not each.prefill_only]
    if not decode_engines:
        return decode_engines
    all_decode_engines = [each for each in engines if not each.prefill_only]
    if request.prompt.tokens < SHORT_PROMPT_TOKENS:
        found = _slot_lending.preferred(
            request.rank, decode_engines, all_decode_engines
        )
        # Refusing a request that may have run would lose that work.
        return found or (decode_engines if request.may_have_run else [])
    candidates = _eligible_for_long_prompts(
        available, decode_engines, all_decode_engines
    )
    if candidates:
        return candidates
    found = _slot_lending.preferred(
        request.rank, decode_engines, all_decode_engines
    )
    return found or (decode_engines if request.may_have_run else [])


def _eligible_for_long_prompts(
    available: _base.Engines,
    decode_engines: list[_entities.EngineLoad],
    all_decode_engines: list[_entities.EngineLoad],
) -> list[_entities.EngineLoad]:
    streams = decode_engines[0].long_streams
    protected = {each.key for each in streams.protected(all_decode_engines)}
    protected.add(main_decode_engine(decode_engines).key)
    return [
        engine
        for engine in available
        if engine.prefill_only
        or (engine.key not in protected and _can_prefill(engine))
    ]


def _can_prefill(engine: _entities.EngineLoad) -> bool:
    """Return whether long prompts would delay only a few other requests."""
    return engine.requests < engine.slots * PREFILL_SLOTS_SHARE


def main_decode_engine(
    decode_engines: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    """Return the decode engine that never prefills long prompts.

    It has the highest rendezvous score, so all gateways choose the same one
    without exchanging messages. Long streams may need further such engines,
    see ``LongStreams.protected``.
    """
    return _long_streams.by_rendezvous_score(decode_engines)[0]


def evaluate_option(
    request: _base.Request,
    engine: _entities.EngineLoad,
    decode_wait: SlotWait,
    uncached_tokens: float,
    fetch: _fetching.Fetch | None,
    left_share: float,
    now_s: float,
) -> Option:
    """Return the expected times and cost of prefilling at an engine.

    ``uncached_tokens`` is the number of tokens to prefill, ``decode_wait``
    the wait for a slot if another engine decodes. Before it prefills the
    engine carries out ``fetch``, if any. Deferred requests get ``left_share``
    of the time of an engine that does not decode.
    """
    separate_decode = engine.prefill_only
    wait = decode_wait if separate_decode else slot_wait(request, [engine])
    overdue = engine.overdue_factor(now_s)
    fetch_s = fetch.takes_s if fetch is not None else 0.0
    own_prefill_s = engine.prefill_s(uncached_tokens) * overdue + fetch_s
    # Gateways that see the same loads would all choose the same engine if one
    # that has the prompt cached were hardly better than one that fetches it.
    fetched_tokens = fetch.tokens if fetch is not None else 0.0
    unfetched_s = engine.prefill_s(uncached_tokens + fetched_tokens) * overdue
    running = engine.running_deferred_tokens
    sends = SEPARATE_DECODE_SENDS if separate_decode else 1
    transfer_s = sends * request.uplink_s
    if separate_decode:
        transfer_s += engine.speed.transfer_s(request.prompt.tokens)
    work_tokens = engine.urgent_tokens + running + uncached_tokens
    prefill_s = engine.prefill_s(work_tokens) * overdue + fetch_s
    expected_s = prefill_s + transfer_s + wait.urgent_s
    deferred_s = engine.prefill_wait_s * overdue
    if separate_decode:
        # Requests that come later and are not deferred go first.
        deferred_s /= left_share
    deferred_s += own_prefill_s + transfer_s
    remote = engine.failure_domain != request.failure_domain
    capacity_cost_s = (
        unfetched_s * PREFILL_TIME_WEIGHT + remote * REMOTE_DOMAIN_PENALTY_S
    )
    cost_s = expected_s + capacity_cost_s
    if request.prompt.tokens < SHORT_PROMPT_TOKENS:
        # Its decode steps would alternate with the prefill of all others.
        cost_s += engine.deferred_tokens * engine.token_s
    return Option(
        engine=engine,
        separate_decode=separate_decode,
        uncached_tokens=uncached_tokens,
        work_tokens=work_tokens,
        slot_wait_s=wait.urgent_s,
        fetch=fetch,
        prefill_s=prefill_s,
        expected_s=expected_s,
        deferred_s=deferred_s + wait.deferred_s,
        cost_s=cost_s,
        deferred_cost_s=deferred_s + wait.deferred_s + capacity_cost_s,
    )


def slot_wait(
    request: _base.Request, decode_engines: list[_entities.EngineLoad]
) -> SlotWait:
    """Return the shortest wait for a slot among decode engines."""
    rank = request.rank
    return SlotWait(
        min(
            (engine.slot_wait_s(rank, False) for engine in decode_engines),
            default=0.0,
        ),
        min(
            (engine.slot_wait_s(rank, True) for engine in decode_engines),
            default=0.0,
        ),
    )


def affinity_engine(prompt: _parts.Prompt, engines: _base.Engines) -> str:
    """Return the engine for all requests with the same affinity key.

    Requests that share a prefix are sent to one engine to reuse its cache.
    """
    return max(
        engines,
        key=lambda engine: _parts.rendezvous_score(
            prompt.affinity, engine.engine_id, _weight(engine)
        ),
    ).engine_id


def _weight(engine: _entities.EngineLoad) -> float:
    return 1.0 if engine.prefill_only else MIXED_WEIGHT

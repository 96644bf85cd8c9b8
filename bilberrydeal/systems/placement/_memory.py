"""Admits requests by the memory of the engines that decode.

A request holds its prompt and its output in the memory of an engine. One that
runs out of memory stops the newest of its least urgent requests, even between
two events, and prefills it again.
"""

from . import _base
from . import _entities

#: Share of the memory that requests may hold; the rest is left for cached
#: parts that other requests rely on. Requests hold all that is counted for
#: them only at their end, so more than this is left at most times.
USABLE_SHARE = 0.95

Engines = list[_entities.EngineLoad]


def wait_s(request: _base.Request, engines: _base.Engines) -> float:
    """Return the time until there is room for a request, in seconds.

    It is 0 if there is, if any capacity is not known, or while no engine has
    requests: a prompt that is larger than the memory is not for this to
    refuse. Less urgent requests are stopped for more urgent ones.
    """
    decode_engines = [each for each in engines if not each.prefill_only]
    if not all(each.kv_capacity_tokens for each in decode_engines):
        return 0.0
    if not any(each.requests for each in decode_engines):
        return 0.0
    held_s = _mean_held_s(decode_engines)
    coming = _coming_tokens(engines, held_s)
    short = _pool_short(request, decode_engines, coming)
    if not short or _takes_room(request, engines):
        return 0.0
    held = sum(map(_running_tokens, decode_engines))
    return short / max(held, short) * held_s


def _pool_short(
    request: _base.Request, decode_engines: Engines, coming: float
) -> float:
    """Return the tokens by which all engines together are short."""
    room = sum(
        max(_usable_tokens(each) - _running_tokens(each), 0.0)
        for each in decode_engines
    )
    nearest = min(
        (_short_tokens(request, each) for each in decode_engines), default=0.0
    )
    return max(coming + request.prompt.held_tokens - room, nearest, 0.0)


def _coming_tokens(engines: _base.Engines, held_s: float) -> float:
    """Return the tokens that come from the engines that only prefill.

    A long queue of prompts does not come at once: what decodes now, and the
    first of them, will have ended by then.
    """
    prefill_engines = [each for each in engines if each.prefill_only]
    if not prefill_engines:
        return 0.0
    tokens = sum(each.promised_tokens for each in prefill_engines)
    queues_s = [each.prefill_wait_s for each in prefill_engines]
    queue_s = sum(queues_s) / len(queues_s)
    return tokens * held_s / max(queue_s, held_s)


def _takes_room(request: _base.Request, engines: _base.Engines) -> bool:
    """Return whether less urgent requests hold enough for a request."""
    room = 0.0
    for engine in engines:
        room -= engine.promised_up_to(request.rank)
        if not engine.prefill_only:
            room += _usable_tokens(engine)
    return room >= request.prompt.held_tokens


def with_room(request: _base.Request, engines: Engines) -> Engines:
    """Return the engines without those that lack room for a request.

    If all that decode lack it, those remain at which only less urgent requests
    would be stopped, else all.
    """
    decode_engines = [each for each in engines if not each.prefill_only]
    room = [
        each for each in decode_engines if not _short_tokens(request, each)
    ]
    if len(room) == len(decode_engines):
        return engines
    found = room or [
        each
        for each in decode_engines
        if each.promised_up_to(request.rank) + request.prompt.held_tokens
        <= _usable_tokens(each)
    ]
    names = {each.key for each in found or decode_engines}
    return [each for each in engines if each.prefill_only or each.key in names]


def _short_tokens(
    request: _base.Request, engine: _entities.EngineLoad
) -> float:
    """Return the tokens by which memory is short, 0 if it is not known."""
    if not engine.kv_capacity_tokens:
        return 0.0
    held = _running_tokens(engine) + request.prompt.held_tokens
    return max(held - _usable_tokens(engine), 0.0)


def _usable_tokens(engine: _entities.EngineLoad) -> float:
    return engine.kv_capacity_tokens * USABLE_SHARE


def _running_tokens(engine: _entities.EngineLoad) -> float:
    """Return the tokens of the requests that have slots."""
    share = engine.slots / max(engine.requests, engine.slots, 1)
    return engine.promised_tokens * share


def _mean_held_s(engines: Engines) -> float:
    """Return the mean time that the present requests hold their slots."""
    total_s, total = 0.0, 0
    for engine in engines:
        for rank, held_s in enumerate(engine.slot_times.held_s):
            count = engine.requests_of_rank(rank)
            total_s += count * held_s
            total += count
    return total_s / max(total, 1)

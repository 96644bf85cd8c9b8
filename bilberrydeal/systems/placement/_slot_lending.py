"""Decides where requests decode while long streams and others compete.

Slots of the protected engines are kept for long streams. Other requests borrow
them while that leaves enough, and return them by ending.
"""

import math

from . import _entities

#: Share of the target of a long stream for which it may wait for a slot.
OWNER_WAIT_SHARE = 0.25
#: Standard deviations by which more long streams may come than expected.
OWNER_DEVIATIONS = 2.0

Engines = list[_entities.EngineLoad]


def preferred(
    rank: int, available: Engines, decode_engines: Engines
) -> Engines:
    """Return the available engines at which a request should decode.

    Long streams go to protected engines while these have free slots. Other
    requests go elsewhere, or borrow slots there; they never queue there, since
    an engine starts the most urgent ones first. Which engines are protected
    follows from all that decode, also from those that are not available.
    """
    if not decode_engines:
        return available
    streams = decode_engines[0].long_streams
    if not streams.competing(decode_engines):
        return available
    names = {engine.key for engine in streams.protected(decode_engines)}
    kept = [engine for engine in available if engine.key in names]
    others = [engine for engine in available if engine.key not in names]
    if streams.is_long(rank):
        return _free(kept) or _free(others) or available
    lent = [
        engine
        for engine in _free(kept)
        if may_borrow(engine, len(names), len(decode_engines))
    ]
    return _free(others) + lent or others or _free(kept)


def awaited(rank: int, available: Engines, decode_engines: Engines) -> Engines:
    """Return the engines at which a request would wait for a slot.

    Where it may decode at none, it waits for one that is not protected.
    """
    found = preferred(rank, available, decode_engines)
    if found or not available:
        return found
    streams = decode_engines[0].long_streams
    names = {engine.key for engine in streams.protected(decode_engines)}
    return [engine for engine in decode_engines if engine.key not in names]


def may_borrow(
    engine: _entities.EngineLoad, protected: int, decoding: int
) -> bool:
    """Return whether a brief request may take a slot kept for long streams.

    Slots are left for the streams that come until one is free again, unless
    their target allows them to wait for it, and for what others have sent and
    not reported. ``protected`` and ``decoding`` are the numbers of engines
    that share the long streams and the brief requests.
    """
    streams = engine.long_streams
    if streams.blind:
        return False
    kept = streams.brief_per_s * streams.report_s / decoding
    return_s = _return_s(engine)
    if return_s > streams.target_s * OWNER_WAIT_SHARE:
        coming = streams.long_per_s * (return_s + streams.report_s) / protected
        kept += coming + OWNER_DEVIATIONS * math.sqrt(coming)
    return engine.slots - engine.requests - 1 >= kept


def _return_s(engine: _entities.EngineLoad) -> float:
    """Return the time until a slot is free if one more is lent."""
    streams = engine.long_streams
    long = sum(engine.requests_of_rank(rank) for rank in streams.ranks)
    brief = engine.requests - long + 1
    returns_per_s = 0.0
    for count, held_s in (
        (brief, streams.brief_held_s),
        (long, streams.long_held_s),
    ):
        if held_s:
            returns_per_s += count / held_s
    return 1.0 / returns_per_s if returns_per_s else math.inf


def _free(engines: Engines) -> Engines:
    return [engine for engine in engines if engine.requests < engine.slots]

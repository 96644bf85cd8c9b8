"""Decides where requests decode while long streams and others compete.

Slots of the protected engines (see ``LongStreams.protected``) are kept for
long streams. Other requests borrow them while that leaves enough, and return
them by ending.
"""

import math

from . import _entities

#: Share of the target of a long stream for which it may wait for a slot.
STREAM_WAIT_SHARE = 0.25
#: Standard deviations of the number of arriving long streams (Poisson) for
#: which slots are kept beyond the mean.
STREAM_DEVIATIONS = 2.0

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
    protected = {engine.key for engine in streams.protected(decode_engines)}
    reserved = [engine for engine in available if engine.key in protected]
    others = [engine for engine in available if engine.key not in protected]
    if streams.is_long(rank):
        return _free(reserved) or _free(others) or available
    lent = [
        engine
        for engine in _free(reserved)
        if may_borrow(engine, len(protected), len(decode_engines))
    ]
    return _free(others) + lent or others or _free(reserved)


def queueing(
    rank: int, available: Engines, decode_engines: Engines
) -> Engines:
    """Return the engines whose slot wait a request must expect.

    Where it may decode at none, these are all that are not protected.
    """
    found = preferred(rank, available, decode_engines)
    if found or not available:
        return found
    streams = decode_engines[0].long_streams
    protected = {engine.key for engine in streams.protected(decode_engines)}
    return [engine for engine in decode_engines if engine.key not in protected]


def may_borrow(
    engine: _entities.EngineLoad, protected_count: int, decode_count: int
) -> bool:
    """Return whether a brief request may take a slot kept for long streams.

    Slots are left for the streams that come until one is free again, unless
    their target allows them to wait for it, and for what other gateways have
    sent and not yet reported. Long streams are assumed to spread evenly over
    ``protected_count`` engines, brief requests over ``decode_count``.
    """
    streams = engine.long_streams
    if streams.isolated:
        return False
    kept = streams.brief_per_s * streams.report_s / decode_count
    next_free_s = _next_free_s(engine)
    if next_free_s > streams.target_s * STREAM_WAIT_SHARE:
        interval_s = next_free_s + streams.report_s
        arriving = streams.long_per_s * interval_s / protected_count
        kept += arriving + STREAM_DEVIATIONS * math.sqrt(arriving)
    return engine.slots - engine.requests - 1 >= kept


def _next_free_s(engine: _entities.EngineLoad) -> float:
    """Return the mean time until a slot is free, once one more is lent."""
    streams = engine.long_streams
    long = sum(engine.requests_of_rank(rank) for rank in streams.ranks)
    brief = engine.requests - long + 1
    freed_per_s = 0.0
    for count, held_s in (
        (brief, streams.brief_held_s),
        (long, streams.long_held_s),
    ):
        if held_s:
            freed_per_s += count / held_s
    return 1.0 / freed_per_s if freed_per_s else math.inf


def _free(engines: Engines) -> Engines:
    return [engine for engine in engines if engine.requests < engine.slots]

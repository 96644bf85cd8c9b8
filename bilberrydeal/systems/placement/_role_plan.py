"""Decides which engines read prompts and which make tokens."""

import collections
import collections.abc

import attrs

from ... import ports
from . import _entities
from . import _two_stage

#: Engines of a service that make tokens, so that the loss of one leaves
#: another; all others read prompts.
DECODERS = 2
#: Time that the engines must be unchanged before a change of roles, in
#: seconds: at once where no tokens can be made, later where a crashed engine
#: may come back first.
PATIENCE_NONE_S = 0.0
PATIENCE_FEW_S = 5.0
PATIENCE_MANY_S = 2.0
#: With fewer engines, one makes tokens.
DECODERS_FROM_ENGINES = 4


@attrs.frozen
class RoleOrder:
    """An engine that should change its role."""

    #: Name of the engine.
    engine_id: str
    #: The role that it should have.
    role: ports.EngineRole
    #: How long the engines must have been unchanged, in seconds.
    patience_s: float


def plan_roles(
    engines: collections.abc.Sequence[_entities.EngineLoad],
) -> RoleOrder | None:
    """Return the next change of a service's roles, ``None`` for none.

    One engine changes at a time, since a change takes it away for seconds.
    Decode engines are spread over failure domains.
    """
    decoders = [
        engine
        for engine in engines
        if engine.role is not ports.EngineRole.PREFILL
    ]
    readers = [
        engine for engine in engines if engine.role is ports.EngineRole.PREFILL
    ]
    wanted = _decoders_wanted(len(engines))
    if len(decoders) > wanted:
        chosen = _most_crowded(decoders, decoders)
        return RoleOrder(
            chosen.engine_id, ports.EngineRole.PREFILL, PATIENCE_MANY_S
        )
    if len(decoders) < wanted and readers:
        chosen = _least_crowded(readers, decoders)
        patience_s = PATIENCE_FEW_S if decoders else PATIENCE_NONE_S
        return RoleOrder(chosen.engine_id, ports.EngineRole.DECODE, patience_s)
    return None


def _decoders_wanted(engines: int) -> int:
    if engines < DECODERS_FROM_ENGINES:
        return min(1, engines)
    return DECODERS


def _most_crowded(
    engines: list[_entities.EngineLoad],
    decoders: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    """Return a decoder to spare; the main one has the most to finish."""
    main = _two_stage.main_decoder(decoders)
    domains = collections.Counter(each.failure_domain for each in decoders)
    return max(
        (each for each in engines if each is not main),
        key=lambda each: (domains[each.failure_domain], each.key),
    )


def _least_crowded(
    engines: list[_entities.EngineLoad],
    decoders: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    domains = collections.Counter(each.failure_domain for each in decoders)
    return min(
        engines, key=lambda each: (domains[each.failure_domain], each.key)
    )

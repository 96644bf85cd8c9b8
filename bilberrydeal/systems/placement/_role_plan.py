"""Decides which engines read prompts and which make tokens."""

import collections
import collections.abc

import attrs

from ... import ports
from . import _entities

#: Engines of a service that make tokens, so that the loss of one leaves
#: another; all others read prompts.
DECODERS = 2
#: With fewer engines, one makes tokens.
DECODERS_FROM_ENGINES = 4


@attrs.frozen
class RoleOrder:
    """An engine that should change its role."""

    #: Name of the engine.
    engine_id: str
    #: The role that it should have.
    role: ports.EngineRole


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
        return RoleOrder(chosen.engine_id, ports.EngineRole.PREFILL)
    if len(decoders) < wanted and readers:
        chosen = _least_crowded(readers, decoders)
        return RoleOrder(chosen.engine_id, ports.EngineRole.DECODE)
    return None


def _decoders_wanted(engines: int) -> int:
    if engines < DECODERS_FROM_ENGINES:
        return min(1, engines)
    return DECODERS


def _most_crowded(
    engines: list[_entities.EngineLoad],
    decoders: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    domains = collections.Counter(each.failure_domain for each in decoders)
    return max(
        engines, key=lambda each: (domains[each.failure_domain], each.key)
    )


def _least_crowded(
    engines: list[_entities.EngineLoad],
    decoders: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    domains = collections.Counter(each.failure_domain for each in decoders)
    return min(
        engines, key=lambda each: (domains[each.failure_domain], each.key)
    )

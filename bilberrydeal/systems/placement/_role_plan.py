"""Decides which engines read prompts and which make tokens."""

import collections
import collections.abc
import math

import attrs

from ... import ports
from ... import registry
from . import _entities
from . import _options

#: Engines of a service that make tokens at least, so that the loss of one
#: leaves another; with fewer engines than the second figure, one does.
DECODERS_FLOOR = 2
DECODERS_FLOOR_FROM = 4
#: Share of the engines that make tokens at least, however many slots each
#: has; a reading engine keeps so many slots of others busy beside.
DECODERS_SHARE = 0.2
SLOTS_A_READER = 3.0
#: Share of the engines that go on reading prompts, whatever tokens need.
READERS_SHARE = 0.4
#: Share of the slots of decode engines that should be taken on average.
SLOTS_SHARE = 0.95
#: Average time that what waits at the reading engines takes below which they
#: are idle, in seconds.
READERS_IDLE_S = 0.02
#: Orders of a service up to which engines become readers before readers are
#: late: each order has its price, and a large fleet may never need them.
ORDERS_AHEAD = 12
#: How long an order must be called for before it is given, in seconds: at
#: once where no tokens can be made or an engine is leaving for good; later
#: where a crashed engine may come back, and for a surplus latest.
PATIENCE_NONE_S = 0.0
PATIENCE_FEW_S = 2.0
PATIENCE_MANY_S = 4.0


@attrs.frozen
class RoleOrder:
    """An engine that should change its role."""

    #: Name of the engine.
    engine_id: str
    #: The role that it should have.
    role: ports.EngineRole
    #: How long it must have been called for, in seconds.
    patience_s: float


@attrs.frozen
class RoleDemand:
    """What a service's engines have to do."""

    #: Requests at decode engines that are not deferred, averaged over some
    #: seconds: late ones wait, an engine that reads is worth more than that.
    busy_slots: float = 0.0
    #: Average time that what waits at the reading engines takes them, in
    #: seconds.
    reading_wait_s: float = math.inf
    #: Whether a decode engine is leaving for good.
    decoder_leaves: bool = False
    #: Whether no request was seen yet, so that changes disturb nobody.
    idle: bool = False
    #: Orders that were given to the service's engines so far.
    orders_given: int = 0


Plan = collections.abc.Callable[
    [collections.abc.Sequence[_entities.EngineLoad], RoleDemand],
    RoleOrder | None,
]

#: Plans of roles by the names that settings use.
ROLE_PLANS: registry.Registry[Plan] = registry.Registry("role plan")


@ROLE_PLANS.register("fixed")
def keep_roles(
    engines: collections.abc.Sequence[_entities.EngineLoad],
    demand: RoleDemand,
) -> RoleOrder | None:
    """Return no change: baseline, the roles that engines start with."""
    return None


@ROLE_PLANS.register("by_load")
def plan_roles(
    engines: collections.abc.Sequence[_entities.EngineLoad],
    demand: RoleDemand,
) -> RoleOrder | None:
    """Return the next change of a service's roles, ``None`` for none.

    Decode engines are spread over failure domains. Their number follows the
    slots that are taken, between a floor and what is left for reading.
    """
    decoders = [engine for engine in engines if not engine.reads_only]
    readers = [engine for engine in engines if engine.reads_only]
    wanted = _decoders_wanted(engines, demand)
    if len(decoders) > wanted and _readers_wanted(demand):
        chosen = _most_crowded(decoders)
        patience_s = PATIENCE_NONE_S if demand.idle else PATIENCE_MANY_S
        return RoleOrder(
            chosen.engine_id, ports.EngineRole.PREFILL, patience_s
        )
    if len(decoders) < wanted and readers:
        chosen = _least_crowded(readers, decoders)
        at_once = not decoders or demand.decoder_leaves
        patience_s = PATIENCE_NONE_S if at_once else PATIENCE_FEW_S
        return RoleOrder(chosen.engine_id, ports.EngineRole.DECODE, patience_s)
    return None


def _readers_wanted(demand: RoleDemand) -> bool:
    """Return whether decode engines to spare should read instead."""
    if demand.orders_given < ORDERS_AHEAD:
        return True
    return not demand.idle and not _readers_idle(demand)


def _readers_idle(demand: RoleDemand) -> bool:
    return demand.reading_wait_s < READERS_IDLE_S


def _decoders_wanted(
    engines: collections.abc.Sequence[_entities.EngineLoad],
    demand: RoleDemand,
) -> int:
    count = len(engines)
    if not count:
        return 0
    floor = DECODERS_FLOOR if count >= DECODERS_FLOOR_FROM else 1
    slots = max(engine.slots for engine in engines)
    share = DECODERS_SHARE + SLOTS_A_READER / slots
    floor = max(floor, math.ceil(count * share))
    needed = math.ceil(demand.busy_slots / (slots * SLOTS_SHARE))
    ceiling = count - math.ceil(count * READERS_SHARE)
    return min(max(floor, min(needed, ceiling)), max(ceiling, 1))


def _most_crowded(
    decoders: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    """Return a decoder to spare; the main one has the most to finish."""
    main = _options.main_decoder(decoders)
    domains = collections.Counter(each.failure_domain for each in decoders)
    return max(
        (each for each in decoders if each is not main),
        key=lambda each: (
            domains[each.failure_domain],
            -each.requests,
            each.key,
        ),
    )


def _least_crowded(
    readers: list[_entities.EngineLoad],
    decoders: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    domains = collections.Counter(each.failure_domain for each in decoders)
    return min(
        readers, key=lambda each: (domains[each.failure_domain], each.key)
    )

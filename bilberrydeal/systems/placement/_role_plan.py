"""Chooses which engines prefill and which decode."""

import collections
import collections.abc
import math

import attrs

from ... import ports
from ... import registry
from . import _entities
from . import _options
from . import _role_need
from . import _role_versions

#: Fewest decode engines of a service, so that one remains if another is lost.
#: Services with fewer engines than ``MIN_DECODE_ENGINES_FROM`` need only one.
MIN_DECODE_ENGINES = 2
MIN_DECODE_ENGINES_FROM = 4
#: Smallest share of decode engines, regardless of their slots. Each prefill
#: engine also keeps ``SLOTS_PER_PREFILL_ENGINE`` decode slots busy.
MIN_DECODE_SHARE = 0.2
SLOTS_PER_PREFILL_ENGINE = 3.0
#: Smallest share of prefill engines, regardless of the demand for decoding.
MIN_PREFILL_SHARE = 0.4
#: Least share of the engines whose role the shares above have to leave open.
#: With fewer the number of decode engines hardly depends on the load, and it
#: follows from the learned need instead.
MIN_OPEN_SHARE = 0.15
#: Smallest share of prefill engines where the number follows from the
#: learned need.
MIN_LEARNED_PREFILL_SHARE = 0.2
#: Ratio of the need, with headroom, to the engines of a role from which on
#: they are short. A ratio is near 1 where no time or slot is left.
SHORTAGE_SHARE = 0.9
#: Largest ratio, after the change, of the role that gives up an engine, as a
#: multiple of the present ratio of the other role. Decode engines are given up
#: less easily: without a free slot all requests wait.
PREFILL_DONOR_LIMIT = 0.95
DECODE_DONOR_LIMIT = 0.85
#: Target share of busy slots of decode engines.
SLOT_UTILIZATION = 0.95
#: Average prefill wait below which prefill engines count as idle, in seconds.
PREFILL_IDLE_WAIT_S = 0.02
#: Number of orders of a service up to which surplus decode engines become
#: prefill engines without a prefill queue. Each order has a cost, and a large
#: fleet may never need more prefill engines.
PROACTIVE_ORDERS = 12
#: Time for which a change must be needed before it is ordered, in seconds.
#: There is no delay if no engine can decode or an engine is leaving for good,
#: or the service is idle, a short one if a crashed engine may come back, and
#: the longest one for a surplus.
NO_DEBOUNCE_S = 0.0
#: The same if no engine of a software version with streams decodes.
VERSION_DEBOUNCE_S = 0.5
SHORTAGE_DEBOUNCE_S = 2.0
SURPLUS_DEBOUNCE_S = 4.0


@attrs.frozen
class RoleOrder:
    """A decision to change the role of an engine."""

    #: Name of the engine.
    engine_id: str
    #: Role that it should have.
    role: ports.EngineRole
    #: Time for which the change must be needed before it is ordered, in
    #: seconds.
    debounce_s: float
    #: Whether it is sent however many engines are changing their roles.
    urgent: bool = False


@attrs.frozen
class RoleDemand:
    """Load of the engines of a service."""

    #: Requests at decode engines that are not deferred, averaged over some
    #: seconds. Deferred requests do not count: they can wait, and a prefill
    #: engine is worth more than serving them sooner.
    busy_slots: float = 0.0
    #: Average time that prefill engines need for their queued prompts, in
    #: seconds.
    prefill_wait_s: float = math.inf
    #: Whether a decode engine is leaving for good.
    decode_engine_leaving: bool = False
    #: Whether a decode engine is lost whose entry has not lapsed yet.
    decode_engine_lost: bool = False
    #: Whether no request was seen yet, so that changes delay none.
    idle: bool = False
    #: Number of orders to the engines of the service so far.
    order_count: int = 0
    #: Engines that decoding and prefill need, ``None`` if it is not known.
    need: _role_need.RoleNeed | None = None
    #: Number of engines that are changing their roles.
    changing: int = 0
    #: Software versions at which streams may go on.
    stream_versions: frozenset[str] = frozenset()


Plan = collections.abc.Callable[
    [collections.abc.Sequence[_entities.EngineLoad], RoleDemand],
    RoleOrder | None,
]

#: Role plans by the names used in the settings.
ROLE_PLANS: registry.Registry[Plan] = registry.Registry("role plan")


@ROLE_PLANS.register("fixed")
def keep_roles(
    engines: collections.abc.Sequence[_entities.EngineLoad],
    demand: RoleDemand,
) -> RoleOrder | None:
    """Return no change: a baseline in which engines keep their roles."""
    return None


@ROLE_PLANS.register("by_load")
def plan_roles(
    engines: collections.abc.Sequence[_entities.EngineLoad],
    demand: RoleDemand,
) -> RoleOrder | None:
    """Return the next role change for a service, or ``None``.

    Decode engines are spread over failure domains. Their number follows the
    number of busy slots, between a minimum and what prefill leaves. Where
    engines have few slots it follows from what is learned. In any case an
    engine of each software version with streams decodes, and two of one.
    """
    decode_engines = [engine for engine in engines if not engine.prefill_only]
    prefill_engines = [engine for engine in engines if engine.prefill_only]
    order = _order_for_streams(decode_engines, prefill_engines, demand)
    if order is not None:
        return order
    if demand.need is not None and _few_slots(engines):
        return _learned_order(
            decode_engines, prefill_engines, demand, demand.need
        )
    wanted = _decode_engines_wanted(engines, demand)
    if len(decode_engines) > wanted and _more_prefill_wanted(demand):
        return _to_prefill(
            decode_engines,
            prefill_engines,
            demand,
            scarce=_prefill_scarce(prefill_engines, len(engines), demand),
        )
    if len(decode_engines) < wanted and prefill_engines:
        return _to_decode(decode_engines, prefill_engines, demand)
    return None


def _order_for_streams(
    decode_engines: list[_entities.EngineLoad],
    prefill_engines: list[_entities.EngineLoad],
    demand: RoleDemand,
) -> RoleOrder | None:
    """Return the change without which streams could not go on.

    A software version without a decode engine gets one at once. If each has
    one, one of them gets a second, as long as prefill keeps its share.
    """
    versions = _role_versions.role_versions(
        [*decode_engines, *prefill_engines], demand.stream_versions
    )
    stopped = _of_versions(prefill_engines, versions.bare)
    if stopped:
        order = _to_decode(decode_engines, stopped, demand)
        debounce_s = min(order.debounce_s, VERSION_DEBOUNCE_S)
        if demand.decode_engine_lost:
            debounce_s = NO_DEBOUNCE_S
        return attrs.evolve(order, debounce_s=debounce_s, urgent=True)
    count = len(decode_engines) + len(prefill_engines)
    if len(prefill_engines) <= _min_prefill_engines(count):
        return None
    single = _of_versions(prefill_engines, versions.completable)
    if single:
        return _to_decode(decode_engines, single, demand)
    return None


def _of_versions(
    engines: list[_entities.EngineLoad], versions: frozenset[str]
) -> list[_entities.EngineLoad]:
    return [each for each in engines if each.software_version in versions]


def _few_slots(
    engines: collections.abc.Sequence[_entities.EngineLoad],
) -> bool:
    """Return whether the fixed shares leave the roles of few engines open."""
    slots = max((engine.slots for engine in engines), default=0)
    if not slots:
        return False
    open_share = 1.0 - MIN_PREFILL_SHARE - _min_decode_share(slots)
    return open_share <= MIN_OPEN_SHARE


def _min_decode_share(slots: int) -> float:
    return MIN_DECODE_SHARE + SLOTS_PER_PREFILL_ENGINE / slots


def _learned_order(
    decode_engines: list[_entities.EngineLoad],
    prefill_engines: list[_entities.EngineLoad],
    demand: RoleDemand,
    need: _role_need.RoleNeed,
) -> RoleOrder | None:
    """Return the change that relieves the role whose engines are short.

    There is one change at a time, and none while neither is short.
    """
    decode, prefill = len(decode_engines), len(prefill_engines)
    count = decode + prefill
    minimum = MIN_DECODE_ENGINES if count >= MIN_DECODE_ENGINES_FROM else 1
    if prefill and decode < minimum:
        return _to_decode(decode_engines, prefill_engines, demand)
    if demand.changing:
        return None
    decode_used = need.decode_engines / max(decode, 1)
    prefill_used = need.prefill_engines / max(prefill, 1)
    reserved = math.ceil(count * MIN_LEARNED_PREFILL_SHARE)
    if decode_used >= SHORTAGE_SHARE and prefill > max(reserved, 1):
        left_used = need.prefill_engines / (prefill - 1)
        if left_used < decode_used * PREFILL_DONOR_LIMIT:
            return _to_decode(decode_engines, prefill_engines, demand)
    if prefill_used >= SHORTAGE_SHARE and decode > minimum:
        left_used = need.decode_engines / (decode - 1)
        if left_used < prefill_used * DECODE_DONOR_LIMIT:
            return _to_prefill(
                decode_engines, prefill_engines, demand, scarce=True
            )
    return None


def _to_decode(
    decode_engines: list[_entities.EngineLoad],
    prefill_engines: list[_entities.EngineLoad],
    demand: RoleDemand,
) -> RoleOrder:
    chosen = _prefill_engine_to_convert(prefill_engines, decode_engines)
    immediate = not decode_engines or demand.decode_engine_leaving
    debounce_s = NO_DEBOUNCE_S if immediate else SHORTAGE_DEBOUNCE_S
    return RoleOrder(chosen.engine_id, ports.EngineRole.DECODE, debounce_s)


def _to_prefill(
    decode_engines: list[_entities.EngineLoad],
    prefill_engines: list[_entities.EngineLoad],
    demand: RoleDemand,
    scarce: bool,
) -> RoleOrder | None:
    """Return the change of a decode engine, ``None`` if all are required."""
    versions = _role_versions.role_versions(
        [*decode_engines, *prefill_engines], demand.stream_versions
    )
    chosen = _decode_engine_to_convert(
        decode_engines, versions, demand.idle, scarce
    )
    if chosen is None:
        return None
    debounce_s = NO_DEBOUNCE_S if demand.idle else SURPLUS_DEBOUNCE_S
    return RoleOrder(chosen.engine_id, ports.EngineRole.PREFILL, debounce_s)


def _more_prefill_wanted(demand: RoleDemand) -> bool:
    """Return whether surplus decode engines should prefill instead."""
    if demand.order_count < PROACTIVE_ORDERS:
        return True
    return not demand.idle and not _prefill_idle(demand)


def _prefill_scarce(
    prefill_engines: list[_entities.EngineLoad],
    count: int,
    demand: RoleDemand,
) -> bool:
    """Return whether prompts wait or hardly any of all engines prefill."""
    least = math.ceil(count * MIN_LEARNED_PREFILL_SHARE)
    return len(prefill_engines) < least or not _prefill_idle(demand)


def _prefill_idle(demand: RoleDemand) -> bool:
    return demand.prefill_wait_s < PREFILL_IDLE_WAIT_S


def _decode_engines_wanted(
    engines: collections.abc.Sequence[_entities.EngineLoad],
    demand: RoleDemand,
) -> int:
    count = len(engines)
    if not count:
        return 0
    minimum = MIN_DECODE_ENGINES if count >= MIN_DECODE_ENGINES_FROM else 1
    slots = max(engine.slots for engine in engines)
    minimum = max(minimum, math.ceil(count * _min_decode_share(slots)))
    needed = math.ceil(demand.busy_slots / (slots * SLOT_UTILIZATION))
    maximum = count - _min_prefill_engines(count)
    return min(max(minimum, min(needed, maximum)), max(maximum, 1))


def _min_prefill_engines(count: int) -> int:
    return math.ceil(count * MIN_PREFILL_SHARE)


def _decode_engine_to_convert(
    decode_engines: list[_entities.EngineLoad],
    versions: _role_versions.RoleVersions,
    idle: bool,
    scarce: bool,
) -> _entities.EngineLoad | None:
    """Choose a decode engine to convert, the fastest one.

    The main one is not chosen: it has the most requests to finish. One that
    the streams of its software version require is not chosen either, and one
    of two only while prefill engines are ``scarce`` and there is no other. The
    last one of a failure domain is chosen only if there is no other. One that
    no other of its version could replace goes first, then one of two of a
    version without the main one.
    """
    main = _options.main_decode_engine(decode_engines)
    candidates = [
        each
        for each in decode_engines
        if not versions.required(each)
        and (each is not main or (idle and versions.alone(each)))
    ]
    unpaired = [each for each in candidates if not versions.paired(each)]
    if not unpaired and not scarce:
        return None
    candidates = unpaired or candidates
    domains = _by_domain(decode_engines)
    spared = [each for each in candidates if domains[each.failure_domain] > 1]
    only_pairs = max(versions.decode.values()) == _role_versions.DECODE_PAIR
    return max(
        spared or candidates,
        key=lambda each: (
            versions.alone(each),
            only_pairs and each.software_version != main.software_version,
            -_permanent_factor(each),
            domains[each.failure_domain],
            -each.requests,
            each.key,
        ),
        default=None,
    )


def _prefill_engine_to_convert(
    prefill_engines: list[_entities.EngineLoad],
    decode_engines: list[_entities.EngineLoad],
) -> _entities.EngineLoad:
    """Choose a prefill engine to convert, the slowest one.

    It is in one of the failure domains in which the fewest engines decode, or
    in which only one more decodes. One of a software version of which one
    decodes already goes first, then one of a version of which several do:
    streams go on at their version alone, so two engines of one version are
    worth more than one of each.
    """
    versions = _role_versions.by_version(decode_engines)
    domains = _by_domain(decode_engines)
    fewest = min(domains[each.failure_domain] for each in prefill_engines)
    return min(
        (
            each
            for each in prefill_engines
            if domains[each.failure_domain] <= fewest + 1
        ),
        key=lambda each: (
            not versions[each.software_version],
            versions[each.software_version] >= _role_versions.DECODE_PAIR,
            -_permanent_factor(each),
            domains[each.failure_domain],
            each.key,
        ),
    )


def _by_domain(
    engines: list[_entities.EngineLoad],
) -> collections.Counter[str]:
    return collections.Counter(each.failure_domain for each in engines)


def _permanent_factor(engine: _entities.EngineLoad) -> float:
    """Return the learned permanent factor; above 1 is slower."""
    return engine.speed.capability.factor

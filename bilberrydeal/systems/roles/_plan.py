"""What role planners share: the state of a model, moves and their bounds."""

import collections
import collections.abc

import attrs

from .. import _tables
from . import _capacity
from . import _entities
from . import _rules


@attrs.frozen
class Move:
    """Changes the role of some engines."""

    source: _entities.Role
    target: _entities.Role
    #: The engines.
    endpoints: tuple[_entities.RoleEndpoint, ...]


@attrs.frozen
class _Spread:
    """Failure domains in which each phase is live."""

    prefill: int
    decode: int

    @property
    def total(self) -> int:
        """Return the sum over the phases."""
        return self.prefill + self.decode

    @property
    def least(self) -> int:
        """Return the number of the worse phase."""
        return min(self.prefill, self.decode)

    def covers(self, other: "_Spread") -> bool:
        """Tell whether no phase is worse than in another."""
        return self.prefill >= other.prefill and self.decode >= other.decode


def clear(tables: _tables.Tables) -> None:
    """Forget the orders of the last run."""
    tables.of(_entities.RoleOrder).clear()


def by_model(
    tables: _tables.Tables,
) -> dict[str, list[_entities.RoleEndpoint]]:
    """Return the endpoints of each model."""
    groups: dict[str, list[_entities.RoleEndpoint]]
    groups = collections.defaultdict(list)
    for endpoint in tables.of(_entities.RoleEndpoint):
        groups[endpoint.model].append(endpoint)
    return dict(groups)


def mix(
    endpoints: collections.abc.Iterable[_entities.RoleEndpoint],
) -> _capacity.Mix:
    """Return the usable engines by role, those that change by the new."""
    counted = collections.Counter(e.role for e in endpoints if e.usable)
    return _capacity.Mix(
        **{role.value: counted[role] for role in _entities.Role}
    )


def room(
    endpoints: collections.abc.Collection[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
) -> int:
    """Return how many engines may begin to change now."""
    changing = sum(e.changing for e in endpoints)
    return max(0, bound(endpoints, rules) - changing)


def bound(
    endpoints: collections.abc.Collection[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
) -> int:
    """Return how many engines may be changing."""
    share = int(rules.changing_share * len(endpoints))
    return max(rules.changing_count, share)


def moves(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
    dwell_s: float,
    now_s: float,
) -> collections.abc.Iterator[Move]:
    """Yield the moves that the bounds allow, in doubling sizes."""
    allowed = room(endpoints, rules)
    for source in _entities.Role:
        free = [
            e
            for e in endpoints
            if e.role is source
            and e.usable
            and not (e.changing or e.assigned)
            and now_s - e.ordered_at_s >= dwell_s
        ]
        for target in _entities.Role:
            if target is not source:
                yield from _sized(
                    endpoints, source, target, free, allowed, rules
                )


def _sized(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    source: _entities.Role,
    target: _entities.Role,
    free: list[_entities.RoleEndpoint],
    allowed: int,
    rules: _rules.RoleRules,
) -> collections.abc.Iterator[Move]:
    count = 1
    while count <= min(allowed, len(free)):
        chosen = _chosen(endpoints, source, target, free, count)
        if keeps_domains(endpoints, target, chosen, rules):
            yield Move(source, target, chosen)
        count *= 2


def _chosen(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    source: _entities.Role,
    target: _entities.Role,
    free: list[_entities.RoleEndpoint],
    count: int,
) -> tuple[_entities.RoleEndpoint, ...]:
    """Take engines where the source is dense and the target is thin."""
    surplus = collections.Counter({e.failure_domain: 0 for e in endpoints})
    for endpoint in endpoints:
        if endpoint.role is source:
            surplus[endpoint.failure_domain] += 1
        if endpoint.role is target:
            surplus[endpoint.failure_domain] -= 1
    left = sorted(free, key=lambda e: (e.ordered_at_s, e.key))
    chosen: list[_entities.RoleEndpoint] = []
    for _ in range(count):
        best = max(left, key=lambda e: surplus[e.failure_domain])
        surplus[best.failure_domain] -= 2
        left.remove(best)
        chosen.append(best)
    return tuple(chosen)


def keeps_domains(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    target: _entities.Role,
    chosen: collections.abc.Collection[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
) -> bool:
    """Tell whether both phases stay live in enough failure domains.

    Live are usable engines that do not change. Where a phase is in fewer
    failure domains than asked for already, it must not lose one. Meanwhile
    a phase may be live in one only if the move mends this, or if the fleet
    is so small that no engine could ever take both roles otherwise.
    """
    moved = {endpoint.key for endpoint in chosen}
    live = [e for e in endpoints if e.usable and not e.changing]
    staying = [e for e in live if e.key not in moved]
    settled = [e for e in endpoints if e.usable and e.key not in moved]
    joined = [attrs.evolve(e, role=target) for e in chosen]
    usable = [e for e in endpoints if e.usable]
    domains = len({e.failure_domain for e in usable})
    wanted = min(rules.domains_per_phase, domains)
    now = _spread(live, wanted)
    during = _spread(staying, wanted)
    after = _spread(settled + joined, wanted)
    small = target is _entities.Role.BOTH and len(usable) <= 2 * wanted
    mends = after.total > now.total or small
    return after.covers(now) and (
        during.covers(now) or (mends and during.least >= 1)
    )


def stays_live(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    chosen: _entities.RoleEndpoint,
    rules: _rules.RoleRules,
) -> bool:
    """Tell whether both phases stay live while one engine is away.

    It comes back in the role that it has. A phase that could never be live
    in two failure domains without it may meanwhile be live in one, and one
    that only this engine serves has to do without.
    """
    live = [e for e in endpoints if e.usable and not e.changing]
    staying = [e for e in live if e.key != chosen.key]
    usable = [e for e in endpoints if e.usable]
    most = len({e.failure_domain for e in usable if e.key != chosen.key})
    wanted = min(rules.domains_per_phase, most)
    others = [e for e in usable if e.key != chosen.key]
    return _spread(staying, wanted).covers(_spread(others, wanted))


def _spread(
    endpoints: collections.abc.Collection[_entities.RoleEndpoint], wanted: int
) -> "_Spread":
    """Return the failure domains of each phase, ``wanted`` at most."""
    return _Spread(
        min(wanted, _domains(endpoints, _entities.Role.PREFILL)),
        min(wanted, _domains(endpoints, _entities.Role.DECODE)),
    )


def _domains(
    endpoints: collections.abc.Iterable[_entities.RoleEndpoint],
    phase: _entities.Role,
) -> int:
    takes = (phase, _entities.Role.BOTH)
    return len({e.failure_domain for e in endpoints if e.role in takes})


def order(tables: _tables.Tables, move: Move) -> None:
    """Decide a move."""
    for endpoint in move.endpoints:
        tables.of(_entities.RoleOrder).put(
            _entities.RoleOrder(endpoint.key, endpoint.model, move.target)
        )

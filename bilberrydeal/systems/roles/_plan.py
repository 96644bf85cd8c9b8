"""Helpers of the role planners: current roles, moves and their limits."""

import collections
import collections.abc

import attrs

from .. import _tables
from . import _capacity
from . import _entities
from . import _rules


@attrs.frozen
class Move:
    """Change of the role of some engines."""

    source: _entities.Role
    target: _entities.Role
    #: Engines that change.
    endpoints: tuple[_entities.RoleEndpoint, ...]


@attrs.frozen
class _LiveDomains:
    """Number of failure domains in which each phase is live."""

    prefill: int
    decode: int

    @property
    def total(self) -> int:
        """Return the sum over the phases."""
        return self.prefill + self.decode

    @property
    def fewest(self) -> int:
        """Return the number for the phase with fewer failure domains."""
        return min(self.prefill, self.decode)

    def covers(self, other: "_LiveDomains") -> bool:
        """Return whether no phase has fewer failure domains than in other."""
        return self.prefill >= other.prefill and self.decode >= other.decode


def clear_orders(tables: _tables.Tables) -> None:
    """Remove the orders of the last run."""
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


def current_mix(
    endpoints: collections.abc.Iterable[_entities.RoleEndpoint],
) -> _capacity.Mix:
    """Count usable engines by role; those that change count as the new one."""
    counted = collections.Counter(e.role for e in endpoints if e.usable)
    return _capacity.Mix(
        **{role.value: counted[role] for role in _entities.Role}
    )


def available_changes(
    endpoints: collections.abc.Collection[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
) -> int:
    """Return how many engines may start to change now."""
    changing = sum(e.changing for e in endpoints)
    return max(0, max_changing(endpoints, rules) - changing)


def max_changing(
    endpoints: collections.abc.Collection[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
) -> int:
    """Return how many engines may be changing concurrently."""
    share = int(rules.changing_share * len(endpoints))
    return max(rules.changing_count, share)


def moves(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
    dwell_s: float,
    now_s: float,
) -> collections.abc.Iterator[Move]:
    """Yield the moves that the limits allow, with doubling sizes."""
    allowed = available_changes(endpoints, rules)
    for source in _entities.Role:
        movable = [
            e
            for e in endpoints
            if e.role is source
            and e.usable
            and not (e.changing or e.assigned)
            and now_s - e.ordered_at_s >= dwell_s
        ]
        for target in _entities.Role:
            if target is not source:
                yield from _moves_between(
                    endpoints, source, target, movable, allowed, rules
                )


def _moves_between(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    source: _entities.Role,
    target: _entities.Role,
    movable: list[_entities.RoleEndpoint],
    allowed: int,
    rules: _rules.RoleRules,
) -> collections.abc.Iterator[Move]:
    count = 1
    while count <= min(allowed, len(movable)):
        chosen = _select_engines(endpoints, source, target, movable, count)
        if move_keeps_domains(endpoints, target, chosen, rules):
            yield Move(source, target, chosen)
        count *= 2


def _select_engines(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    source: _entities.Role,
    target: _entities.Role,
    movable: list[_entities.RoleEndpoint],
    count: int,
) -> tuple[_entities.RoleEndpoint, ...]:
    """Select engines in domains with many source and few target roles."""
    surplus = collections.Counter({e.failure_domain: 0 for e in endpoints})
    for endpoint in endpoints:
        if endpoint.role is source:
            surplus[endpoint.failure_domain] += 1
        if endpoint.role is target:
            surplus[endpoint.failure_domain] -= 1
    left = sorted(movable, key=lambda e: (e.ordered_at_s, e.key))
    chosen: list[_entities.RoleEndpoint] = []
    for _ in range(count):
        best = max(left, key=lambda e: surplus[e.failure_domain])
        surplus[best.failure_domain] -= 2
        left.remove(best)
        chosen.append(best)
    return tuple(chosen)


def move_keeps_domains(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    target: _entities.Role,
    chosen: collections.abc.Collection[_entities.RoleEndpoint],
    rules: _rules.RoleRules,
) -> bool:
    """Return whether a move keeps both phases in enough failure domains.

    Usable engines that are not changing count as live. A phase that is live
    in fewer failure domains than required must not lose one. During the move
    a phase may be live in a single failure domain only if the move improves
    the total, or if the fleet is so small that no engine could ever be
    given both roles otherwise.
    """
    moved = {endpoint.key for endpoint in chosen}
    live = [e for e in endpoints if e.usable and not e.changing]
    staying = [e for e in live if e.key not in moved]
    settled = [e for e in endpoints if e.usable and e.key not in moved]
    joined = [attrs.evolve(e, role=target) for e in chosen]
    usable = [e for e in endpoints if e.usable]
    domains = len({e.failure_domain for e in usable})
    wanted = min(rules.domains_per_phase, domains)
    now = _live_domains(live, wanted)
    during = _live_domains(staying, wanted)
    after = _live_domains(settled + joined, wanted)
    small_fleet = target is _entities.Role.BOTH and len(usable) <= 2 * wanted
    improves = after.total > now.total or small_fleet
    return after.covers(now) and (
        during.covers(now) or (improves and during.fewest >= 1)
    )


def restart_keeps_domains(
    endpoints: collections.abc.Sequence[_entities.RoleEndpoint],
    chosen: _entities.RoleEndpoint,
    rules: _rules.RoleRules,
) -> bool:
    """Return whether both phases stay live while one engine restarts.

    The engine returns with the same role. A phase that cannot be live in two
    failure domains without it may be live in one meanwhile, and a phase that
    only this engine serves may be unavailable meanwhile.
    """
    live = [e for e in endpoints if e.usable and not e.changing]
    staying = [e for e in live if e.key != chosen.key]
    usable = [e for e in endpoints if e.usable]
    most = len({e.failure_domain for e in usable if e.key != chosen.key})
    wanted = min(rules.domains_per_phase, most)
    others = [e for e in usable if e.key != chosen.key]
    return _live_domains(staying, wanted).covers(_live_domains(others, wanted))


def _live_domains(
    endpoints: collections.abc.Collection[_entities.RoleEndpoint], wanted: int
) -> "_LiveDomains":
    """Count the failure domains of each phase, up to ``wanted``."""
    return _LiveDomains(
        min(wanted, _domains(endpoints, _entities.Role.PREFILL)),
        min(wanted, _domains(endpoints, _entities.Role.DECODE)),
    )


def _domains(
    endpoints: collections.abc.Iterable[_entities.RoleEndpoint],
    phase: _entities.Role,
) -> int:
    roles = (phase, _entities.Role.BOTH)
    return len({e.failure_domain for e in endpoints if e.role in roles})


def order_move(tables: _tables.Tables, move: Move) -> None:
    """Write the orders of a move."""
    for endpoint in move.endpoints:
        tables.of(_entities.RoleOrder).put(
            _entities.RoleOrder(endpoint.key, endpoint.model, move.target)
        )

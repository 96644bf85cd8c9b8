"""The best that role changes could do, knowing the load beforehand.

A search through time over the model itself: at each decision every state
kept may change one engine or none; of the states with equal engines by role
and by change under way the one with the most answers is kept, and of all
those a number of the best. It is exact but for states that were dropped
with fewer answers so far and a better queue, for changes between two
decisions, and for several changes begun at once. It ignores failure
domains, but keeps both phases live at two engines.
"""

import attrs

from bilberrydeal.systems import roles

from . import fleet_loads
from . import fleet_model
from . import fleet_roles

#: Time between two decisions.
DECISION_S = 5.0
#: States that are kept at each decision.
KEPT = 40
#: What a change must bring at least, in seconds of the mean load.
CHANGE_WORTH_S = 0.5


@attrs.define
class _State:
    service: fleet_model.ServiceNow
    engines: tuple[fleet_model.EngineNow, ...]
    changes: int
    worth: float = 0.0

    def key(self, lost: frozenset[int], now_s: float) -> tuple[str, ...]:
        """Return what states must share to be compared."""
        return tuple(
            sorted(
                f"{engine.role}{max(0.0, engine.changing_until_s - now_s)}"
                f"{position in lost}"
                for position, engine in enumerate(self.engines)
            )
        )


def best(
    begin: fleet_roles.Start,
    load: fleet_loads.Load,
    rates: roles.ModelRates,
    rules: roles.RoleRules,
) -> fleet_roles.RoleRun:
    """Return the best run that the search finds."""
    engines = tuple(fleet_model.EngineNow(role) for role in begin.roles)
    states = [_State(fleet_model.ServiceNow(rates), engines, 0)]
    steps = int(DECISION_S / fleet_loads.STEP_S)
    offered = sum(arrived.requests for arrived in load.arrivals)
    duration_s = len(load.arrivals) * fleet_loads.STEP_S
    price = CHANGE_WORTH_S * offered / duration_s
    for first in range(0, len(load.arrivals), steps):
        now_s = first * fleet_loads.STEP_S
        lost = fleet_loads.lost(load, begin.domains, now_s)
        found: dict[tuple[str, ...], _State] = {}
        for state in states:
            for engines in _choices(state.engines, lost, rules, now_s):
                _follow(
                    state, engines, load, begin, first, steps, price, found
                )
        states = sorted(found.values(), key=lambda s: -s.worth)[:KEPT]
    return fleet_roles.RoleRun(
        goodput_per_s=states[0].service.answered / duration_s,
        served_share=states[0].service.answered / offered,
        changes=states[0].changes,
        exposed_share=0.0,
    )


def _follow(
    state: _State,
    engines: tuple[fleet_model.EngineNow, ...],
    load: fleet_loads.Load,
    begin: fleet_roles.Start,
    first: int,
    steps: int,
    price: float,
    found: dict[tuple[str, ...], _State],
) -> None:
    """Serve until the next decision and keep the state if it is better."""
    service = state.service.copy()
    for step in range(first, min(first + steps, len(load.arrivals))):
        now_s = step * fleet_loads.STEP_S
        lost = fleet_loads.lost(load, begin.domains, now_s)
        mix = fleet_model.fluid_mix(engines, lost, now_s)
        service.step(load.arrivals[step], mix, now_s)
    changes = state.changes + (engines is not state.engines)
    follower = _State(
        service, engines, changes, service.answered - price * changes
    )
    key = follower.key(lost, (first + steps) * fleet_loads.STEP_S)
    other = found.get(key)
    if other is None or other.worth < follower.worth:
        found[key] = follower


def _choices(
    engines: tuple[fleet_model.EngineNow, ...],
    lost: frozenset[int],
    rules: roles.RoleRules,
    now_s: float,
) -> list[tuple[fleet_model.EngineNow, ...]]:
    """Return the engines unchanged, and with each change of one of them."""
    choices = [engines]
    live = [
        (position, engine)
        for position, engine in enumerate(engines)
        if position not in lost and now_s >= engine.changing_until_s
    ]
    limit = max(rules.changing_count, int(rules.changing_share * len(engines)))
    if sum(now_s < e.changing_until_s for e in engines) >= limit:
        return choices
    seen = set()
    for position, engine in live:
        for role in roles.Role:
            if role is engine.role or (engine.role, role) in seen:
                continue
            seen.add((engine.role, role))
            changed = attrs.evolve(engine)
            changed.order(role, rules, now_s)
            after = (*engines[:position], changed, *engines[position + 1 :])
            if _live(after, lost, now_s) or not _live(engines, lost, now_s):
                choices.append(after)
    return choices


def _live(
    engines: tuple[fleet_model.EngineNow, ...],
    lost: frozenset[int],
    now_s: float,
) -> bool:
    roles_now = [
        engine.role
        for position, engine in enumerate(engines)
        if position not in lost and now_s >= engine.changing_until_s
    ]
    decoding = sum(role is not roles.Role.PREFILL for role in roles_now)
    prefilling = sum(role is not roles.Role.DECODE for role in roles_now)
    return min(decoding, prefilling) >= 2

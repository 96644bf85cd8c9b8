"""Finds the best sequence of role changes for a load known in advance.

This is a beam search over the simulated model. At each decision, every kept
state may change one engine or none. Of the states whose engines have the same
roles and pending changes, only the one with the highest score is kept, and of
those the best ``BEAM_WIDTH``. The result is not exact in three cases: a
dropped state had fewer answers so far but a better queue, a change would
have to happen between two decisions, or several changes would have to start
at once. Failure domains are ignored, but both phases keep two live engines.
"""

import attrs

from bilberrydeal.systems import roles

from . import fleet_loads
from . import fleet_model
from . import fleet_roles

#: Interval between decisions, in seconds.
DECISION_INTERVAL_S = 5.0
#: Number of states kept at each decision.
BEAM_WIDTH = 40
#: Minimum gain of a role change, in seconds of the mean load.
MIN_CHANGE_GAIN_S = 0.5


@attrs.define
class _State:
    service: fleet_model.ServiceState
    engines: tuple[fleet_model.EngineState, ...]
    changes: int
    score: float = 0.0

    def merge_key(
        self, lost_engines: frozenset[int], now_s: float
    ) -> tuple[str, ...]:
        """Return the key by which equivalent states are merged."""
        return tuple(
            sorted(
                f"{engine.role}{max(0.0, engine.changing_until_s - now_s)}"
                f"{position in lost_engines}"
                for position, engine in enumerate(self.engines)
            )
        )


def find_best(
    initial: fleet_roles.InitialFleet,
    load: fleet_loads.Load,
    rates: roles.ModelRates,
    rules: roles.RoleRules,
) -> fleet_roles.RoleRun:
    """Return the best run that the search finds."""
    engines = tuple(fleet_model.EngineState(role) for role in initial.roles)
    states = [_State(fleet_model.ServiceState(rates), engines, 0)]
    steps = int(DECISION_INTERVAL_S / fleet_loads.STEP_S)
    offered = sum(arrivals.requests for arrivals in load.arrivals)
    duration_s = len(load.arrivals) * fleet_loads.STEP_S
    change_cost = MIN_CHANGE_GAIN_S * offered / duration_s
    for first in range(0, len(load.arrivals), steps):
        now_s = first * fleet_loads.STEP_S
        lost_engines = fleet_loads.lost_endpoints(load, initial.domains, now_s)
        successors: dict[tuple[str, ...], _State] = {}
        for state in states:
            for engines in _candidate_changes(
                state.engines, lost_engines, rules, now_s
            ):
                _advance(
                    state,
                    engines,
                    load,
                    initial,
                    first,
                    steps,
                    change_cost,
                    successors,
                )
        states = sorted(successors.values(), key=lambda s: -s.score)[
            :BEAM_WIDTH
        ]
    return fleet_roles.RoleRun(
        goodput_per_s=states[0].service.answered / duration_s,
        served_share=states[0].service.answered / offered,
        changes=states[0].changes,
        exposed_share=0.0,
    )


def _advance(
    state: _State,
    engines: tuple[fleet_model.EngineState, ...],
    load: fleet_loads.Load,
    initial: fleet_roles.InitialFleet,
    first: int,
    steps: int,
    change_cost: float,
    successors: dict[tuple[str, ...], _State],
) -> None:
    """Simulate until the next decision; keep the state if it scores higher."""
    service = state.service.copy()
    for step in range(first, min(first + steps, len(load.arrivals))):
        now_s = step * fleet_loads.STEP_S
        lost_engines = fleet_loads.lost_endpoints(load, initial.domains, now_s)
        capacity = fleet_model.role_capacity(engines, lost_engines, now_s)
        service.step(load.arrivals[step], capacity, now_s)
    changes = state.changes + (engines is not state.engines)
    successor = _State(
        service, engines, changes, service.answered - change_cost * changes
    )
    merge_key = successor.merge_key(
        lost_engines, (first + steps) * fleet_loads.STEP_S
    )
    previous = successors.get(merge_key)
    if previous is None or previous.score < successor.score:
        successors[merge_key] = successor


def _candidate_changes(
    engines: tuple[fleet_model.EngineState, ...],
    lost_engines: frozenset[int],
    rules: roles.RoleRules,
    now_s: float,
) -> list[tuple[fleet_model.EngineState, ...]]:
    """Return the engines unchanged and with each single role change."""
    candidates = [engines]
    live = [
        (position, engine)
        for position, engine in enumerate(engines)
        if position not in lost_engines and now_s >= engine.changing_until_s
    ]
    max_changing = max(
        rules.changing_count, int(rules.changing_share * len(engines))
    )
    if sum(now_s < e.changing_until_s for e in engines) >= max_changing:
        return candidates
    tried_changes = set()
    for position, engine in live:
        for role in roles.Role:
            if role is engine.role or (engine.role, role) in tried_changes:
                continue
            tried_changes.add((engine.role, role))
            changed = attrs.evolve(engine)
            changed.begin_change(role, rules, now_s)
            changed_engines = (
                *engines[:position],
                changed,
                *engines[position + 1 :],
            )
            if _both_phases_live(
                changed_engines, lost_engines, now_s
            ) or not _both_phases_live(engines, lost_engines, now_s):
                candidates.append(changed_engines)
    return candidates


def _both_phases_live(
    engines: tuple[fleet_model.EngineState, ...],
    lost_engines: frozenset[int],
    now_s: float,
) -> bool:
    live_roles = [
        engine.role
        for position, engine in enumerate(engines)
        if position not in lost_engines and now_s >= engine.changing_until_s
    ]
    decoding = sum(role is not roles.Role.PREFILL for role in live_roles)
    prefilling = sum(role is not roles.Role.DECODE for role in live_roles)
    return min(decoding, prefilling) >= 2

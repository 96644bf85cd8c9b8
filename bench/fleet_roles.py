"""Simulates role planners under a load."""

import functools

import attrs

from bilberrydeal import systems
from bilberrydeal.systems import roles

from . import fleet_loads
from . import fleet_model

#: Duration of one run, in seconds.
DURATION_S = 900.0
#: Steps between runs of the planner.
PLANNER_INTERVAL_STEPS = 5
#: Length of the windows of reported demand, in seconds; a window is reported
#: once it has ended.
WINDOW_S = 2.0
#: Number of windows reported.
WINDOW_COUNT = 300
MODEL = "model"


@attrs.frozen
class RoleRun:
    """Figures of one run."""

    #: Answers in time per second.
    goodput_per_s: float
    #: Share of the requests answered in time.
    served_share: float
    #: Number of role changes ordered.
    changes: int
    #: Share of time in which a phase was live in fewer than two domains.
    exposed_share: float


@attrs.frozen
class InitialFleet:
    """Failure domains and roles of the initial fleet."""

    domains: tuple[str, ...]
    roles: tuple[roles.Role, ...]


def initial_fleet(endpoints: int, kind: str) -> InitialFleet:
    """Return engines with both roles, or split by the mean mix of phases."""
    domains = tuple(f"domain{i % 4}" for i in range(endpoints))
    if kind == "both":
        return InitialFleet(domains, (roles.Role.BOTH,) * endpoints)
    prefill = max(2, round(fleet_loads.PROMPT_SHARE * endpoints))
    return InitialFleet(
        domains,
        (roles.Role.PREFILL,) * prefill
        + (roles.Role.DECODE,) * (endpoints - prefill),
    )


def run(
    planner: roles.RolePlanner,
    initial: InitialFleet,
    load: fleet_loads.Load,
    rates: roles.ModelRates,
    rules: roles.RoleRules,
) -> RoleRun:
    """Simulate a load under a planner."""
    tables = systems.Tables()
    tables.of(roles.ModelRates).put(rates)
    engines = [fleet_model.EngineState(role) for role in initial.roles]
    service = fleet_model.ServiceState(rates)
    changes = exposed_steps = 0
    for step, arrivals in enumerate(load.arrivals):
        now_s = step * fleet_loads.STEP_S
        lost_engines = fleet_loads.lost_endpoints(load, initial.domains, now_s)
        if step % PLANNER_INTERVAL_STEPS == 0:
            _update_tables(
                tables, initial, engines, service, load, lost_engines, now_s
            )
            planner.run(tables, now_s)
            for order in tables.of(roles.RoleOrder):
                engines[int(order.key)].begin_change(order.role, rules, now_s)
                changes += 1
        capacity = fleet_model.role_capacity(engines, lost_engines, now_s)
        service.step(arrivals, capacity, now_s)
        exposed_steps += _is_exposed(initial, engines, lost_engines, now_s)
    offered = sum(arrivals.requests for arrivals in load.arrivals)
    duration_s = len(load.arrivals) * fleet_loads.STEP_S
    return RoleRun(
        goodput_per_s=service.answered / duration_s,
        served_share=service.answered / offered,
        changes=changes,
        exposed_share=exposed_steps / len(load.arrivals),
    )


def _update_tables(
    tables: systems.Tables,
    initial: InitialFleet,
    engines: list[fleet_model.EngineState],
    service: fleet_model.ServiceState,
    load: fleet_loads.Load,
    lost_engines: frozenset[int],
    now_s: float,
) -> None:
    """Update the tables with what the planner would know."""
    for position, engine in enumerate(engines):
        tables.of(roles.RoleEndpoint).put(
            roles.RoleEndpoint(
                key=str(position),
                model=MODEL,
                failure_domain=initial.domains[position],
                role=engine.role,
                changing=now_s < engine.changing_until_s,
                usable=position not in lost_engines,
                ordered_at_s=engine.ordered_at_s,
            )
        )
    queued = service.queued()
    rates = service.rates
    tables.of(roles.ModelDemand).put(
        roles.ModelDemand(
            key=MODEL,
            windows=tuple(_windows(load, rates, now_s)),
            queued_prompt_tokens=queued.prefill * rates.prefill_tokens_per_s,
            queued_output_tokens=queued.decode * rates.decode_tokens_per_s,
        )
    )


def _windows(
    load: fleet_loads.Load, rates: roles.ModelRates, now_s: float
) -> list[roles.DemandWindow]:
    end = int(now_s / WINDOW_S)
    return [
        _window(load, rates, window)
        for window in range(max(0, end - WINDOW_COUNT), end)
    ]


@functools.lru_cache(maxsize=4 * WINDOW_COUNT)
def _window(
    load: fleet_loads.Load, rates: roles.ModelRates, window: int
) -> roles.DemandWindow:
    steps = int(WINDOW_S / fleet_loads.STEP_S)
    window_arrivals = load.arrivals[window * steps : (window + 1) * steps]
    prefill_s = sum(arrivals.prefill_s for arrivals in window_arrivals)
    decode_s = sum(arrivals.decode_s for arrivals in window_arrivals)
    return roles.DemandWindow(
        end_s=(window + 1) * WINDOW_S,
        length_s=WINDOW_S,
        prompt_tokens=prefill_s * rates.prefill_tokens_per_s,
        output_tokens=decode_s * rates.decode_tokens_per_s,
    )


def _is_exposed(
    initial: InitialFleet,
    engines: list[fleet_model.EngineState],
    lost_engines: frozenset[int],
    now_s: float,
) -> bool:
    domains: dict[roles.Role, set[str]] = {role: set() for role in roles.Role}
    for position, engine in enumerate(engines):
        if position not in lost_engines and now_s >= engine.changing_until_s:
            domains[engine.role].add(initial.domains[position])
    both = domains[roles.Role.BOTH]
    return any(
        len(domains[phase] | both) < 2
        for phase in (roles.Role.PREFILL, roles.Role.DECODE)
    )

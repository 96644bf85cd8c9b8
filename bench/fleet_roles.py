"""Role planners against each other and against the hindsight best."""

import functools

import attrs

from bilberrydeal import systems
from bilberrydeal.systems import roles

from . import fleet_loads
from . import fleet_model

#: Length of one run.
DURATION_S = 900.0
#: Steps between two runs of the planner.
ROUND_STEPS = 5
#: Length of the windows in which demand is reported, and how late.
WINDOW_S = 2.0
#: Windows that are reported.
WINDOWS = 300
MODEL = "model"


@attrs.frozen
class RoleRun:
    """What one run gave."""

    #: Answers in time, a second.
    goodput_per_s: float
    #: The same as a share of the requests.
    served_share: float
    #: Changes of role ordered.
    changes: int
    #: Share of time in which a phase was live in one domain or none.
    exposed_share: float


@attrs.frozen
class Start:
    """The fleet at the beginning."""

    domains: tuple[str, ...]
    roles: tuple[roles.Role, ...]


def start(endpoints: int, kind: str) -> Start:
    """Return all engines with both roles, or split by the mean mix."""
    domains = tuple(f"domain{i % 4}" for i in range(endpoints))
    if kind == "both":
        return Start(domains, (roles.Role.BOTH,) * endpoints)
    prefill = max(2, round(fleet_loads.PROMPT_SHARE * endpoints))
    return Start(
        domains,
        (roles.Role.PREFILL,) * prefill
        + (roles.Role.DECODE,) * (endpoints - prefill),
    )


def run(
    planner: roles.RolePlanner,
    begin: Start,
    load: fleet_loads.Load,
    rates: roles.ModelRates,
    rules: roles.RoleRules,
) -> RoleRun:
    """Serve a load under a planner."""
    tables = systems.Tables()
    tables.of(roles.ModelRates).put(rates)
    engines = [fleet_model.EngineNow(role) for role in begin.roles]
    service = fleet_model.ServiceNow(rates)
    changes = exposed = 0
    for step, arrived in enumerate(load.arrivals):
        now_s = step * fleet_loads.STEP_S
        lost = fleet_loads.lost(load, begin.domains, now_s)
        if step % ROUND_STEPS == 0:
            _show(tables, begin, engines, service, load, lost, now_s)
            planner.run(tables, now_s)
            for order in tables.of(roles.RoleOrder):
                engines[int(order.key)].order(order.role, rules, now_s)
                changes += 1
        mix = fleet_model.fluid_mix(engines, lost, now_s)
        service.step(arrived, mix, now_s)
        exposed += _exposed(begin, engines, lost, now_s)
    offered = sum(arrived.requests for arrived in load.arrivals)
    duration_s = len(load.arrivals) * fleet_loads.STEP_S
    return RoleRun(
        goodput_per_s=service.answered / duration_s,
        served_share=service.answered / offered,
        changes=changes,
        exposed_share=exposed / len(load.arrivals),
    )


def _show(
    tables: systems.Tables,
    begin: Start,
    engines: list[fleet_model.EngineNow],
    service: fleet_model.ServiceNow,
    load: fleet_loads.Load,
    lost: frozenset[int],
    now_s: float,
) -> None:
    """Put what the planner would know into the tables."""
    for position, engine in enumerate(engines):
        tables.of(roles.RoleEndpoint).put(
            roles.RoleEndpoint(
                key=str(position),
                model=MODEL,
                failure_domain=begin.domains[position],
                role=engine.role,
                changing=now_s < engine.changing_until_s,
                usable=position not in lost,
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
    last = int(now_s / WINDOW_S)
    return [
        _window(load, rates, window)
        for window in range(max(0, last - WINDOWS), last)
    ]


@functools.lru_cache(maxsize=4 * WINDOWS)
def _window(
    load: fleet_loads.Load, rates: roles.ModelRates, window: int
) -> roles.DemandWindow:
    steps = int(WINDOW_S / fleet_loads.STEP_S)
    part = load.arrivals[window * steps : (window + 1) * steps]
    prefill_s = sum(arrived.prefill_s for arrived in part)
    decode_s = sum(arrived.decode_s for arrived in part)
    return roles.DemandWindow(
        end_s=(window + 1) * WINDOW_S,
        length_s=WINDOW_S,
        prompt_tokens=prefill_s * rates.prefill_tokens_per_s,
        output_tokens=decode_s * rates.decode_tokens_per_s,
    )


def _exposed(
    begin: Start,
    engines: list[fleet_model.EngineNow],
    lost: frozenset[int],
    now_s: float,
) -> bool:
    domains: dict[roles.Role, set[str]] = {role: set() for role in roles.Role}
    for position, engine in enumerate(engines):
        if position not in lost and now_s >= engine.changing_until_s:
            domains[engine.role].add(begin.domains[position])
    both = domains[roles.Role.BOTH]
    return any(
        len(domains[phase] | both) < 2
        for phase in (roles.Role.PREFILL, roles.Role.DECODE)
    )

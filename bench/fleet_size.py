"""Simulates fleet planners, and a fleet sized in hindsight, under a load."""

import collections.abc
import math

import attrs

from bilberrydeal import systems
from bilberrydeal.systems import fleet
from bilberrydeal.systems import roles

from . import fleet_loads
from . import fleet_model

#: Duration of one run, in seconds.
DURATION_S = 3600.0
#: Length of the windows of reported load, in seconds.
WINDOW_S = 5.0
#: Number of windows reported.
WINDOW_COUNT = 120
SERVICE = "model"
DOMAINS = ("domain0", "domain1", "domain2", "domain3")
#: Utilisation of an endpoint that hindsight plans for.
HINDSIGHT_BUSY_SHARE = 0.97
#: Time before and after each step over which hindsight averages the load.
HINDSIGHT_SPAN_S = 15.0


@attrs.frozen
class FleetRun:
    """Figures of one run."""

    #: Answers in time per second.
    goodput_per_s: float
    #: Share of the requests answered in time.
    served_share: float
    #: Endpoint-seconds paid for per answer in time.
    paid_s_per_answer: float
    #: Number of endpoints ordered.
    ordered: int
    #: Number of endpoints released.
    released: int


@attrs.define
class _Endpoint:
    failure_domain: str
    live_at_s: float
    order: str
    released_at_s: float = math.inf


@attrs.define
class _Platform:
    """Delivers endpoints, and counts orders and releases."""

    delivery_s: float
    endpoints: list[_Endpoint]
    ordered: int = 0
    released: int = 0

    def purchase(self, domain: str, count: int, now_s: float) -> None:
        """Order endpoints."""
        order = f"order{self.ordered}"
        self.ordered += count
        self.endpoints.extend(
            _Endpoint(domain, now_s + self.delivery_s, order)
            for _ in range(count)
        )

    def release(self, index: int, now_s: float) -> None:
        """Release an endpoint."""
        self.released += 1
        self.endpoints[index].released_at_s = now_s

    def live(self, now_s: float) -> list[int]:
        """Return the indices of the endpoints that are paid for now."""
        return [
            index
            for index, endpoint in enumerate(self.endpoints)
            if endpoint.live_at_s <= now_s < endpoint.released_at_s
        ]


def run(
    make_planner: collections.abc.Callable[[], fleet.FleetPlanner],
    initial_count: int,
    load: fleet_loads.Load,
    delivery_s: float,
    duty_period_s: float = math.inf,
) -> FleetRun:
    """Simulate a load under a planner, from ``initial_count`` endpoints on.

    Every ``duty_period_s`` the planner duty moves to a new holder. It starts
    with a new planner and knows only the load since then.
    """
    platform = _Platform(
        delivery_s,
        [
            _Endpoint(DOMAINS[i % 4], 0.0, "first")
            for i in range(initial_count)
        ],
    )
    rates = roles.ModelRates(SERVICE)
    service = fleet_model.ServiceState(rates)
    tables = systems.Tables()
    planner = make_planner()
    paid_s = 0.0
    for step, arrivals in enumerate(load.arrivals):
        now_s = step * fleet_loads.STEP_S
        known_since_s = (
            now_s // duty_period_s * duty_period_s
            if duty_period_s < now_s
            else 0.0
        )
        if now_s == known_since_s:
            planner = make_planner()
        lost_endpoints = _lost_endpoints(load, platform, now_s)
        if step % int(WINDOW_S) == 0 and step:
            _update_tables(
                tables, platform, load, lost_endpoints, now_s, known_since_s
            )
            planner.run(tables, now_s)
            _execute_plan(tables, platform, now_s)
        live = platform.live(now_s)
        paid_s += len(live) * fleet_loads.STEP_S
        usable = len([index for index in live if index not in lost_endpoints])
        capacity = fleet_model.RoleCapacity(0.0, 0.0, usable)
        service.step(arrivals, capacity, now_s)
    return _compute_figures(load, service, paid_s, platform)


def hindsight(
    load: fleet_loads.Load, with_reserve: bool, initial_count: int
) -> FleetRun:
    """Simulate a load with the fleet that it needs at each step.

    With ``with_reserve`` the fleet survives the loss of any failure domain
    at any time, as the settings require. Without it, the fleet only replaces
    endpoints that are actually lost. Endpoints are available as soon as they
    are needed and are paid by the second. This is an approximation: the need
    is the mean load around a step, and fleets that refuse some requests are
    not tried.
    """
    service = fleet_model.ServiceState(roles.ModelRates(SERVICE))
    domains = [DOMAINS[i % 4] for i in range(initial_count)]
    paid_s = 0.0
    span = int(HINDSIGHT_SPAN_S / fleet_loads.STEP_S)
    for step, arrivals in enumerate(load.arrivals):
        now_s = step * fleet_loads.STEP_S
        span_arrivals = load.arrivals[max(0, step - span) : step + span]
        busy_s = sum(
            step_arrivals.prefill_s + step_arrivals.decode_s
            for step_arrivals in span_arrivals
        )
        busy_endpoints = busy_s / len(span_arrivals) / fleet_loads.STEP_S
        required = math.ceil(
            busy_endpoints / HINDSIGHT_BUSY_SHARE / _mixed_capacity()
        )
        provisioned = required
        if with_reserve:
            need = fleet.Need(normal=required, after_loss=required)
            provisioned = sum(
                fleet.targets(
                    need,
                    dict.fromkeys(DOMAINS, 0),
                    1,
                    fleet.FleetRules(DOMAINS, (SERVICE,)),
                ).values()
            )
        unavailable = len(fleet_loads.lost_endpoints(load, domains, now_s))
        paid_count = provisioned if with_reserve else provisioned + unavailable
        usable = max(required, provisioned - unavailable)
        paid_s += paid_count * fleet_loads.STEP_S
        service.step(arrivals, fleet_model.RoleCapacity(0, 0, usable), now_s)
    return _compute_figures(load, service, paid_s, _Platform(0.0, []))


def _mixed_capacity() -> float:
    """Return the share of an endpoint's capacity that mixing leaves."""
    prompt_share = fleet_loads.PROMPT_SHARE
    return 1.0 - roles.ModelRates(SERVICE).mixing_loss * 4 * prompt_share * (
        1 - prompt_share
    )


def _compute_figures(
    load: fleet_loads.Load,
    service: fleet_model.ServiceState,
    paid_s: float,
    platform: _Platform,
) -> FleetRun:
    offered = sum(arrivals.requests for arrivals in load.arrivals)
    return FleetRun(
        goodput_per_s=service.answered
        / (len(load.arrivals) * fleet_loads.STEP_S),
        served_share=service.answered / offered,
        paid_s_per_answer=paid_s / service.answered,
        ordered=platform.ordered,
        released=platform.released,
    )


def _lost_endpoints(
    load: fleet_loads.Load, platform: _Platform, now_s: float
) -> frozenset[int]:
    domains = [endpoint.failure_domain for endpoint in platform.endpoints]
    return fleet_loads.lost_endpoints(load, domains, now_s)


def _update_tables(
    tables: systems.Tables,
    platform: _Platform,
    load: fleet_loads.Load,
    lost_endpoints: frozenset[int],
    now_s: float,
    known_since_s: float,
) -> None:
    """Update the tables with what the planner would know."""
    endpoints = tables.of(fleet.FleetEndpoint)
    endpoints.clear()
    for index in platform.live(now_s):
        endpoint = platform.endpoints[index]
        endpoints.put(
            fleet.FleetEndpoint(
                key=str(index),
                service=SERVICE,
                failure_domain=endpoint.failure_domain,
                usable=index not in lost_endpoints,
                unusable_since_s=_unusable_since_s(
                    load, index, endpoint, now_s
                ),
            )
        )
    orders = tables.of(fleet.OutstandingOrder)
    orders.clear()
    for endpoint in platform.endpoints:
        if endpoint.live_at_s > now_s:
            key = f"{endpoint.order}@{endpoint.failure_domain}"
            previous = orders.get(key)
            orders.put(
                fleet.OutstandingOrder(
                    key=key,
                    service=SERVICE,
                    failure_domain=endpoint.failure_domain,
                    missing=1 + (previous.missing if previous else 0),
                    ordered_at_s=endpoint.live_at_s - platform.delivery_s,
                )
            )
    lost_domains = {
        outage.failure_domain
        for outage in load.outages
        if outage.begin_s <= now_s < outage.end_s
    }
    for domain in DOMAINS:
        tables.of(fleet.DomainState).put(
            fleet.DomainState(domain, domain in lost_domains)
        )
    tables.of(fleet.ServiceLoad).put(
        fleet.ServiceLoad(SERVICE, tuple(_windows(load, now_s, known_since_s)))
    )


def _unusable_since_s(
    load: fleet_loads.Load,
    index: int,
    endpoint: _Endpoint,
    now_s: float,
) -> float:
    begin_times_s = [
        outage.begin_s
        for outage in load.outages
        if outage.begin_s <= now_s < outage.end_s
        and (
            index in outage.endpoints
            or outage.failure_domain == endpoint.failure_domain
        )
    ]
    return min(begin_times_s, default=0.0)


def _windows(
    load: fleet_loads.Load, now_s: float, known_since_s: float
) -> collections.abc.Iterator[fleet.LoadWindow]:
    steps = int(WINDOW_S / fleet_loads.STEP_S)
    last = int(now_s / fleet_loads.STEP_S) // steps
    first = int(known_since_s / fleet_loads.STEP_S) // steps
    for window in range(max(first, last - WINDOW_COUNT), last):
        window_arrivals = load.arrivals[window * steps : (window + 1) * steps]
        busy_s = sum(
            step_arrivals.prefill_s + step_arrivals.decode_s
            for step_arrivals in window_arrivals
        )
        yield fleet.LoadWindow(
            (window + 1) * WINDOW_S, busy_s / WINDOW_S / _mixed_capacity()
        )


def _execute_plan(
    tables: systems.Tables, platform: _Platform, now_s: float
) -> None:
    for purchase in tables.of(fleet.Purchase):
        platform.purchase(purchase.failure_domain, purchase.count, now_s)
    for release in tables.of(fleet.Release):
        platform.release(int(release.key), now_s)

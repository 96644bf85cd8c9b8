"""Fleet planners against each other and against hindsight."""

import collections.abc
import math

import attrs

from bilberrydeal import systems
from bilberrydeal.systems import fleet
from bilberrydeal.systems import roles

from . import fleet_loads
from . import fleet_model

#: Length of one run.
DURATION_S = 3600.0
#: Length of the windows in which load is reported.
WINDOW_S = 5.0
#: Windows that are reported.
WINDOWS = 120
SERVICE = "model"
DOMAINS = ("domain0", "domain1", "domain2", "domain3")
#: Load that hindsight plans an endpoint for.
BEST_BUSY_SHARE = 0.97
#: Load before and after a moment that hindsight plans for.
BEST_SPAN_S = 15.0


@attrs.frozen
class FleetRun:
    """What one run gave."""

    #: Answers in time, a second.
    goodput_per_s: float
    #: The same as a share of the requests.
    served_share: float
    #: Endpoint-seconds paid for each answer in time.
    paid_s_per_answer: float
    #: Endpoints ordered.
    ordered: int
    #: Endpoints given back.
    released: int


@attrs.define
class _Endpoint:
    failure_domain: str
    live_at_s: float
    order: str
    gone_at_s: float = math.inf


@attrs.define
class _Platform:
    """Delivers endpoints and keeps the account."""

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

    def release(self, position: int, now_s: float) -> None:
        """Take an endpoint back."""
        self.released += 1
        self.endpoints[position].gone_at_s = now_s

    def live(self, now_s: float) -> list[int]:
        """Return positions of the endpoints that are paid now."""
        return [
            position
            for position, endpoint in enumerate(self.endpoints)
            if endpoint.live_at_s <= now_s < endpoint.gone_at_s
        ]


def run(
    make_planner: collections.abc.Callable[[], fleet.FleetPlanner],
    first: int,
    load: fleet_loads.Load,
    delivery_s: float,
    held_s: float = math.inf,
) -> FleetRun:
    """Serve a load under a planner, from ``first`` endpoints on.

    Each ``held_s`` a new holder takes the duty over: it begins with a
    planner of its own and knows the load since then only.
    """
    platform = _Platform(
        delivery_s,
        [_Endpoint(DOMAINS[i % 4], 0.0, "first") for i in range(first)],
    )
    rates = roles.ModelRates(SERVICE)
    service = fleet_model.ServiceNow(rates)
    tables = systems.Tables()
    planner = make_planner()
    paid_s = 0.0
    for step, arrived in enumerate(load.arrivals):
        now_s = step * fleet_loads.STEP_S
        since_s = now_s // held_s * held_s if held_s < now_s else 0.0
        if now_s == since_s:
            planner = make_planner()
        lost = _lost(load, platform, now_s)
        if step % int(WINDOW_S) == 0 and step:
            _show(tables, platform, load, lost, now_s, since_s)
            planner.run(tables, now_s)
            _carry_out(tables, platform, now_s)
        live = platform.live(now_s)
        paid_s += len(live) * fleet_loads.STEP_S
        usable = len([p for p in live if p not in lost])
        mix = fleet_model.FluidMix(0.0, 0.0, usable)
        service.step(arrived, mix, now_s)
    return _figures(load, service, paid_s, platform)


def hindsight(load: fleet_loads.Load, reserve: bool, first: int) -> FleetRun:
    """Serve a load with the fleet that it needs at each moment.

    With ``reserve`` that fleet survives the loss of a failure domain at
    any moment, as the settings ask; without, it only makes up for the
    losses that come. Endpoints appear when they are needed and are paid by
    the second. It is an approximation: need is the mean load around a
    moment, and no fleet that lets some requests go is tried.
    """
    service = fleet_model.ServiceNow(roles.ModelRates(SERVICE))
    domains = [DOMAINS[i % 4] for i in range(first)]
    paid_s = 0.0
    span = int(BEST_SPAN_S / fleet_loads.STEP_S)
    for step, arrived in enumerate(load.arrivals):
        now_s = step * fleet_loads.STEP_S
        part = load.arrivals[max(0, step - span) : step + span]
        busy_s = sum(a.prefill_s + a.decode_s for a in part)
        busy = busy_s / len(part) / fleet_loads.STEP_S
        count = math.ceil(busy / BEST_BUSY_SHARE / _best_rate())
        held = count
        if reserve:
            need = fleet.Need(normal=count, after_loss=count)
            held = sum(
                fleet.targets(
                    need,
                    dict.fromkeys(DOMAINS, 0),
                    1,
                    fleet.FleetRules(DOMAINS, (SERVICE,)),
                ).values()
            )
        away = len(fleet_loads.lost(load, domains, now_s))
        paid = held if reserve else held + away
        usable = max(count, held - away)
        paid_s += paid * fleet_loads.STEP_S
        service.step(arrived, fleet_model.FluidMix(0, 0, usable), now_s)
    return _figures(load, service, paid_s, _Platform(0.0, []))


def _best_rate() -> float:
    """Return the part of an endpoint that mixing the phases leaves."""
    part = fleet_loads.PROMPT_SHARE
    return 1.0 - roles.ModelRates(SERVICE).mixing_loss * 4 * part * (1 - part)


def _figures(
    load: fleet_loads.Load,
    service: fleet_model.ServiceNow,
    paid_s: float,
    platform: _Platform,
) -> FleetRun:
    offered = sum(arrived.requests for arrived in load.arrivals)
    return FleetRun(
        goodput_per_s=service.answered
        / (len(load.arrivals) * fleet_loads.STEP_S),
        served_share=service.answered / offered,
        paid_s_per_answer=paid_s / service.answered,
        ordered=platform.ordered,
        released=platform.released,
    )


def _lost(
    load: fleet_loads.Load, platform: _Platform, now_s: float
) -> frozenset[int]:
    domains = [endpoint.failure_domain for endpoint in platform.endpoints]
    return fleet_loads.lost(load, domains, now_s)


def _show(
    tables: systems.Tables,
    platform: _Platform,
    load: fleet_loads.Load,
    lost: frozenset[int],
    now_s: float,
    since_s: float,
) -> None:
    """Put what the planner would know into the tables."""
    known = tables.of(fleet.FleetEndpoint)
    known.clear()
    for position in platform.live(now_s):
        endpoint = platform.endpoints[position]
        known.put(
            fleet.FleetEndpoint(
                key=str(position),
                service=SERVICE,
                failure_domain=endpoint.failure_domain,
                usable=position not in lost,
                unusable_since_s=_down_since(load, position, endpoint, now_s),
            )
        )
    orders = tables.of(fleet.OutstandingOrder)
    orders.clear()
    for endpoint in platform.endpoints:
        if endpoint.live_at_s > now_s:
            key = f"{endpoint.order}@{endpoint.failure_domain}"
            before = orders.get(key)
            orders.put(
                fleet.OutstandingOrder(
                    key=key,
                    service=SERVICE,
                    failure_domain=endpoint.failure_domain,
                    missing=1 + (before.missing if before else 0),
                    ordered_at_s=endpoint.live_at_s - platform.delivery_s,
                )
            )
    gone = {
        outage.failure_domain
        for outage in load.outages
        if outage.begin_s <= now_s < outage.end_s
    }
    for domain in DOMAINS:
        tables.of(fleet.DomainState).put(
            fleet.DomainState(domain, domain in gone)
        )
    tables.of(fleet.ServiceLoad).put(
        fleet.ServiceLoad(SERVICE, tuple(_windows(load, now_s, since_s)))
    )


def _down_since(
    load: fleet_loads.Load,
    position: int,
    endpoint: _Endpoint,
    now_s: float,
) -> float:
    begins = [
        outage.begin_s
        for outage in load.outages
        if outage.begin_s <= now_s < outage.end_s
        and (
            position in outage.endpoints
            or outage.failure_domain == endpoint.failure_domain
        )
    ]
    return min(begins, default=0.0)


def _windows(
    load: fleet_loads.Load, now_s: float, since_s: float
) -> collections.abc.Iterator[fleet.LoadWindow]:
    steps = int(WINDOW_S / fleet_loads.STEP_S)
    last = int(now_s / fleet_loads.STEP_S) // steps
    first = int(since_s / fleet_loads.STEP_S) // steps
    for window in range(max(first, last - WINDOWS), last):
        part = load.arrivals[window * steps : (window + 1) * steps]
        busy_s = sum(a.prefill_s + a.decode_s for a in part)
        yield fleet.LoadWindow(
            (window + 1) * WINDOW_S, busy_s / WINDOW_S / _best_rate()
        )


def _carry_out(
    tables: systems.Tables, platform: _Platform, now_s: float
) -> None:
    for purchase in tables.of(fleet.Purchase):
        platform.purchase(purchase.failure_domain, purchase.count, now_s)
    for release in tables.of(fleet.Release):
        platform.release(int(release.key), now_s)

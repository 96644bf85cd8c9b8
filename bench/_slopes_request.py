"""Measures how the cost of decisions on the request path grows."""

import math

from bilberrydeal import systems
from bilberrydeal.systems import admission
from bilberrydeal.systems import health
from bilberrydeal.systems import limits
from bilberrydeal.systems import queueing
from bilberrydeal.systems import routing

from . import _slopes

#: Number of decisions in one timed run.
DECISIONS = 200
MICROSECONDS_PER_S = 1e6
#: Every n-th organisation is near its limit.
NEAR_LIMIT_INTERVAL = 100


def _endpoint_tables(count: int) -> systems.Tables:
    tables = systems.Tables()
    for number in range(count):
        tables.of(systems.EndpointView).put(
            systems.EndpointView(
                f"endpoint{number}", f"domain{number % 4}", "model"
            )
        )
    return tables


def _route_us(endpoints: int, blocks: int) -> float:
    tables = _endpoint_tables(endpoints)
    router = routing.PrefixBounded(routing.RouterOptions("domain0"))
    prompts = [
        tuple(range(1_000 * n, 1_000 * n + blocks)) for n in range(DECISIONS)
    ]

    def run_decisions() -> None:
        pending = tables.of(systems.PendingRequest)
        for number, prompt in enumerate(prompts):
            request = systems.PendingRequest(
                str(number),
                f"organisation{number % 8}",
                "model",
                prompt_tokens=64 * blocks,
                blocks=prompt,
            )
            pending.put(request)
            router.run(tables, 0.0)
            pending.remove(request.key)
            router.record_end(tables, request, 0.0)

    return _slopes.cpu_s(run_decisions) / DECISIONS * MICROSECONDS_PER_S


@_slopes.SLOPES.register("route, endpoints")
def route_endpoints() -> _slopes.Slope:
    """Measure a routing decision by the endpoints of the subset."""
    return _slopes.measure_sizes(
        "one request routed, us",
        "endpoints",
        (5, 10, 20, 40, 80),
        lambda size: _route_us(size, 16),
        40,
    )


@_slopes.SLOPES.register("route, blocks")
def route_blocks() -> _slopes.Slope:
    """Measure a routing decision by the length of the prompt."""
    return _slopes.measure_sizes(
        "one request routed over 40 endpoints, us",
        "blocks of 64 tokens",
        (0, 16, 64, 128),
        lambda size: _route_us(40, size),
    )


@_slopes.SLOPES.register("queue")
def queue() -> _slopes.Slope:
    """Measure a push and a pop by the number of waiting organisations."""

    def measure(size: int) -> float:
        fair_queue = queueing.WeightedFair()

        def queued_request(number: int) -> queueing.QueuedRequest:
            return queueing.QueuedRequest(
                str(number), f"o{number % size}", 1.0, 1, 1e9, 100.0, 10.0, 1.0
            )

        for number in range(size):
            fair_queue.push(queued_request(number), 0.0)
        request_numbers = iter(range(size, 10**9))

        def run_decisions() -> None:
            for _ in range(DECISIONS):
                fair_queue.push(queued_request(next(request_numbers)), 0.0)
                popped = fair_queue.pop(0.0, 10**9)
                assert popped is not None
                fair_queue.record_end(popped, popped.cost)

        return _slopes.cpu_s(run_decisions) / DECISIONS * MICROSECONDS_PER_S

    return _slopes.measure_sizes(
        "one request through the queue, us",
        "organisations that wait",
        _slopes.ORGANISATIONS,
        measure,
    )


def _limit_tables(organisations: int, entries: int) -> systems.Tables:
    tables = systems.Tables()
    for number in range(organisations):
        near_limit = number % NEAR_LIMIT_INTERVAL == 0
        tables.of(systems.OrganisationView).put(
            systems.OrganisationView(
                f"o{number}", requests_per_s=1.0 if near_limit else math.inf
            )
        )
    for number in range(entries):
        tables.of(systems.EntryView).put(
            systems.EntryView(f"entry{number}", "domain0")
        )
    return tables


@_slopes.SLOPES.register("limits exchange")
def exchange() -> _slopes.Slope:
    """Measure one exchange at an entry where all organisations are busy."""

    def measure(size: int) -> float:
        tables = _limit_tables(size, 10)
        limiter = limits.ExchangedLimiter("entry0")
        for view in tables.of(systems.OrganisationView):
            limiter.admit(view, 100.0, 0.0)
        return _slopes.cpu_s(lambda: limiter.exchange(tables, 0.5))

    return _slopes.measure_sizes(
        "one round of the limits' exchange, s",
        "busy organisations, one in 100 near its limit",
        _slopes.ORGANISATIONS,
        measure,
    )


@_slopes.SLOPES.register("limits home")
def home() -> _slopes.Slope:
    """Measure how the home entry divides the limits of one organisation."""

    def measure(size: int) -> float:
        tables = _limit_tables(1, size)
        names = [f"entry{number}" for number in range(size)]
        limiter = limits.ExchangedLimiter(
            limits.home_entry("o0", tuple(sorted(names)))
        )
        sequences = iter(range(10**9))

        def divide_limits() -> None:
            need = limits.OrganisationNeed("o0", 1.0, 100.0, 1.0, 1)
            sequence = next(sequences)
            for name in names:
                report = limits.NeedReport(name, sequence, (need,))
                limiter.receive_need(report, 0.0)
            limiter.exchange(tables, 0.0)

        return _slopes.cpu_s(divide_limits)

    return _slopes.measure_sizes(
        "one organisation's limits divided for all entries, s",
        "entries",
        (4, 48, 137, 410),
        measure,
    )


@_slopes.SLOPES.register("admission")
def admit() -> _slopes.Slope:
    """Measure an admission by the organisations with requests in flight."""

    def measure(size: int) -> float:
        tables = _limit_tables(size, 1)
        control = admission.FairShed(10**9)
        requests = [
            systems.PendingRequest(str(n), f"o{n}", "model")
            for n in range(size)
        ]
        for request in requests:
            control.admit(tables, request, 0.0)

        def run_decisions() -> None:
            for number in range(DECISIONS):
                request = requests[number % size]
                control.admit(tables, request, 0.0)
                control.release(request, 0.0)

        return _slopes.cpu_s(run_decisions) / DECISIONS * MICROSECONDS_PER_S

    return _slopes.measure_sizes(
        "one request admitted and released, us",
        "organisations in flight",
        _slopes.ORGANISATIONS,
        measure,
    )


@_slopes.SLOPES.register("health")
def health_tick() -> _slopes.Slope:
    """Measure a run of the health system by the number of endpoints."""

    def measure(size: int) -> float:
        tables = _endpoint_tables(size)
        system = health.OutlierHealth(1)
        for view in tables.of(systems.EndpointView):
            for _ in range(10):
                system.observe(health.Observation(view.key, True, 1.0), 0.0)
        return _slopes.cpu_s(lambda: system.run(tables, 0.0))

    return _slopes.measure_sizes(
        "one run of the health system, s",
        "endpoints",
        (5, 10, 20, 40, 80),
        measure,
        40,
    )

"""How the request path's decisions grow."""

import math

from bilberrydeal import systems
from bilberrydeal.systems import admission
from bilberrydeal.systems import health
from bilberrydeal.systems import limits
from bilberrydeal.systems import queueing
from bilberrydeal.systems import routing

from . import _slopes

#: Decisions in one timed run.
REPEATS = 200
MICROSECONDS = 1e6
#: One organisation in so many is near its limit.
NEAR_EVERY = 100


def _endpoints(count: int) -> systems.Tables:
    tables = systems.Tables()
    for number in range(count):
        tables.of(systems.EndpointView).put(
            systems.EndpointView(
                f"endpoint{number}", f"domain{number % 4}", "model"
            )
        )
    return tables


def _route_us(endpoints: int, blocks: int) -> float:
    tables = _endpoints(endpoints)
    router = routing.PrefixBounded(routing.RouterOptions("domain0"))
    prompts = [
        tuple(range(1_000 * n, 1_000 * n + blocks)) for n in range(REPEATS)
    ]

    def work() -> None:
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

    return _slopes.cpu_s(work) / REPEATS * MICROSECONDS


@_slopes.SLOPES.register("route, endpoints")
def route_endpoints() -> _slopes.Slope:
    """Measure one routing decision by the endpoints of the subset."""
    return _slopes.over(
        "one request routed, us",
        "endpoints",
        (5, 10, 20, 40, 80),
        lambda size: _route_us(size, 16),
        40,
    )


@_slopes.SLOPES.register("route, blocks")
def route_blocks() -> _slopes.Slope:
    """Measure one routing decision by the length of the prompt."""
    return _slopes.over(
        "one request routed over 40 endpoints, us",
        "blocks of 64 tokens",
        (0, 16, 64, 128),
        lambda size: _route_us(40, size),
    )


@_slopes.SLOPES.register("queue")
def queue() -> _slopes.Slope:
    """Measure one push and pop by the organisations that wait."""

    def measure(size: int) -> float:
        waiting = queueing.WeightedFair()

        def item(number: int) -> queueing.QueuedRequest:
            return queueing.QueuedRequest(
                str(number), f"o{number % size}", 1.0, 1, 1e9, 100.0, 10.0, 1.0
            )

        for number in range(size):
            waiting.push(item(number), 0.0)
        serial = iter(range(size, 10**9))

        def work() -> None:
            for _ in range(REPEATS):
                waiting.push(item(next(serial)), 0.0)
                taken = waiting.pop(0.0, 10**9)
                assert taken is not None
                waiting.record_end(taken, taken.cost)

        return _slopes.cpu_s(work) / REPEATS * MICROSECONDS

    return _slopes.over(
        "one request through the queue, us",
        "organisations that wait",
        _slopes.ORGANISATIONS,
        measure,
    )


def _limited(organisations: int, entries: int) -> systems.Tables:
    tables = systems.Tables()
    for number in range(organisations):
        near = number % NEAR_EVERY == 0
        tables.of(systems.OrganisationView).put(
            systems.OrganisationView(
                f"o{number}", requests_per_s=1.0 if near else math.inf
            )
        )
    for number in range(entries):
        tables.of(systems.EntryView).put(
            systems.EntryView(f"entry{number}", "domain0")
        )
    return tables


@_slopes.SLOPES.register("limits exchange")
def exchange() -> _slopes.Slope:
    """Measure a round of the exchange, each organisation busy here."""

    def measure(size: int) -> float:
        tables = _limited(size, 10)
        limiter = limits.ExchangedLimiter("entry0")
        for view in tables.of(systems.OrganisationView):
            limiter.admit(view, 100.0, 0.0)
        return _slopes.cpu_s(lambda: limiter.exchange(tables, 0.5))

    return _slopes.over(
        "one round of the limits' exchange, s",
        "busy organisations, one in 100 near its limit",
        _slopes.ORGANISATIONS,
        measure,
    )


@_slopes.SLOPES.register("limits home")
def home() -> _slopes.Slope:
    """Measure the home's division of one organisation's limits."""

    def measure(size: int) -> float:
        tables = _limited(1, size)
        names = [f"entry{number}" for number in range(size)]
        limiter = limits.ExchangedLimiter(
            limits.home_entry("o0", tuple(sorted(names)))
        )
        sequences = iter(range(10**9))

        def work() -> None:
            need = limits.OrganisationNeed("o0", 1.0, 100.0, 1.0, 1)
            sequence = next(sequences)
            for name in names:
                report = limits.NeedReport(name, sequence, (need,))
                limiter.receive_need(report, 0.0)
            limiter.exchange(tables, 0.0)

        return _slopes.cpu_s(work)

    return _slopes.over(
        "one organisation's limits divided for all entries, s",
        "entries",
        (4, 48, 137, 410),
        measure,
    )


@_slopes.SLOPES.register("admission")
def admit() -> _slopes.Slope:
    """Measure one admission by the organisations in flight."""

    def measure(size: int) -> float:
        tables = _limited(size, 1)
        control = admission.FairShed(10**9)
        requests = [
            systems.PendingRequest(str(n), f"o{n}", "model")
            for n in range(size)
        ]
        for request in requests:
            control.admit(tables, request, 0.0)

        def work() -> None:
            for number in range(REPEATS):
                request = requests[number % size]
                control.admit(tables, request, 0.0)
                control.release(request, 0.0)

        return _slopes.cpu_s(work) / REPEATS * MICROSECONDS

    return _slopes.over(
        "one request admitted and released, us",
        "organisations in flight",
        _slopes.ORGANISATIONS,
        measure,
    )


@_slopes.SLOPES.register("health")
def health_tick() -> _slopes.Slope:
    """Measure one run of the health system."""

    def measure(size: int) -> float:
        tables = _endpoints(size)
        system = health.OutlierHealth(1)
        for view in tables.of(systems.EndpointView):
            for _ in range(10):
                system.observe(health.Observation(view.key, True, 1.0), 0.0)
        return _slopes.cpu_s(lambda: system.run(tables, 0.0))

    return _slopes.over(
        "one run of the health system, s",
        "endpoints",
        (5, 10, 20, 40, 80),
        measure,
        40,
    )

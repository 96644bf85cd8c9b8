"""Seeded loads for the experiments on roles and on fleet size."""

import collections.abc
import math
import random

import attrs

#: Length of one step of a load and of the model that serves it.
STEP_S = 1.0
#: Requests a second that keep one endpoint busy.
REQUESTS_PER_S = 1.5
#: Prompt's part of the work of an average request.
PROMPT_SHARE = 0.38


@attrs.frozen
class Arrivals:
    """What arrives in one step."""

    #: Requests.
    requests: int
    #: Endpoint-seconds of prompt work of all of them.
    prefill_s: float
    #: Endpoint-seconds of output work of all of them.
    decode_s: float


@attrs.frozen
class Outage:
    """Endpoints that are away for some time."""

    #: Positions of the endpoints in the fleet; empty for a whole domain.
    endpoints: tuple[int, ...]
    #: Failure domain that is lost; empty for single endpoints.
    failure_domain: str
    begin_s: float
    end_s: float


@attrs.frozen(eq=False)
class Load:
    """One seeded load."""

    arrivals: tuple[Arrivals, ...]
    outages: tuple[Outage, ...] = ()


@attrs.frozen
class Shape:
    """The expected load at one time."""

    #: Work that arrives, in endpoints fully busy.
    busy: float
    #: Prompt's part of the work.
    prompt_share: float


Curve = collections.abc.Callable[[float], Shape]


def steady(busy: float) -> Curve:
    """Return a load that does not change."""
    return lambda now_s: Shape(busy, PROMPT_SHARE)


def swing(busy: float) -> Curve:
    """Return a load whose prompt share goes up and down by half.

    It stays high for two minutes, low for two, with ramps of half a minute.
    """

    def at(now_s: float) -> Shape:
        phase = now_s % 300.0
        ramp = min(1.0, max(-1.0, (75.0 - abs(phase - 150.0)) / 15.0))
        return Shape(busy, PROMPT_SHARE * (1.0 + 0.5 * ramp))

    return at


def holy_week(busy: float) -> Curve:
    """Return long histories before rushes of short answers."""

    def at(now_s: float) -> Shape:
        phase = now_s % 450.0
        if phase < 200.0:
            return Shape(0.9 * busy, 0.7)
        if phase < 350.0:
            return Shape(1.15 * busy, 0.2)
        return Shape(0.6 * busy, PROMPT_SHARE)

    return at


def surge(busy: float) -> Curve:
    """Return a load that doubles within two minutes, and falls again."""

    def at(now_s: float) -> Shape:
        phase = now_s % 1200.0
        rise = min(1.0, max(0.0, (250.0 - abs(phase - 600.0)) / 120.0))
        return Shape(busy * (1.0 + rise), PROMPT_SHARE)

    return at


CURVES: dict[str, collections.abc.Callable[[float], Curve]] = {
    "steady": steady,
    "swing": swing,
    "holy_week": holy_week,
    "endpoint_losses": swing,
    "domain_loss": swing,
    "surge": surge,
}


def make(
    name: str, busy: float, endpoints: int, duration_s: float, seed: int
) -> Load:
    """Return a load by its name, with its outages."""
    drawn = random.Random(f"{name}-{seed}")
    curve = CURVES[name](busy)
    steps = int(duration_s / STEP_S)
    arrivals = tuple(
        _step(curve(step * STEP_S), drawn) for step in range(steps)
    )
    return Load(arrivals, tuple(_outages(name, endpoints, duration_s, drawn)))


def _step(shape: Shape, drawn: random.Random) -> Arrivals:
    work_s = 1.0 / REQUESTS_PER_S
    requests = _poisson(shape.busy / work_s * STEP_S, drawn)
    prefill_s = decode_s = 0.0
    for _ in range(requests):
        prefill_s += work_s * shape.prompt_share * _spread(drawn)
        decode_s += work_s * (1.0 - shape.prompt_share) * _spread(drawn)
    return Arrivals(requests, prefill_s, decode_s)


def _spread(drawn: random.Random) -> float:
    """Return a lognormal factor with mean 1."""
    sigma = 0.6
    return drawn.lognormvariate(-sigma * sigma / 2, sigma)


def _poisson(mean: float, drawn: random.Random) -> int:
    count = 0
    left = mean
    while True:
        left -= drawn.expovariate(1.0)
        if left < 0.0:
            return count
        count += 1


def _outages(
    name: str, endpoints: int, duration_s: float, drawn: random.Random
) -> collections.abc.Iterator[Outage]:
    if name == "endpoint_losses":
        now_s = drawn.expovariate(1 / 150.0)
        while now_s < duration_s:
            lost = drawn.randrange(endpoints)
            yield Outage((lost,), "", now_s, now_s + 60.0)
            now_s += 60.0 + drawn.expovariate(1 / 90.0)
    if name == "domain_loss":
        begin_s = 0.25 * duration_s + drawn.uniform(0.0, 60.0)
        domain = f"domain{drawn.randrange(min(4, endpoints))}"
        yield Outage((), domain, begin_s, begin_s + 0.4 * duration_s)


def lost(
    load: Load, domains: collections.abc.Sequence[str], now_s: float
) -> frozenset[int]:
    """Return positions of the endpoints that are away."""
    away: set[int] = set()
    for outage in load.outages:
        if outage.begin_s <= now_s < outage.end_s:
            away.update(outage.endpoints)
            away.update(
                i for i, d in enumerate(domains) if d == outage.failure_domain
            )
    return frozenset(away)


def ceil(value: float) -> int:
    """Return the next whole number, forgiving rounding errors."""
    return math.ceil(value - 1e-9)

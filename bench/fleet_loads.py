"""Seeded loads for the experiments on roles and on fleet size."""

import collections.abc
import math
import random

import attrs

#: Length of one step of a load and of the model, in seconds.
STEP_S = 1.0
#: Requests per second that keep one endpoint fully busy.
REQUESTS_PER_S = 1.5
#: Share of the prompt in the work of an average request.
PROMPT_SHARE = 0.38


@attrs.frozen
class Arrivals:
    """Requests that arrive in one step."""

    #: Number of requests.
    requests: int
    #: Total prompt work, in endpoint-seconds.
    prefill_s: float
    #: Total output work, in endpoint-seconds.
    decode_s: float


@attrs.frozen
class Outage:
    """Endpoints that are unavailable for some time."""

    #: Indices of the endpoints in the fleet; empty for a whole domain.
    endpoints: tuple[int, ...]
    #: Failure domain that is lost; empty for individual endpoints.
    failure_domain: str
    begin_s: float
    end_s: float


@attrs.frozen(eq=False)
class Load:
    """Arrivals and outages of one seeded load."""

    arrivals: tuple[Arrivals, ...]
    outages: tuple[Outage, ...] = ()


@attrs.frozen
class ExpectedLoad:
    """The expected load at one time."""

    #: Arriving work, in fully busy endpoints.
    busy_endpoints: float
    #: Share of the prompt in the work.
    prompt_share: float


LoadCurve = collections.abc.Callable[[float], ExpectedLoad]


def steady(busy_endpoints: float) -> LoadCurve:
    """Return a constant load."""
    return lambda now_s: ExpectedLoad(busy_endpoints, PROMPT_SHARE)


def swing(busy_endpoints: float) -> LoadCurve:
    """Return a load whose prompt share rises and falls by half.

    It stays high for two minutes and low for two, with ramps of half a
    minute.
    """

    def at(now_s: float) -> ExpectedLoad:
        phase = now_s % 300.0
        ramp = min(1.0, max(-1.0, (75.0 - abs(phase - 150.0)) / 15.0))
        return ExpectedLoad(busy_endpoints, PROMPT_SHARE * (1.0 + 0.5 * ramp))

    return at


def holy_week(busy_endpoints: float) -> LoadCurve:
    """Return a load of long prompts followed by rushes of short answers."""

    def at(now_s: float) -> ExpectedLoad:
        phase = now_s % 450.0
        if phase < 200.0:
            return ExpectedLoad(0.9 * busy_endpoints, 0.7)
        if phase < 350.0:
            return ExpectedLoad(1.15 * busy_endpoints, 0.2)
        return ExpectedLoad(0.6 * busy_endpoints, PROMPT_SHARE)

    return at


def surge(busy_endpoints: float) -> LoadCurve:
    """Return a load that doubles within two minutes and falls again later."""

    def at(now_s: float) -> ExpectedLoad:
        phase = now_s % 1200.0
        rise = min(1.0, max(0.0, (250.0 - abs(phase - 600.0)) / 120.0))
        return ExpectedLoad(busy_endpoints * (1.0 + rise), PROMPT_SHARE)

    return at


LOAD_CURVES: dict[str, collections.abc.Callable[[float], LoadCurve]] = {
    "steady": steady,
    "swing": swing,
    "holy_week": holy_week,
    "endpoint_losses": swing,
    "domain_loss": swing,
    "surge": surge,
}


def make_load(
    name: str,
    busy_endpoints: float,
    endpoints: int,
    duration_s: float,
    seed: int,
) -> Load:
    """Return the load of a name, with its outages."""
    rng = random.Random(f"{name}-{seed}")
    curve = LOAD_CURVES[name](busy_endpoints)
    steps = int(duration_s / STEP_S)
    arrivals = tuple(
        _step_arrivals(curve(step * STEP_S), rng) for step in range(steps)
    )
    return Load(arrivals, tuple(_outages(name, endpoints, duration_s, rng)))


def _step_arrivals(expected: ExpectedLoad, rng: random.Random) -> Arrivals:
    work_s = 1.0 / REQUESTS_PER_S
    requests = _poisson(expected.busy_endpoints / work_s * STEP_S, rng)
    prefill_s = decode_s = 0.0
    for _ in range(requests):
        prefill_s += work_s * expected.prompt_share * _lognormal_factor(rng)
        decode_s += (
            work_s * (1.0 - expected.prompt_share) * _lognormal_factor(rng)
        )
    return Arrivals(requests, prefill_s, decode_s)


def _lognormal_factor(rng: random.Random) -> float:
    """Return a lognormal factor with mean 1."""
    sigma = 0.6
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def _poisson(mean: float, rng: random.Random) -> int:
    count = 0
    remaining = mean
    while True:
        remaining -= rng.expovariate(1.0)
        if remaining < 0.0:
            return count
        count += 1


def _outages(
    name: str, endpoints: int, duration_s: float, rng: random.Random
) -> collections.abc.Iterator[Outage]:
    if name == "endpoint_losses":
        now_s = rng.expovariate(1 / 150.0)
        while now_s < duration_s:
            lost = rng.randrange(endpoints)
            yield Outage((lost,), "", now_s, now_s + 60.0)
            now_s += 60.0 + rng.expovariate(1 / 90.0)
    if name == "domain_loss":
        begin_s = 0.25 * duration_s + rng.uniform(0.0, 60.0)
        domain = f"domain{rng.randrange(min(4, endpoints))}"
        yield Outage((), domain, begin_s, begin_s + 0.4 * duration_s)


def lost_endpoints(
    load: Load, domains: collections.abc.Sequence[str], now_s: float
) -> frozenset[int]:
    """Return the indices of the endpoints that are unavailable."""
    unavailable: set[int] = set()
    for outage in load.outages:
        if outage.begin_s <= now_s < outage.end_s:
            unavailable.update(outage.endpoints)
            unavailable.update(
                index
                for index, domain in enumerate(domains)
                if domain == outage.failure_domain
            )
    return frozenset(unavailable)


def ceil(value: float) -> int:
    """Round up, tolerating rounding errors of up to 1e-9."""
    return math.ceil(value - 1e-9)

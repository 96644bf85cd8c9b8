"""Real daemons under load: what organisations get and are billed."""

import asyncio
import collections.abc
import functools
import pathlib
import random
import statistics
import tempfile
import time

import attrs
import uvloop

from bilberrydeal import settings
from bilberrydeal.systems import queueing
from scenarios import _caller
from scenarios import _fleet
from scenarios import _promises
from scenarios import _shape
from scenarios import _waits
from standins import engine

from . import _experiments
from . import _request_path

#: Weight of each organisation; the last one floods.
WEIGHTS = {"catania": 2.0, "ragusa": 1.0, "noto": 1.0, "modica": 1.0}
FLOODER = "modica"
#: Requests that an engine works on at once.
RUNNING_LIMIT = 16
ENGINES = 4
#: Time of one step of the engine stand-in; slow, so that processors are not
#: what bounds the run.
STEP_S = 0.02
#: Tokens of an answer: least and most.
TOKENS = (20, 60)
PROMPT_WORDS = 60
#: Time that a caller waits.
DEADLINE_S = 4.0
#: What comes in this time is not counted.
WARM_UP_S = 3.0
LOAD_S = 18.0
#: Offered work of each organisation over its share of the engines.
LOADS = {
    "steady": dict.fromkeys(WEIGHTS, 0.7),
    "flood": dict.fromkeys(WEIGHTS, 0.8) | {FLOODER: 10.0},
}
POLICIES = ("product", "all_baselines")
SEEDS = (1, 2, 3)
#: Least of its entitled share that any organisation gets under the flood.
WORST_SERVED = 0.95


@attrs.frozen
class Arrival:
    """One request and what an answer to it costs."""

    #: When it comes, in seconds from the beginning.
    at_s: float
    entry: int
    ask: _caller.Ask
    cost: float


def _costs() -> dict[str, float]:
    return dict.fromkeys(WEIGHTS, 0.0)


@attrs.define
class Tally:
    """What callers were told."""

    #: Cost offered and served in time, by organisation.
    offered: dict[str, float] = attrs.field(factory=_costs)
    served: dict[str, float] = attrs.field(factory=_costs)
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    #: Time to the first token, of those who do not flood.
    first_s: list[float] = attrs.field(factory=list)

    def count(self, arrival: Arrival, outcome: _caller.Outcome) -> None:
        """Take one outcome."""
        name = arrival.ask.organisation
        self.offered[name] += arrival.cost
        took_s = outcome.ended_s - outcome.started_s
        if outcome.answered and took_s <= DEADLINE_S:
            self.in_time += 1
            self.served[name] += arrival.cost
        elif outcome.answered:
            self.late += 1
        elif outcome.executed == "no":
            self.refused += 1
        else:
            self.failed += 1


def arrivals(
    load: dict[str, float],
    marker: collections.abc.Callable[[], str],
    seed: int,
) -> list[Arrival]:
    """Return the requests of one run in the order of their times."""
    tokens = statistics.fmean(TOKENS)
    engine_step_s = STEP_S + RUNNING_LIMIT * engine.Rates().decode_token_s
    capacity_per_s = ENGINES * RUNNING_LIMIT / engine_step_s / tokens
    found = []
    for name, weight in WEIGHTS.items():
        dice = random.Random(f"{seed} {name}")
        share = weight / sum(WEIGHTS.values())
        rate_per_s = load[name] * share * capacity_per_s
        at_s = dice.expovariate(rate_per_s)
        while at_s < LOAD_S:
            found.append(_arrival(at_s, name, marker(), dice))
            at_s += dice.expovariate(rate_per_s)
    return sorted(found, key=lambda arrival: arrival.at_s)


def _arrival(
    at_s: float, organisation: str, marker: str, dice: random.Random
) -> Arrival:
    ask = _caller.completion(
        marker,
        organisation,
        max_tokens=dice.randint(*TOKENS),
        stream=True,
        padding=PROMPT_WORDS,
    )
    ask = attrs.evolve(ask, deadline_s=DEADLINE_S)
    cost = queueing.cost(PROMPT_WORDS, ask.max_tokens)
    return Arrival(at_s, dice.randrange(2), ask, cost)


async def measure(
    load: dict[str, float], policy: settings.PolicySettings, seed: int
) -> tuple[_experiments.Figure, ...]:
    """Run one load against a fleet of its own."""
    shape = _shape.Shape(
        entries=2,
        engines=ENGINES,
        plains=0,
        step_s=STEP_S,
        running_limit=RUNNING_LIMIT,
        proxied=False,
        policy=policy,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with _fleet.Fleet(shape, pathlib.Path(folder)) as fleet:
            for name, weight in WEIGHTS.items():
                await fleet.operator(0).organisation(name, weight)
                await fleet.issue_key(name)
            for name in WEIGHTS:
                await _known_everywhere(fleet, name)
            tally = await _loaded(fleet, arrivals(load, fleet.marker, seed))
            return (*_figures(tally), *await _bills(fleet))


async def _known_everywhere(fleet: _fleet.Fleet, organisation: str) -> None:
    for entry in range(len(fleet.entries)):
        await _waits.eventually(
            functools.partial(fleet.serves, entry, organisation),
            f"an answer for {organisation}",
        )


async def _loaded(
    fleet: _fleet.Fleet, coming: collections.abc.Iterable[Arrival]
) -> Tally:
    """Send all requests at their times, whatever became of earlier ones."""
    tally = Tally()
    began_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for arrival in coming:
            wait_s = began_s + arrival.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            group.create_task(_send(fleet, arrival, tally))
    return tally


async def _send(fleet: _fleet.Fleet, arrival: Arrival, tally: Tally) -> None:
    began_s = time.monotonic()
    first: list[float] = []

    def note() -> None:
        if not first:
            first.append(time.monotonic() - began_s)

    outcome = await fleet.ask(arrival.entry, arrival.ask, on_text=note)
    if arrival.at_s >= WARM_UP_S:
        tally.count(arrival, outcome)
        if arrival.ask.organisation != FLOODER:
            tally.first_s += first


def _figures(tally: Tally) -> tuple[_experiments.Figure, ...]:
    figure = _experiments.Figure
    offered = tally.in_time + tally.late + tally.refused + tally.failed
    firsts = statistics.quantiles(tally.first_s, n=20)
    return (
        figure("goodput_per_s", tally.in_time / (LOAD_S - WARM_UP_S)),
        figure("offered_per_s", offered / (LOAD_S - WARM_UP_S)),
        figure("late_share", tally.late / offered),
        figure("refused_share", tally.refused / offered),
        figure("failed_share", tally.failed / offered),
        figure("others_first_p95_s", firsts[-1]),
        *(
            figure(f"offered_cost_{number}", tally.offered[name])
            for number, name in enumerate(WEIGHTS)
        ),
        *(
            figure(f"served_cost_{number}", tally.served[name])
            for number, name in enumerate(WEIGHTS)
        ),
    )


async def _bills(fleet: _fleet.Fleet) -> tuple[_experiments.Figure, ...]:
    """Wait for complete bills; count what they lack and what was broken."""
    missing: list[str] = []

    async def complete() -> bool:
        missing[:] = _promises.bills_are_complete(fleet.evidence())
        return not missing

    try:
        await _waits.eventually(complete, "complete bills")
    except TimeoutError:
        pass
    broken = _promises.broken(fleet.evidence())
    return (
        _experiments.Figure("bills_incomplete", float(len(missing))),
        _experiments.Figure("promises_broken", float(len(broken))),
    )


@_experiments.EXPERIMENTS.register("daemons")
class Daemons:
    """Two entries and four engines as processes, with one that floods."""

    title = "Real daemons under load"
    columns = (
        "offered_per_s",
        "goodput_per_s",
        "worst_served",
        "worst_of_others",
        "late_share",
        "refused_share",
        "failed_share",
        "others_first_p95_s",
        "bills_incomplete",
        "promises_broken",
    )
    targets = (
        _experiments.Target("flood", "product", "worst_served", WORST_SERVED),
        _experiments.Target(
            "flood", "product", "worst_of_others", WORST_SERVED
        ),
        _experiments.Target("", "product", "bills_incomplete", 0.0, True),
        _experiments.Target("", "product", "promises_broken", 0.0, True),
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all runs."""
        return tuple(
            _experiments.Case("daemons", "4 engines", load, policy, seed)
            for load in LOADS
            for policy in POLICIES
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Measure once."""
        policy = _request_path.POLICIES[case.policy]
        return uvloop.run(measure(LOADS[case.load], policy, case.seed))

    def compare(
        self, measured: tuple[_experiments.Measured, ...]
    ) -> tuple[_experiments.Measured, ...]:
        """Add the worst served, of what the best policy could serve."""
        capacities: dict[tuple[str, int], float] = {}
        for one in measured:
            key = (one.case.load, one.case.seed)
            served = sum(
                one.value(f"served_cost_{number}")
                for number in range(len(WEIGHTS))
            )
            capacities[key] = max(served, capacities.get(key, 0.0))
        return tuple(
            _with_worst(one, capacities[one.case.load, one.case.seed])
            for one in measured
        )


def _with_worst(
    one: _experiments.Measured, capacity: float
) -> _experiments.Measured:
    weights = tuple(WEIGHTS.values())
    flooder = list(WEIGHTS).index(FLOODER)
    worst = _request_path.worst_served(one, weights, capacity)
    others = _request_path.worst_served(one, weights, capacity, flooder)
    return attrs.evolve(
        one,
        figures=(
            *one.figures,
            _experiments.Figure("worst_served", worst),
            _experiments.Figure("worst_of_others", others),
        ),
    )


__all__ = ["Daemons"]

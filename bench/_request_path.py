"""Experiment on the request path against its baselines."""

import attrs

from bilberrydeal import settings

from . import _experiments
from . import _loads
from . import _simulation

DEFAULT_POLICY = settings.PolicySettings()
#: The default policy, and each baseline with the parts that it replaces.
POLICIES = {
    "product": DEFAULT_POLICY,
    "round_robin": attrs.evolve(DEFAULT_POLICY, routing="round_robin"),
    "least_outstanding": attrs.evolve(
        DEFAULT_POLICY, routing="least_outstanding"
    ),
    "first_come": attrs.evolve(DEFAULT_POLICY, queueing="first_come"),
    "no_ejection": attrs.evolve(DEFAULT_POLICY, health="never"),
    "all_baselines": attrs.evolve(
        DEFAULT_POLICY,
        routing="round_robin",
        queueing="first_come",
        limits="local_only",
        health="never",
        retries="never",
        admission="bounded",
    ),
}
CLAIRVOYANT = "clairvoyant"
LARGE_SIZE_POLICIES = ("product", "least_outstanding", "all_baselines")
SEEDS = (1, 2, 3)


def run(case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
    """Simulate one case of the request path."""
    knowledge = _simulation.EntryKnowledge()
    policy = DEFAULT_POLICY
    if case.policy == CLAIRVOYANT:
        knowledge = _simulation.EntryKnowledge(0.0, clairvoyant=True)
    else:
        policy = POLICIES[case.policy]
    simulation = _simulation.Simulation(
        _loads.SIZES[case.size],
        _loads.LOADS.get(case.load),
        policy,
        knowledge,
        case.seed,
    )
    return simulation.run()


@_experiments.EXPERIMENTS.register("request_path")
class RequestPath:
    """All policies under all loads."""

    title = "Request path"
    columns = (
        "goodput_per_s",
        "goodput_share",
        "worst_served",
        "worst_of_others",
        "endpoint_s_per_answer",
        "late_share",
        "refused_share",
        "failed_share",
        "first_token_p95_s",
        "between_tokens_p95_s",
    )
    targets = (
        _experiments.Target("", "product", "goodput_share", 0.95),
        _experiments.Target("flood", "product", "worst_served", 0.95),
        _experiments.Target("flood", "product", "worst_of_others", 0.95),
    )
    loads = (
        "steady",
        "swing",
        "holy_week",
        "flood",
        "losses",
        "lost_domain",
        "slow_endpoint",
    )
    large_loads = ("swing", "flood")

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all cases."""
        return tuple(
            _experiments.Case("request_path", size, load, policy, seed)
            for size, loads, policies in (
                ("russo", self.loads, (*POLICIES, CLAIRVOYANT)),
                ("large", self.large_loads, LARGE_SIZE_POLICIES),
            )
            for load in loads
            for policy in policies
            for seed in (SEEDS if size == "russo" else SEEDS[:2])
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Run one case."""
        return run(case)

    def compare(
        self, measurements: tuple[_experiments.Measurement, ...]
    ) -> tuple[_experiments.Measurement, ...]:
        """Add the ratios to the best goodput and to the entitled service."""
        groups: dict[tuple[str, str, int], list[_experiments.Measurement]] = {}
        for measurement in measurements:
            key = (
                measurement.case.size,
                measurement.case.load,
                measurement.case.seed,
            )
            groups.setdefault(key, []).append(measurement)
        return tuple(
            self._with_shares(measurement, groups[key])
            for key, group in groups.items()
            for measurement in group
        )

    def _with_shares(
        self,
        measurement: _experiments.Measurement,
        group: list[_experiments.Measurement],
    ) -> _experiments.Measurement:
        best = max(candidate.value("goodput_per_s") for candidate in group)
        share = measurement.value("goodput_per_s") / best if best else 1.0
        weights = _loads.SIZES[measurement.case.size].weights
        capacity = max(
            _served_cost(candidate, len(weights)) for candidate in group
        )
        worst_served_share = worst_served(measurement, weights, capacity)
        flooding_index = _loads.LOADS.get(
            measurement.case.load
        ).flooding_organisation()
        others = worst_served(measurement, weights, capacity, flooding_index)
        endpoints = _loads.SIZES[measurement.case.size].endpoints
        endpoint_s = endpoints / max(measurement.value("goodput_per_s"), 1e-9)
        return attrs.evolve(
            measurement,
            figures=(
                *measurement.figures,
                _experiments.Figure("goodput_share", share),
                _experiments.Figure("worst_served", worst_served_share),
                _experiments.Figure("worst_of_others", others),
                _experiments.Figure("endpoint_s_per_answer", endpoint_s),
            ),
        )


def worst_served(
    measurement: _experiments.Measurement,
    weights: tuple[float, ...],
    capacity: float,
    flooding_index: int | None = None,
) -> float:
    """Return the lowest ratio of served to entitled cost.

    An organisation is entitled to what it offers, up to its weighted
    max-min fair share of the capacity. The flooding organisation is left
    out if given.
    """
    offered = [
        measurement.value(f"offered_cost_{index}")
        for index in range(len(weights))
    ]
    entitled = fair_shares(offered, weights, capacity)
    return min(
        measurement.value(f"served_cost_{index}") / entitled[index]
        for index in range(len(weights))
        if entitled[index] > 0.0 and index != flooding_index
    )


def fair_shares(
    offered: list[float], weights: tuple[float, ...], capacity: float
) -> list[float]:
    """Divide a capacity into weighted max-min fair shares."""
    shares = [0.0] * len(offered)
    unsatisfied = set(range(len(offered)))
    remaining = capacity
    while unsatisfied:
        weight = sum(weights[n] for n in unsatisfied)
        satisfied = {
            n
            for n in unsatisfied
            if offered[n] <= remaining * weights[n] / weight
        }
        if not satisfied:
            for n in unsatisfied:
                shares[n] = remaining * weights[n] / weight
            break
        for n in satisfied:
            shares[n] = offered[n]
        remaining -= sum(offered[n] for n in satisfied)
        unsatisfied -= satisfied
    return shares


def _served_cost(
    measurement: _experiments.Measurement, organisations: int
) -> float:
    return sum(
        measurement.value(f"served_cost_{index}")
        for index in range(organisations)
    )

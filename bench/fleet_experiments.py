"""Experiments on roles, fleet size, subsets and paced recovery."""

import functools
import math

import attrs

from bilberrydeal.systems import fleet
from bilberrydeal.systems import roles

from . import _experiments
from . import fleet_best
from . import fleet_loads
from . import fleet_pacing
from . import fleet_roles
from . import fleet_size
from . import fleet_subsets

SEEDS = (1, 2, 3)
HINDSIGHT = "hindsight"
#: Suffix of a policy whose planner duty moves to a new holder periodically.
HANDOVER_SUFFIX = "_handed_over"
#: Time for which each holder has the duty, in seconds.
DUTY_PERIOD_S = 400.0

_Figures = tuple[_experiments.Figure, ...]
_Measurements = tuple[_experiments.Measurement, ...]


def _figures(run: attrs.AttrsInstance) -> _Figures:
    """Return the numeric fields of a run as figures."""
    return tuple(
        _experiments.Figure(name, float(value))
        for name, value in attrs.asdict(run, recurse=False).items()
        if not isinstance(value, str)
    )


def _with_ratio_to_best(
    measurements: _Measurements, figure: str, name: str
) -> _Measurements:
    """Add the ratio of a figure to that of the hindsight best of its load."""
    best_values = {
        (
            measurement.case.size,
            measurement.case.load,
            measurement.case.seed,
        ): measurement.value(figure)
        for measurement in measurements
        if measurement.case.policy == HINDSIGHT
    }
    return tuple(
        attrs.evolve(
            measurement,
            figures=(
                *measurement.figures,
                _experiments.Figure(
                    name,
                    measurement.value(figure)
                    / max(
                        1e-9,
                        best_values.get(
                            (
                                measurement.case.size,
                                measurement.case.load,
                                measurement.case.seed,
                            ),
                            float("nan"),
                        ),
                    ),
                ),
            ),
        )
        for measurement in measurements
    )


@attrs.frozen
class RoleSize:
    """Number, load and mixing loss of the engines of one model."""

    endpoints: int
    #: Mean load over the capacity of the endpoints.
    busy_share: float
    mixing_loss: float


ROLE_SIZES = {
    "5": RoleSize(5, 0.85, 0.1),
    "5_stalls": RoleSize(5, 0.9, 0.3),
    "12_stalls": RoleSize(12, 0.9, 0.3),
}


@_experiments.EXPERIMENTS.register("roles")
class Roles:
    """Role planners under a changing mix of prefill and decode work.

    In ``5_stalls`` and ``12_stalls`` the engines lose 0.3 of their capacity
    when they mix the phases, in ``5`` they lose 0.1. All engines start with
    both roles, except with ``split``, where each starts with a fixed role.
    """

    title = "Roles"
    columns = (
        "served_share",
        "goodput_of_best",
        "changes",
        "changes_over_best",
        "exposed_share",
    )
    targets = (
        _experiments.Target("", "horizon", "goodput_of_best", 0.95),
        _experiments.Target("", "horizon_split", "goodput_of_best", 0.95),
        _experiments.Target("", "horizon", "changes_over_best", 2.0, True),
    )
    policies = (
        "static",
        "static_split",
        "greedy",
        "horizon",
        "horizon_split",
        HINDSIGHT,
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all cases."""
        return tuple(
            _experiments.Case("roles", size, load, policy, seed)
            for size in ROLE_SIZES
            for load in (
                "steady",
                "swing",
                "holy_week",
                "endpoint_losses",
                "domain_loss",
            )
            for policy in self.policies
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> _Figures:
        """Run one case."""
        size = ROLE_SIZES[case.size]
        load = fleet_loads.make_load(
            case.load,
            size.busy_share * size.endpoints,
            size.endpoints,
            fleet_roles.DURATION_S,
            case.seed,
        )
        rates = roles.ModelRates(
            fleet_roles.MODEL, mixing_loss=size.mixing_loss
        )
        rules = roles.RoleRules()
        name, _, kind = case.policy.partition("_")
        initial = fleet_roles.initial_fleet(size.endpoints, kind or "both")
        if name == HINDSIGHT:
            return _figures(fleet_best.find_best(initial, load, rates, rules))
        planner = roles.ROLE_PLANNERS.get(name)(rules)
        return _figures(fleet_roles.run(planner, initial, load, rates, rules))

    def compare(self, measurements: _Measurements) -> _Measurements:
        """Add the ratios to the hindsight best."""
        measurements = _with_ratio_to_best(
            measurements, "served_share", "goodput_of_best"
        )
        return _with_ratio_to_best(
            _at_least_one(measurements, "changes"),
            "changes",
            "changes_over_best",
        )


def _at_least_one(measurements: _Measurements, name: str) -> _Measurements:
    """Raise a figure of the hindsight best to at least one, as a divisor."""
    return tuple(
        attrs.evolve(
            measurement,
            figures=tuple(
                attrs.evolve(figure, value=max(1.0, figure.value))
                if figure.name == name and measurement.case.policy == HINDSIGHT
                else figure
                for figure in measurement.figures
            ),
        )
        for measurement in measurements
    )


@_experiments.EXPERIMENTS.register("fleet_size")
class FleetSize:
    """Fleet planners with deliveries slower than the changes of the load.

    The size is the delivery time in seconds. ``hindsight`` includes the
    reserve for the loss of a failure domain, ``hindsight_bare`` does not.
    """

    title = "Fleet size"
    columns = (
        "served_share",
        "goodput_of_best",
        "paid_s_per_answer",
        "cost_of_best",
        "ordered",
        "released",
    )
    targets = (
        _experiments.Target("", "domain_loss", "goodput_of_best", 0.95),
        _experiments.Target(
            "", "domain_loss_handed_over", "goodput_of_best", 0.95
        ),
    )
    policies = (
        "fixed",
        "reactive",
        "domain_loss",
        "domain_loss_handed_over",
        HINDSIGHT,
        "hindsight_bare",
    )
    #: Mean load in fully busy endpoints, and the initial number of endpoints.
    busy_endpoints = 6.0
    initial_endpoints = 10

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all cases."""
        loads = ("steady", "holy_week", "surge", "endpoint_losses")
        return tuple(
            _experiments.Case("fleet_size", size, load, policy, seed)
            for size, size_loads in (
                ("60", (*loads, "domain_loss")),
                ("240", ("surge", "domain_loss")),
            )
            for load in size_loads
            for policy in self.policies
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> _Figures:
        """Run one case."""
        load = fleet_loads.make_load(
            case.load,
            self.busy_endpoints,
            self.initial_endpoints,
            fleet_size.DURATION_S,
            case.seed,
        )
        if case.policy.startswith(HINDSIGHT):
            with_reserve = case.policy == HINDSIGHT
            return _figures(
                fleet_size.hindsight(
                    load, with_reserve, self.initial_endpoints
                )
            )
        delivery_s = float(case.size)
        rules = fleet.FleetRules(
            failure_domains=fleet_size.DOMAINS,
            services=(fleet_size.SERVICE,),
            fewest_per_domain=3 if case.policy == "fixed" else 1,
            delivery_s=delivery_s,
        )
        planner = fleet.FLEET_PLANNERS.get(
            case.policy.removesuffix(HANDOVER_SUFFIX)
        )
        duty_period_s = (
            DUTY_PERIOD_S
            if case.policy.endswith(HANDOVER_SUFFIX)
            else math.inf
        )
        return _figures(
            fleet_size.run(
                functools.partial(planner, rules),
                self.initial_endpoints,
                load,
                delivery_s,
                duty_period_s,
            )
        )

    def compare(self, measurements: _Measurements) -> _Measurements:
        """Add the ratios to the hindsight best."""
        measurements = _with_ratio_to_best(
            measurements, "served_share", "goodput_of_best"
        )
        return _with_ratio_to_best(
            measurements, "paid_s_per_answer", "cost_of_best"
        )


@_experiments.EXPERIMENTS.register("subsets")
class Subsets:
    """Balance, coverage and movement of subsets of 40 endpoints.

    The size is endpoints x entries x services.
    """

    title = "Subsets"
    columns = (
        "max_over_mean",
        "load_deviation",
        "coverage_min",
        "size_mean",
        "service_min",
        "one_domain",
        "endpoint_movement",
        "entry_movement",
        "assign_s",
    )
    targets = (
        _experiments.Target("", "covered_rendezvous", "coverage_min", 3.0),
        _experiments.Target(
            "", "covered_rendezvous", "one_domain", 0.0, at_most=True
        ),
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all cases."""
        return tuple(
            _experiments.Case("subsets", size, "members", policy, seed)
            for size in fleet_subsets.SIZES
            for policy in fleet_subsets.ASSIGNERS
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> _Figures:
        """Run one case."""
        endpoints, entries, services = map(int, case.size.split("x"))
        return _figures(
            fleet_subsets.measure(
                case.policy, endpoints, entries, services, case.seed
            )
        )

    def compare(self, measurements: _Measurements) -> _Measurements:
        """Return the runs unchanged."""
        return measurements


@_experiments.EXPERIMENTS.register("recovery")
class Recovery:
    """Entries that reconnect to the store, or restart, all at once."""

    title = "Paced recovery"
    columns = (
        "serving_p50_s",
        "serving_max_s",
        "reads_peak_per_s",
        "writes_peak_per_s",
        "refused_share",
        "recovered_s",
    )
    targets = (
        _experiments.Target("", "paced", "serving_max_s", 10.0, at_most=True),
        _experiments.Target("", "paced", "refused_share", 0.01, at_most=True),
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all cases."""
        return tuple(
            _experiments.Case("recovery", size, load, policy, seed)
            for size in ("8", "137", "410")
            for load in fleet_pacing.LOADS
            for policy in fleet_pacing.PACING_POLICIES
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> _Figures:
        """Run one case."""
        return _figures(
            fleet_pacing.run(case.policy, int(case.size), case.load, case.seed)
        )

    def compare(self, measurements: _Measurements) -> _Measurements:
        """Return the runs unchanged."""
        return measurements

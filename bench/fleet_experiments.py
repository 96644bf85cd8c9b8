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
BEST = "hindsight"
#: Ending of a policy whose duty is taken over by a new holder now and then.
HANDED_OVER = "_handed_over"
#: For so long each of them holds it.
HELD_S = 400.0

_Figures = tuple[_experiments.Figure, ...]
_AllMeasured = tuple[_experiments.Measured, ...]


def _figures(run: attrs.AttrsInstance) -> _Figures:
    """Return the fields of a run as figures."""
    return tuple(
        _experiments.Figure(name, float(value))
        for name, value in attrs.asdict(run, recurse=False).items()
        if not isinstance(value, str)
    )


def _beside_best(
    measured: _AllMeasured, figure: str, name: str
) -> _AllMeasured:
    """Add a figure over that of the hindsight best of the same load."""
    best = {
        (one.case.size, one.case.load, one.case.seed): one.value(figure)
        for one in measured
        if one.case.policy == BEST
    }
    return tuple(
        attrs.evolve(
            one,
            figures=(
                *one.figures,
                _experiments.Figure(
                    name,
                    one.value(figure)
                    / max(
                        1e-9,
                        best.get(
                            (one.case.size, one.case.load, one.case.seed),
                            float("nan"),
                        ),
                    ),
                ),
            ),
        )
        for one in measured
    )


@attrs.frozen
class RoleSize:
    """Engines of one model, and what mixing phases costs them."""

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
    """Role planners under a shifting mix.

    ``5_stalls`` and ``12_stalls`` are engines that lose 0.3 of their
    capacity where they mix the phases, ``5`` loses 0.1. Fleets start with
    engines of both roles but for ``split``, which start with fixed roles.
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
        BEST,
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all runs."""
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
        """Carry out one run."""
        size = ROLE_SIZES[case.size]
        load = fleet_loads.make(
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
        begin = fleet_roles.start(size.endpoints, kind or "both")
        if name == BEST:
            return _figures(fleet_best.best(begin, load, rates, rules))
        planner = roles.ROLE_PLANNERS.get(name)(rules)
        return _figures(fleet_roles.run(planner, begin, load, rates, rules))

    def compare(self, measured: _AllMeasured) -> _AllMeasured:
        """Add shares of the hindsight best."""
        measured = _beside_best(measured, "served_share", "goodput_of_best")
        return _beside_best(
            _at_least_one(measured, "changes"), "changes", "changes_over_best"
        )


def _at_least_one(measured: _AllMeasured, name: str) -> _AllMeasured:
    """Let the hindsight best count one change where it made none."""
    return tuple(
        attrs.evolve(
            one,
            figures=tuple(
                attrs.evolve(figure, value=max(1.0, figure.value))
                if figure.name == name and one.case.policy == BEST
                else figure
                for figure in one.figures
            ),
        )
        for one in measured
    )


@_experiments.EXPERIMENTS.register("fleet_size")
class FleetSize:
    """Fleet planners where delivery is slower than the load swings.

    The size is the time of a delivery in seconds. ``hindsight`` holds the
    reserve for a lost failure domain, ``hindsight_bare`` none.
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
        BEST,
        "hindsight_bare",
    )
    #: Mean load in endpoints fully busy, and endpoints at the beginning.
    busy = 6.0
    first = 10

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all runs."""
        loads = ("steady", "holy_week", "surge", "endpoint_losses")
        return tuple(
            _experiments.Case("fleet_size", size, load, policy, seed)
            for size, some in (
                ("60", (*loads, "domain_loss")),
                ("240", ("surge", "domain_loss")),
            )
            for load in some
            for policy in self.policies
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> _Figures:
        """Carry out one run."""
        load = fleet_loads.make(
            case.load,
            self.busy,
            self.first,
            fleet_size.DURATION_S,
            case.seed,
        )
        if case.policy.startswith(BEST):
            reserve = case.policy == BEST
            return _figures(fleet_size.hindsight(load, reserve, self.first))
        delivery_s = float(case.size)
        rules = fleet.FleetRules(
            failure_domains=fleet_size.DOMAINS,
            services=(fleet_size.SERVICE,),
            fewest_per_domain=3 if case.policy == "fixed" else 1,
            delivery_s=delivery_s,
        )
        planner = fleet.FLEET_PLANNERS.get(
            case.policy.removesuffix(HANDED_OVER)
        )
        held_s = HELD_S if case.policy.endswith(HANDED_OVER) else math.inf
        return _figures(
            fleet_size.run(
                functools.partial(planner, rules),
                self.first,
                load,
                delivery_s,
                held_s,
            )
        )

    def compare(self, measured: _AllMeasured) -> _AllMeasured:
        """Add shares of the hindsight best."""
        measured = _beside_best(measured, "served_share", "goodput_of_best")
        return _beside_best(measured, "paid_s_per_answer", "cost_of_best")


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
        """Return all runs."""
        return tuple(
            _experiments.Case("subsets", size, "members", way, seed)
            for size in fleet_subsets.SIZES
            for way in fleet_subsets.ASSIGNERS
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> _Figures:
        """Carry out one run."""
        endpoints, entries, services = map(int, case.size.split("x"))
        return _figures(
            fleet_subsets.measure(
                case.policy, endpoints, entries, services, case.seed
            )
        )

    def compare(self, measured: _AllMeasured) -> _AllMeasured:
        """Return the runs as they are."""
        return measured


@_experiments.EXPERIMENTS.register("recovery")
class Recovery:
    """Entries that find the store again, or start, all at once."""

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
        """Return all runs."""
        return tuple(
            _experiments.Case("recovery", size, load, policy, seed)
            for size in ("8", "137", "410")
            for load in fleet_pacing.LOADS
            for policy in fleet_pacing.WAYS
            for seed in SEEDS
        )

    def run(self, case: _experiments.Case) -> _Figures:
        """Carry out one run."""
        return _figures(
            fleet_pacing.run(case.policy, int(case.size), case.load, case.seed)
        )

    def compare(self, measured: _AllMeasured) -> _AllMeasured:
        """Return the runs as they are."""
        return measured

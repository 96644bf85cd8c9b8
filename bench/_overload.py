"""Goodput past saturation."""

import attrs

from . import _experiments
from . import _loads
from . import _request_path

#: The first load of the ladder at which some requests are not answered.
SATURATION = "x1.25"
#: Three times as much.
THREE_TIMES = "x3.75"
POLICIES = ("product", "first_come", "all_baselines")


@_experiments.EXPERIMENTS.register("overload")
class Overload:
    """A ladder of loads up to three times saturation."""

    title = "Overload"
    columns = (
        "offered_per_s",
        "goodput_per_s",
        "flatness",
        "late_share",
        "refused_share",
        "first_token_p95_s",
    )
    targets = (_experiments.Target(THREE_TIMES, "product", "flatness", 0.95),)

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all runs."""
        return tuple(
            _experiments.Case("overload", "russo", f"x{factor}", policy, seed)
            for factor in _loads.LADDER
            for policy in POLICIES
            for seed in _request_path.SEEDS
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Carry out one run."""
        return _request_path.run(case)

    def compare(
        self, measured: tuple[_experiments.Measured, ...]
    ) -> tuple[_experiments.Measured, ...]:
        """Add the goodput over that at saturation, seed by seed."""
        at_saturation = {
            (one.case.policy, one.case.seed): one.value("goodput_per_s")
            for one in measured
            if one.case.load == SATURATION
        }
        return tuple(_compared(one, at_saturation) for one in measured)


def _compared(
    one: _experiments.Measured, at_saturation: dict[tuple[str, int], float]
) -> _experiments.Measured:
    base = at_saturation.get((one.case.policy, one.case.seed), float("nan"))
    flatness = one.value("goodput_per_s") / base
    figure = _experiments.Figure("flatness", flatness)
    return attrs.evolve(one, figures=(*one.figures, figure))

"""Experiment on goodput beyond saturation."""

import attrs

from . import _experiments
from . import _loads
from . import _request_path

#: The lowest load at which some requests are not answered.
SATURATION_LOAD = "x1.25"
#: Three times the saturation load.
TRIPLE_SATURATION_LOAD = "x3.75"
POLICIES = ("product", "first_come", "all_baselines")


@_experiments.EXPERIMENTS.register("overload")
class Overload:
    """Increasing loads up to three times saturation."""

    title = "Overload"
    columns = (
        "offered_per_s",
        "goodput_per_s",
        "flatness",
        "late_share",
        "refused_share",
        "first_token_p95_s",
    )
    targets = (
        _experiments.Target(
            TRIPLE_SATURATION_LOAD, "product", "flatness", 0.95
        ),
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all cases."""
        return tuple(
            _experiments.Case("overload", "russo", f"x{factor}", policy, seed)
            for factor in _loads.OVERLOAD_FACTORS
            for policy in POLICIES
            for seed in _request_path.SEEDS
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Run one case."""
        return _request_path.run(case)

    def compare(
        self, measurements: tuple[_experiments.Measurement, ...]
    ) -> tuple[_experiments.Measurement, ...]:
        """Add the goodput over that at saturation with the same seed."""
        at_saturation = {
            (
                measurement.case.policy,
                measurement.case.seed,
            ): measurement.value("goodput_per_s")
            for measurement in measurements
            if measurement.case.load == SATURATION_LOAD
        }
        return tuple(
            _with_flatness(measurement, at_saturation)
            for measurement in measurements
        )


def _with_flatness(
    measurement: _experiments.Measurement,
    at_saturation: dict[tuple[str, int], float],
) -> _experiments.Measurement:
    saturation_goodput_per_s = at_saturation.get(
        (measurement.case.policy, measurement.case.seed), float("nan")
    )
    flatness = measurement.value("goodput_per_s") / saturation_goodput_per_s
    figure = _experiments.Figure("flatness", flatness)
    return attrs.evolve(measurement, figures=(*measurement.figures, figure))

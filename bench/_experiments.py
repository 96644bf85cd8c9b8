"""Interface of experiments: their cases, figures and targets."""

import collections.abc
import typing

import attrs

from bilberrydeal import registry


@attrs.frozen
class Case:
    """One run of an experiment, described by names so that it is picklable."""

    #: Name of the experiment.
    experiment: str
    #: Name of the size.
    size: str
    #: Name of the load.
    load: str
    #: Name of the policy or baseline.
    policy: str
    #: Seed of the random number generators.
    seed: int


@attrs.frozen
class Figure:
    """One named value that a run measured."""

    #: Name, with its unit.
    name: str
    #: Measured value.
    value: float


@attrs.frozen
class Measurement:
    """The result of one run."""

    #: The case that was run.
    case: Case
    #: Values that were measured.
    figures: tuple[Figure, ...]

    def value(self, name: str) -> float:
        """Return a figure by its name; NaN if it is missing."""
        for figure in self.figures:
            if figure.name == name:
                return figure.value
        return float("nan")


@attrs.frozen
class Target:
    """A bound on the median of a figure."""

    #: Name of the load; empty for all.
    load: str
    #: Name of the policy.
    policy: str
    #: Name of the figure.
    figure: str
    #: The bound.
    bound: float
    #: Whether the bound is an upper bound; otherwise it is a lower bound.
    at_most: bool = False


class Experiment(typing.Protocol):
    """A set of runs whose figures are compared.

    Example::

        @EXPERIMENTS.register("roles")
        class Roles:
            title = "Roles under a shifting mix"
            columns = ("goodput_per_s", "role_changes")
            targets = (Target("", "horizon", "goodput_share", 0.95),)

            def cases(self) -> tuple[Case, ...]: ...
            def run(self, case: Case) -> tuple[Figure, ...]: ...
            def compare(self, measurements): return measurements
    """

    @property
    def title(self) -> str:
        """Heading of the result table."""

    @property
    def columns(self) -> tuple[str, ...]:
        """Names of the figures shown in the table."""

    @property
    def targets(self) -> tuple[Target, ...]:
        """Bounds that are checked; the results are printed below the table."""

    def cases(self) -> tuple[Case, ...]:
        """Return all cases."""

    def run(self, case: Case) -> tuple[Figure, ...]:
        """Run one case; may be called in any process."""

    def compare(
        self, measurements: tuple[Measurement, ...]
    ) -> tuple[Measurement, ...]:
        """Add figures that compare runs, such as a ratio to the best."""


#: Experiment factories by name.
EXPERIMENTS: registry.Registry[collections.abc.Callable[[], Experiment]] = (
    registry.Registry("experiment")
)

"""Experiments: what is run, and what it gives."""

import collections.abc
import typing

import attrs

from bilberrydeal import registry


@attrs.frozen
class Case:
    """One run of an experiment, by names, so that it can be sent around."""

    #: Name of the experiment.
    experiment: str
    #: Name of the size.
    size: str
    #: Name of the load.
    load: str
    #: Name of the policy or baseline.
    policy: str
    #: Seed of all random choices.
    seed: int


@attrs.frozen
class Figure:
    """One figure that a run gave."""

    #: What it is, with its unit.
    name: str
    #: Its value.
    value: float


@attrs.frozen
class Measured:
    """A run and its figures."""

    #: The run.
    case: Case
    #: What it gave.
    figures: tuple[Figure, ...]

    def value(self, name: str) -> float:
        """Return a figure; not a number without it."""
        for figure in self.figures:
            if figure.name == name:
                return figure.value
        return float("nan")


@attrs.frozen
class Target:
    """A bound that the median of a figure should keep."""

    #: Name of the load; empty for all.
    load: str
    #: Name of the policy.
    policy: str
    #: Name of the figure.
    figure: str
    #: The bound.
    bound: float
    #: Whether the figure must not be above the bound; else not below.
    at_most: bool = False


class Experiment(typing.Protocol):
    """A set of runs.

    Example::

        @EXPERIMENTS.register("roles")
        class Roles:
            title = "Roles under a shifting mix"
            columns = ("goodput_per_s", "role_changes")
            targets = (Target("", "horizon", "goodput_share", 0.95),)

            def cases(self) -> tuple[Case, ...]: ...
            def run(self, case: Case) -> tuple[Figure, ...]: ...
            def compare(self, measured): return measured
    """

    @property
    def title(self) -> str:
        """Heading of its table."""

    @property
    def columns(self) -> tuple[str, ...]:
        """Figures that its table shows."""

    @property
    def targets(self) -> tuple[Target, ...]:
        """Bounds that are checked and printed below the table."""

    def cases(self) -> tuple[Case, ...]:
        """Return all runs."""

    def run(self, case: Case) -> tuple[Figure, ...]:
        """Carry out one run, in any process."""

    def compare(self, measured: tuple[Measured, ...]) -> tuple[Measured, ...]:
        """Add figures that need several runs, such as a share of the best."""


#: Experiments by name, each made without arguments.
EXPERIMENTS: registry.Registry[collections.abc.Callable[[], Experiment]] = (
    registry.Registry("experiment")
)

"""What a scenario recorded: what callers were told, and the journals."""

import collections.abc
import pathlib

import attrs

import standins
from standins import engine
from standins import plain
from standins import platform

from . import _caller

#: Sentences about breaks of a promise.
Violations = collections.abc.Iterator[str]


@attrs.frozen
class Evidence:
    """All that was recorded in one scenario."""

    #: What callers were told.
    outcomes: tuple[_caller.Outcome, ...]
    #: Journals of the engines by name.
    engines: dict[str, pathlib.Path]
    #: Journals of the plain services by name.
    plains: dict[str, pathlib.Path]
    #: Journal of the platform.
    platform_journal: pathlib.Path
    #: Every key and secret that exists.
    secrets: tuple[str, ...]
    #: Endpoints listed at first by failure domain.
    initial_endpoints: dict[str, int] = attrs.field(factory=dict)
    #: Most endpoints that the plan may hold in each, 0 without a plan.
    most_per_domain: int = 0
    #: Failure domains of the engines.
    domains: dict[str, str] = attrs.field(factory=dict)

    def generations(self) -> list[engine.Executed]:
        """Return all generations."""
        return _all(self.engines, engine.Executed)

    def calls(self) -> list[plain.Executed]:
        """Return all calls of plain services."""
        return _all(self.plains, plain.Executed)

    def reports(self) -> list[platform.Reported]:
        """Return all usage reports that arrived."""
        return standins.load(self.platform_journal, platform.Reported)


def _all(
    journals: dict[str, pathlib.Path], kind: type[standins.Event]
) -> list[standins.Event]:
    return [
        event
        for path in journals.values()
        for event in standins.load(path, kind)
    ]

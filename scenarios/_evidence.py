"""Records of a scenario: outcomes of requests, and journals."""

import collections.abc
import pathlib

import attrs

import standins
from standins import engine
from standins import plain
from standins import platform

from . import _caller

#: One sentence for each violation of an invariant.
Violations = collections.abc.Iterator[str]


@attrs.frozen
class Evidence:
    """Everything that was recorded in one scenario."""

    #: Outcomes of all requests.
    outcomes: tuple[_caller.Outcome, ...]
    #: Paths of the engines' journals, by name.
    engines: dict[str, pathlib.Path]
    #: Paths of the plain services' journals, by name.
    plain_services: dict[str, pathlib.Path]
    #: Path of the platform's journal.
    platform_journal: pathlib.Path
    #: All keys and secrets, to find leaks.
    secrets: tuple[str, ...]
    #: Number of endpoints listed at start, by failure domain.
    initial_endpoints: dict[str, int] = attrs.field(factory=dict)
    #: Maximum endpoints per failure domain, 0 without planning.
    most_per_domain: int = 0
    #: Failure domain of each engine.
    domains: dict[str, str] = attrs.field(factory=dict)

    def generations(self) -> list[engine.Executed]:
        """Return all generations that engines executed."""
        return _load_all(self.engines, engine.Executed)

    def calls(self) -> list[plain.Executed]:
        """Return all calls that plain services executed."""
        return _load_all(self.plain_services, plain.Executed)

    def reports(self) -> list[platform.Reported]:
        """Return all usage reports that the platform received."""
        return standins.load(self.platform_journal, platform.Reported)


def _load_all(
    journals: dict[str, pathlib.Path], kind: type[standins.Event]
) -> list[standins.Event]:
    return [
        event
        for path in journals.values()
        for event in standins.load(path, kind)
    ]

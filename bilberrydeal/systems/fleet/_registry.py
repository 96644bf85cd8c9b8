"""Registry of the fleet planners."""

import typing

from ... import registry
from .. import _schedule
from . import _rules


class FleetPlanner(_schedule.System, typing.Protocol):
    """Reads load, endpoints and outstanding orders of all failure domains.

    Writes :class:`Purchase` and :class:`Release` rows, which contain only the
    decisions of the last run. The process responsible for a failure domain
    executes the rows of its failure domain and ignores the others.
    """

    def __init__(self, rules: _rules.FleetRules) -> None:
        """Create a planner that follows the given rules."""


FLEET_PLANNERS: registry.Registry[type[FleetPlanner]] = registry.Registry(
    "fleet planner"
)

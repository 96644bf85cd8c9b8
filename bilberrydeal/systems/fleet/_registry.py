"""Fleet planners by name."""

import typing

from ... import registry
from .. import _schedule
from . import _rules


class FleetPlanner(_schedule.System, typing.Protocol):
    """Reads load, endpoints and outstanding orders of all failure domains.

    Writes :class:`Purchase` and :class:`Release` rows, which hold just the
    decisions of the last run. The holder of one failure domain's duty
    carries out the rows of its failure domain and ignores the others.
    """

    def __init__(self, rules: _rules.FleetRules) -> None:
        """Take the bounds to keep to."""


FLEET_PLANNERS: registry.Registry[type[FleetPlanner]] = registry.Registry(
    "fleet planner"
)

"""Registry of the role planners."""

import typing

from ... import registry
from .. import _schedule
from . import _rules


class RolePlanner(_schedule.System, typing.Protocol):
    """Reads demand, rates and endpoints; writes :class:`RoleOrder` rows.

    The table of orders contains only the decisions of the last run.
    """

    def __init__(self, rules: _rules.RoleRules) -> None:
        """Create a planner that follows the given rules."""


ROLE_PLANNERS: registry.Registry[type[RolePlanner]] = registry.Registry(
    "role planner"
)

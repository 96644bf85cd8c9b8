"""Role planner that never changes a role."""

import typing

from .. import _tables
from . import _entities
from . import _plan
from . import _registry
from . import _rules


@_registry.ROLE_PLANNERS.register("static")
class StaticRoles:
    """Never orders a change."""

    reads: typing.ClassVar[tuple[type, ...]] = ()
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.RoleOrder,)

    def __init__(self, rules: _rules.RoleRules) -> None:
        self.rules = rules

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Clear the table of orders."""
        _plan.clear_orders(tables)

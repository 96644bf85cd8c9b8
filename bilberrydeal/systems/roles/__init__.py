"""Decides how many engines of a model prefill, decode or do both."""

from ._capacity import Mix
from ._capacity import served_share
from ._capacity import Work
from ._capacity import work
from ._entities import DemandWindow
from ._entities import ModelDemand
from ._entities import ModelRates
from ._entities import Role
from ._entities import RoleEndpoint
from ._entities import RoleOrder
from ._greedy import GreedyRoles
from ._horizon import HorizonRoles
from ._registry import ROLE_PLANNERS
from ._registry import RolePlanner
from ._rules import RoleRules
from ._static import StaticRoles

__all__ = [
    "ROLE_PLANNERS",
    "DemandWindow",
    "GreedyRoles",
    "HorizonRoles",
    "Mix",
    "ModelDemand",
    "ModelRates",
    "Role",
    "RoleEndpoint",
    "RoleOrder",
    "RolePlanner",
    "RoleRules",
    "StaticRoles",
    "Work",
    "served_share",
    "work",
]

"""Plans how many engines of a model prefill, decode or do both."""

from ._capacity import Mix
from ._capacity import served_share
from ._capacity import Work
from ._capacity import work
from ._entities import Assignment
from ._entities import DemandWindow
from ._entities import EngineOrder
from ._entities import ModelDemand
from ._entities import ModelRates
from ._entities import ModelVersion
from ._entities import Role
from ._entities import RoleEndpoint
from ._entities import RoleOrder
from ._greedy import GreedyRoles
from ._horizon import HorizonRoles
from ._registry import ROLE_PLANNERS
from ._registry import RolePlanner
from ._rules import RoleRules
from ._settled import SettledOrders
from ._static import StaticRoles

__all__ = [
    "ROLE_PLANNERS",
    "Assignment",
    "DemandWindow",
    "EngineOrder",
    "GreedyRoles",
    "HorizonRoles",
    "Mix",
    "ModelDemand",
    "ModelRates",
    "ModelVersion",
    "Role",
    "RoleEndpoint",
    "RoleOrder",
    "RolePlanner",
    "RoleRules",
    "SettledOrders",
    "StaticRoles",
    "Work",
    "served_share",
    "work",
]

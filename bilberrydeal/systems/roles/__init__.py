"""Plans how many engines of a model prefill, decode or do both."""

from ._capacity import Mix
from ._capacity import served_share
from ._capacity import Work
from ._capacity import work_from_rates
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
from ._order_merger import EngineOrderMerger
from ._registry import ROLE_PLANNERS
from ._registry import RolePlanner
from ._rules import RoleRules
from ._static import StaticRoles

__all__ = [
    "Assignment",
    "DemandWindow",
    "EngineOrder",
    "EngineOrderMerger",
    "GreedyRoles",
    "HorizonRoles",
    "Mix",
    "ModelDemand",
    "ModelRates",
    "ModelVersion",
    "ROLE_PLANNERS",
    "Role",
    "RoleEndpoint",
    "RoleOrder",
    "RolePlanner",
    "RoleRules",
    "StaticRoles",
    "Work",
    "served_share",
    "work_from_rates",
]

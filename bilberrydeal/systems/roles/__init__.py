"""Decides how many engines of a model prefill, decode or do both."""

from ._entities import DemandWindow
from ._entities import ModelDemand
from ._entities import ModelRates
from ._entities import Role
from ._entities import RoleEndpoint
from ._entities import RoleOrder
from ._registry import ROLE_PLANNERS
from ._registry import RolePlanner
from ._rules import RoleRules
from ._static import StaticRoles

__all__ = [
    "ROLE_PLANNERS",
    "DemandWindow",
    "ModelDemand",
    "ModelRates",
    "Role",
    "RoleEndpoint",
    "RoleOrder",
    "RolePlanner",
    "RoleRules",
    "StaticRoles",
]

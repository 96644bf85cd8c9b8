"""Plans which endpoints to order and release in each failure domain."""

from ._domain_loss import DomainLossFleet
from ._entities import DomainState
from ._entities import FleetEndpoint
from ._entities import LoadWindow
from ._entities import OutstandingOrder
from ._entities import Purchase
from ._entities import Release
from ._entities import ServiceLoad
from ._fixed import FixedFleet
from ._reactive import ReactiveFleet
from ._registry import FLEET_PLANNERS
from ._registry import FleetPlanner
from ._rules import FleetRules
from ._targets import Need
from ._targets import targets

__all__ = [
    "FLEET_PLANNERS",
    "DomainLossFleet",
    "DomainState",
    "FixedFleet",
    "FleetEndpoint",
    "FleetPlanner",
    "FleetRules",
    "LoadWindow",
    "Need",
    "OutstandingOrder",
    "Purchase",
    "ReactiveFleet",
    "Release",
    "ServiceLoad",
    "targets",
]

"""Background duties, each run by one entry at a time under a lease."""

from ._duty import Duty
from ._duty import RoundContext
from ._fleet import FleetDecision
from ._fleet import FleetDuty
from ._fleet import FleetView
from ._fleet import IntentRow
from ._fleet import IntentState
from ._roles import EngineTarget
from ._roles import Orders
from ._roles import RoleDuty
from ._runner import DutyRunner
from ._sweep import SweepDuty
from ._usage import UsageDuty

__all__ = [
    "Duty",
    "DutyRunner",
    "EngineTarget",
    "FleetDecision",
    "FleetDuty",
    "FleetView",
    "IntentRow",
    "IntentState",
    "Orders",
    "RoleDuty",
    "RoundContext",
    "SweepDuty",
    "UsageDuty",
]

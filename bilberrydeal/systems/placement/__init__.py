"""Chooses the engines that prefill a prompt and decode its output."""

from ._base import DeadlineUnreachable
from ._base import Outcome
from ._base import Placement
from ._base import Placer
from ._base import PLACERS
from ._base import Request
from ._baselines import FirstComePlacer
from ._baselines import LeastOutstandingPlacer
from ._baselines import NoEarlyRefusalPlacer
from ._baselines import NoLocalityPlacer
from ._capability import Capability
from ._engine_speed import EngineSpeed
from ._engine_speed import PrefillSample
from ._engine_speed import ServiceSpeed
from ._entities import EngineLoad
from ._entities import OutstandingPrefill
from ._entities import SlotTimes
from ._giving_up import too_late_after_s
from ._linear_time import Line
from ._linear_time import LinearTime
from ._linear_time import TimeSample
from ._long_streams import by_rendezvous_score
from ._long_streams import LongStreams
from ._options import main_decode_engine
from ._parts import PartCache
from ._parts import Prompt
from ._parts import PromptPart
from ._parts import rendezvous_score
from ._peer_arrivals import PeerArrivals
from ._peer_loads import GatewayEngineLoad
from ._peer_loads import MAX_REPORT_AGE_S
from ._peer_loads import PeerLoads
from ._request_counts import engine_rank
from ._request_counts import RequestCounts
from ._request_counts import URGENT_RANKS
from ._ring import EngineRing
from ._role_need import RoleNeed
from ._role_need import RoleNeeds
from ._role_plan import Plan
from ._role_plan import plan_roles
from ._role_plan import ROLE_PLANS
from ._role_plan import RoleDemand
from ._role_plan import RoleOrder
from ._role_versions import DECODE_PAIR
from ._slot_lending import preferred
from ._two_stage import TwoStagePlacer

__all__ = [
    "Capability",
    "DeadlineUnreachable",
    "EngineLoad",
    "EngineRing",
    "EngineSpeed",
    "FirstComePlacer",
    "GatewayEngineLoad",
    "LeastOutstandingPlacer",
    "Line",
    "LinearTime",
    "LongStreams",
    "MAX_REPORT_AGE_S",
    "NoEarlyRefusalPlacer",
    "NoLocalityPlacer",
    "Outcome",
    "OutstandingPrefill",
    "DECODE_PAIR",
    "PLACERS",
    "PartCache",
    "PeerArrivals",
    "PeerLoads",
    "Placement",
    "Placer",
    "Plan",
    "PrefillSample",
    "Prompt",
    "PromptPart",
    "ROLE_PLANS",
    "Request",
    "RequestCounts",
    "RoleDemand",
    "RoleNeed",
    "RoleNeeds",
    "RoleOrder",
    "ServiceSpeed",
    "SlotTimes",
    "TimeSample",
    "TwoStagePlacer",
    "URGENT_RANKS",
    "by_rendezvous_score",
    "engine_rank",
    "main_decode_engine",
    "plan_roles",
    "preferred",
    "rendezvous_score",
    "too_late_after_s",
]

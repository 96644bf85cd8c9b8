"""What gateways tell each other about endpoints."""

from ._capability_broadcast import CAPABILITY_INTERVAL_S
from ._capability_broadcast import CapabilityBroadcast
from ._limit_broadcast import LIMIT_BROADCAST_INTERVAL_S
from ._limit_broadcast import LimitBroadcast
from ._load_exchange import LoadExchange
from ._role_changes import RoleChangeBroadcast

__all__ = [
    "CAPABILITY_INTERVAL_S",
    "CapabilityBroadcast",
    "LIMIT_BROADCAST_INTERVAL_S",
    "LimitBroadcast",
    "LoadExchange",
    "RoleChangeBroadcast",
]

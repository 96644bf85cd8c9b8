"""What gateways tell each other about endpoints."""

from ._limit_broadcast import LIMIT_BROADCAST_INTERVAL_S
from ._limit_broadcast import LimitBroadcast
from ._load_exchange import LoadExchange
from ._role_changes import RoleChangeBroadcast

__all__ = [
    "LIMIT_BROADCAST_INTERVAL_S",
    "LimitBroadcast",
    "LoadExchange",
    "RoleChangeBroadcast",
]

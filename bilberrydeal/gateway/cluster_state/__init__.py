"""A gateway's view of the configuration and the endpoints."""

from ._cluster_state import ClusterState
from ._endpoint_limit import EndpointLimit
from ._endpoint_limit import limits_differ
from ._freshness import TableFreshness
from ._store_hints import HINT_INTERVAL_S
from ._store_hints import StoreHints
from ._store_sync import CONFIGURATION_WAIT_S
from ._store_sync import ConfigurationUpdater
from ._store_sync import ENDPOINTS_PAUSE_S
from ._store_sync import ENDPOINTS_WAIT_S
from ._store_sync import EndpointUpdater
from ._store_sync import StoreConnectivity
from ._store_sync import TableFollower
from ._upstream import Upstream

__all__ = [
    "CONFIGURATION_WAIT_S",
    "ClusterState",
    "ConfigurationUpdater",
    "ENDPOINTS_PAUSE_S",
    "ENDPOINTS_WAIT_S",
    "EndpointLimit",
    "EndpointUpdater",
    "HINT_INTERVAL_S",
    "StoreConnectivity",
    "StoreHints",
    "TableFollower",
    "TableFreshness",
    "Upstream",
    "limits_differ",
]

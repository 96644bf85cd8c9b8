"""A gateway's view of the configuration and the endpoints."""

from ._cluster_state import ClusterState
from ._configuration_updater import ConfigurationUpdater
from ._connectivity import StoreConnectivity
from ._decode_wait import DecodeWait
from ._decode_wait import StreamRest
from ._endpoint_limit import EndpointLimit
from ._endpoint_limit import limits_differ
from ._endpoint_updater import EndpointUpdater
from ._lost_engines import LostEngines
from ._poll_times import configuration_times
from ._poll_times import endpoints_times
from ._poll_times import silence_s
from ._store_hints import HINT_INTERVAL_S
from ._store_hints import StoreHints
from ._table_follower import TableFollower
from ._upstream import Upstream

__all__ = [
    "ClusterState",
    "ConfigurationUpdater",
    "DecodeWait",
    "EndpointLimit",
    "EndpointUpdater",
    "HINT_INTERVAL_S",
    "LostEngines",
    "StoreConnectivity",
    "StoreHints",
    "StreamRest",
    "TableFollower",
    "Upstream",
    "configuration_times",
    "endpoints_times",
    "limits_differ",
    "silence_s",
]

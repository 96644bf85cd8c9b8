"""Types for the operators' configuration, routes and endpoints."""

from ._configuration import CallerLimits
from ._configuration import Configuration
from ._configuration import Organisation
from ._configuration import Quota
from ._configuration import QuotaUnit
from ._configuration import Route
from ._configuration import RouteKind
from ._configuration import TrafficSplit
from ._endpoints import Endpoint
from ._routes import RouteTable
from ._services import EngineLimits
from ._services import Service

__all__ = [
    "CallerLimits",
    "Configuration",
    "Endpoint",
    "EngineLimits",
    "Organisation",
    "Quota",
    "QuotaUnit",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "TrafficSplit",
]

"""Operator routes, status routes and gauges."""

from ._gauges import add_gauges
from ._gauges import Gauges
from ._operator import OperatorRoutes
from ._status import StatusRoutes

__all__ = [
    "Gauges",
    "OperatorRoutes",
    "StatusRoutes",
    "add_gauges",
]

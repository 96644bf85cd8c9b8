"""Routers, which choose the endpoint of a request."""

from ._base import Router
from ._base import RouterOptions
from ._base import ROUTERS
from ._least_outstanding import LeastOutstanding
from ._prefix_bounded import PrefixBounded
from ._round_robin import RoundRobin

__all__ = [
    "LeastOutstanding",
    "PrefixBounded",
    "ROUTERS",
    "RoundRobin",
    "Router",
    "RouterOptions",
]

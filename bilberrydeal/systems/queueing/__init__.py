"""Queues that choose the request an agent runs next."""

from ._base import cost
from ._base import expected_lateness_s
from ._base import Queue
from ._base import QueuedRequest
from ._base import QUEUES
from ._first_come import FirstCome
from ._weighted_fair import WeightedFair

__all__ = [
    "FirstCome",
    "QUEUES",
    "Queue",
    "QueuedRequest",
    "WeightedFair",
    "cost",
    "expected_lateness_s",
]

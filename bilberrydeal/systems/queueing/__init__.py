"""Queues that decide which request an agent runs next."""

from ._base import Queue
from ._base import QueuedRequest
from ._base import QUEUES
from ._first_come import FirstCome

__all__ = ["FirstCome", "QUEUES", "Queue", "QueuedRequest"]

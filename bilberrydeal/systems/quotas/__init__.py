"""Quotas of organisations over all gateways: home, fallback and membership."""

from ._fallback import FallbackBounds
from ._messages import Answer
from ._messages import Heartbeat
from ._messages import Message
from ._messages import NOT_HOME
from ._messages import Query
from ._node import Decision
from ._node import QuotaNode
from ._node import TICK_INTERVAL_S
from ._node import Transition
from ._outboxes import Outgoing
from ._view import MIN_LIST_AGE_S

__all__ = [
    "Answer",
    "Decision",
    "FallbackBounds",
    "Heartbeat",
    "MIN_LIST_AGE_S",
    "Message",
    "NOT_HOME",
    "Outgoing",
    "Query",
    "QuotaNode",
    "TICK_INTERVAL_S",
    "Transition",
]

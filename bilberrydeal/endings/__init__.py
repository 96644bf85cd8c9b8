"""Tells ends of connections from resets that are still to come."""

from ._end_watch import EndWatch
from ._transports import unacknowledged_bytes
from ._transports import was_reset

__all__ = [
    "EndWatch",
    "unacknowledged_bytes",
    "was_reset",
]

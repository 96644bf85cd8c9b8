"""Tells ends of connections from resets that are still to come."""

from ._end_watch import EndWatch
from ._end_watch import LARGE_BYTES
from ._transports import unacknowledged_bytes
from ._transports import was_reset

__all__ = [
    "EndWatch",
    "LARGE_BYTES",
    "unacknowledged_bytes",
    "was_reset",
]

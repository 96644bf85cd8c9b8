"""What gateways coordinate through the store, under leases."""

from ._coordination import Coordination
from ._quarantine_rows import QUARANTINE_ROWS_INTERVAL_S

__all__ = [
    "Coordination",
    "QUARANTINE_ROWS_INTERVAL_S",
]

"""Leases that elect one process at a time to run a duty."""

from ._lease import Lease
from ._lease import LeaseLost
from ._rows import FenceRow
from ._rows import LeaseBounds
from ._rows import LeaseRow
from ._status import LeaseStatus
from ._status import read_leases

__all__ = [
    "FenceRow",
    "Lease",
    "LeaseBounds",
    "LeaseLost",
    "LeaseRow",
    "LeaseStatus",
    "read_leases",
]

"""Paces recovery work and transmissions over a slow uplink."""

from ._bucket import TokenBucket
from ._recovery import PacingRules
from ._recovery import RecoveryPacer
from ._recovery import RecoveryWork
from ._uplink import Transmission
from ._uplink import UplinkQueue

__all__ = [
    "PacingRules",
    "RecoveryPacer",
    "RecoveryWork",
    "TokenBucket",
    "Transmission",
    "UplinkQueue",
]

"""Paces recovery work and transmissions over a slow uplink."""

from ._bucket import TokenBucket
from ._recovery import PacingRules
from ._recovery import RecoveryPacer
from ._recovery import RecoveryWork
from ._requested_pause import RequestedPause
from ._requested_pause import retry_after_s
from ._uplink import Transmission
from ._uplink import UplinkQueue

__all__ = [
    "PacingRules",
    "RecoveryPacer",
    "RecoveryWork",
    "RequestedPause",
    "TokenBucket",
    "Transmission",
    "UplinkQueue",
    "retry_after_s",
]

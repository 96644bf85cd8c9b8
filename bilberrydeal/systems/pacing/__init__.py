"""Paces recovery work so that the store is not called by all at once."""

from ._bucket import TokenBucket
from ._recovery import PacingRules
from ._recovery import RecoveryPacer
from ._recovery import Work

__all__ = ["PacingRules", "RecoveryPacer", "TokenBucket", "Work"]

"""Health systems, which eject failing and slow endpoints."""

from ._base import HEALTH
from ._base import HealthSystem
from ._base import Observation
from ._never import NeverEject
from ._outlier import OutlierHealth

__all__ = [
    "HEALTH",
    "HealthSystem",
    "NeverEject",
    "Observation",
    "OutlierHealth",
]

"""Systems that keep requests away from endpoints that fail or are slow."""

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

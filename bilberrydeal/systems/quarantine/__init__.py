"""Quarantine systems, which find prompt parts that crash engines."""

from ._base import Decision
from ._base import DecisionKind
from ._base import EngineLoss
from ._base import LossReport
from ._base import News
from ._base import Quarantine
from ._base import QuarantineReport
from ._base import QUARANTINES
from ._base import QuarantineSystem
from ._base import SuspectPrompt
from ._crash_counts import CrashCounts
from ._crash_counts import PROBE_INTERVAL_S
from ._never import NeverQuarantine

__all__ = [
    "PROBE_INTERVAL_S",
    "QUARANTINES",
    "CrashCounts",
    "Decision",
    "DecisionKind",
    "EngineLoss",
    "LossReport",
    "NeverQuarantine",
    "News",
    "Quarantine",
    "QuarantineReport",
    "QuarantineSystem",
    "SuspectPrompt",
]

"""Quarantine systems, which find what crashes endpoints.

That is a part of prompts, or one request that is sent again and again.
"""

from ._base import Decision
from ._base import DecisionKind
from ._base import EngineLoss
from ._base import LossReport
from ._base import name_of
from ._base import News
from ._base import Parts
from ._base import prompt_parts
from ._base import Quarantine
from ._base import QuarantineReport
from ._base import QUARANTINES
from ._base import QuarantineSystem
from ._base import request_parts
from ._base import SuspectPrompt
from ._crash_counts import CrashCounts
from ._never import NeverQuarantine
from ._quarantine_table import PROBE_INTERVAL_S
from ._reports import datagrams

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
    "Parts",
    "Quarantine",
    "QuarantineReport",
    "QuarantineSystem",
    "SuspectPrompt",
    "datagrams",
    "name_of",
    "prompt_parts",
    "request_parts",
]

"""Finds the software version to which a stream that is taken up is bound."""

from ._memory import OriginMemory
from ._resolver import OriginResolver
from ._rows import ORIGIN_CALLS_PER_S
from ._rows import OriginRows
from ._version_history import VersionHistory

__all__ = [
    "ORIGIN_CALLS_PER_S",
    "OriginMemory",
    "OriginResolver",
    "OriginRows",
    "VersionHistory",
]

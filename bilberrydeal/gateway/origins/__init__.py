"""Finds the software version to which a resumed stream is bound."""

from ._announcer import OriginPeers
from ._origins import Origins
from ._resolver import OriginResolver
from ._rows import ORIGIN_CALLS_PER_S
from ._version_rows import VERSIONS_INTERVAL_S

__all__ = [
    "ORIGIN_CALLS_PER_S",
    "OriginPeers",
    "OriginResolver",
    "Origins",
    "VERSIONS_INTERVAL_S",
]

"""Message types and codec for state exchange between entries."""

from ._lists import ListCodec
from ._messages import Ask
from ._messages import HostRelay
from ._messages import Introduction
from ._messages import Reply
from ._seal import Seal
from ._seal import SealBroken

__all__ = [
    "Ask",
    "HostRelay",
    "Introduction",
    "ListCodec",
    "Reply",
    "Seal",
    "SealBroken",
]

"""Message types and codec for state exchange between entries."""

from ._arrays import ArrayCodec
from ._authentication import MessageAuthenticator
from ._authentication import SealBroken
from ._messages import EntryAddress
from ._messages import ExchangeReply
from ._messages import ExchangeRequest
from ._messages import HostRelay

__all__ = [
    "ArrayCodec",
    "EntryAddress",
    "ExchangeReply",
    "ExchangeRequest",
    "HostRelay",
    "MessageAuthenticator",
    "SealBroken",
]

"""Claims that make a request with an idempotency key run at most once."""

from ._claims import Claimed
from ._claims import ClaimManager
from ._claims import InProgress
from ._claims import Outcome
from ._claims import Resolution
from ._claims import Resolver
from ._claims import Unknown
from ._rows import Answer
from ._rows import Claim
from ._rows import claim_key
from ._rows import ClaimState
from ._rows import digest_body
from ._rows import Dispatch

__all__ = [
    "Answer",
    "Claim",
    "ClaimManager",
    "ClaimState",
    "Claimed",
    "Dispatch",
    "InProgress",
    "Outcome",
    "Resolution",
    "Resolver",
    "Unknown",
    "claim_key",
    "digest_body",
]

"""API keys of callers: hashing, lookup and freshness of withdrawals."""

from ._directory import KeyDirectory
from ._freshness import CommitHeld
from ._freshness import Freshness
from ._freshness import KeyFreshnessReport
from ._hashing import hash_key
from ._hashing import new_key
from ._hashing import NewKey

__all__ = [
    "CommitHeld",
    "Freshness",
    "KeyDirectory",
    "KeyFreshnessReport",
    "NewKey",
    "hash_key",
    "new_key",
]

"""Hash chains of prompt blocks, used by prefix caches and by routing."""

from ._blocks import block_hashes
from ._blocks import BLOCK_TOKENS
from ._blocks import estimate_tokens

__all__ = ["BLOCK_TOKENS", "block_hashes", "estimate_tokens"]

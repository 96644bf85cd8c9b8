"""Splits a prompt into blocks and chains their hashes."""

import hashlib

#: Tokens per block of a prefix cache.
BLOCK_TOKENS = 16
#: Assumed number of characters per token.
CHARACTERS_PER_TOKEN = 4
_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
_HASH_BYTES = 8


def estimate_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash per complete block of a prompt.

    Each hash covers its block and all previous ones, so that two prompts have
    as many leading hashes in common as complete leading blocks.

    Example::

        block_hashes("a" * 64 + "b")  # one complete block
    """
    hashes: list[int] = []
    previous_hash = b""
    for end in range(_BLOCK_CHARACTERS, len(prompt) + 1, _BLOCK_CHARACTERS):
        block = prompt[end - _BLOCK_CHARACTERS : end]
        previous_hash = hashlib.blake2b(
            previous_hash + block.encode("utf-8", "surrogatepass"),
            digest_size=_HASH_BYTES,
        ).digest()
        hashes.append(int.from_bytes(previous_hash, "big"))
    return tuple(hashes)

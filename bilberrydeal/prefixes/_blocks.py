"""Cuts a prompt into blocks and chains their hashes."""

import hashlib

#: Tokens in one block of a prefix cache.
BLOCK_TOKENS = 16
#: Characters that one token is taken to have.
CHARACTERS_PER_TOKEN = 4
_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
_HASH_BYTES = 8


def estimate_tokens(prompt: str) -> int:
    """Return the number of tokens that a prompt is taken to have."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash for each whole block of a prompt.

    A hash covers its block and all before it, so that two prompts share as
    many leading hashes as they share whole leading blocks.

    Example::

        block_hashes("a" * 64 + "b")  # one whole block
    """
    hashes: list[int] = []
    chain = b""
    for end in range(_BLOCK_CHARACTERS, len(prompt) + 1, _BLOCK_CHARACTERS):
        block = prompt[end - _BLOCK_CHARACTERS : end]
        chain = hashlib.blake2b(
            chain + block.encode("utf-8", "surrogatepass"),
            digest_size=_HASH_BYTES,
        ).digest()
        hashes.append(int.from_bytes(chain, "big"))
    return tuple(hashes)

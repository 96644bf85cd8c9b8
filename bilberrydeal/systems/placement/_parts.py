"""Prompts as lists of parts, and a model of the prompt cache of an engine."""

import collections
import hashlib
import math

import attrs


@attrs.frozen
class PromptPart:
    """Part of a prompt that other prompts may share."""

    #: Identifier; equal for equal tokens.
    part_id: bytes
    #: Size in tokens.
    tokens: int


@attrs.frozen
class Prompt:
    """Parts of a prompt in order; the last is specific to the request."""

    parts: tuple[PromptPart, ...]
    #: Largest number of tokens to generate.
    output_limit_tokens: int

    @property
    def tokens(self) -> int:
        """Return the size of the prompt in tokens."""
        return sum(part.tokens for part in self.parts)

    @property
    def affinity(self) -> bytes:
        """Return the last part that others may share, else the only one."""
        if not self.parts:
            return b""
        return self.parts[-2 if len(self.parts) > 1 else -1].part_id

    @property
    def shared_tokens(self) -> int:
        """Return the size of all parts except the last one."""
        return sum(part.tokens for part in self.parts[:-1])


class PartCache:
    """LRU model of the prompt parts that an engine should have cached."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens = 0
        self._parts: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the length in tokens of the cached prefix of a prompt."""
        cached = 0
        for part in prompt.parts:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return cached

    def record(self, prompt: Prompt) -> None:
        """Record that the engine prefills a prompt."""
        for part in prompt.parts:
            if part.part_id in self._parts:
                self._parts.move_to_end(part.part_id)
            else:
                self._parts[part.part_id] = part.tokens
                self._tokens += part.tokens
        while self._tokens > self._capacity_tokens and self._parts:
            _part_id, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def set_capacity(self, capacity_tokens: int) -> None:
        """Set the capacity; the next :meth:`record` evicts what exceeds it."""
        self._capacity_tokens = capacity_tokens

    def clear(self) -> None:
        """Remove all parts."""
        self._parts.clear()
        self._tokens = 0


def rendezvous_score(
    part_id: bytes, engine_id: str, weight: float = 1.0
) -> float:
    """Return the rendezvous hash score of an engine for a part.

    The engine with the highest score owns the part. All gateways compute the
    same scores without exchanging messages, and adding or removing an engine
    moves only the parts of that engine. Engines own parts in proportion to
    their weights.
    """
    digest = hashlib.blake2b(
        part_id + b"@" + engine_id.encode(), digest_size=8
    ).digest()
    uniform = (int.from_bytes(digest) + 1) / (2**64 + 1)
    return -weight / math.log(uniform)

"""Prompts as lists of parts, and what an engine keeps of them."""

import collections
import hashlib
import math

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt that others may share."""

    #: The same for the same tokens.
    part_id: bytes
    #: Its size in tokens.
    tokens: int


@attrs.frozen
class Prompt:
    """The parts of a prompt in order; the last is the request's own."""

    #: The parts.
    parts: tuple[PromptPart, ...]
    #: Most tokens that are generated.
    output_limit_tokens: int

    @property
    def tokens(self) -> int:
        """Return the size of the prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def affinity(self) -> bytes:
        """Return the last part that others may share, else the only one."""
        if not self.parts:
            return b""
        return self.parts[-2 if len(self.parts) > 1 else -1].part_id

    @property
    def shared_tokens(self) -> int:
        """Return the size of all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])


class PartCache:
    """Parts that an engine should keep, the least recently used first."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens = 0
        self._parts: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return how many tokens at the start of a prompt are kept."""
        cached = 0
        for part in prompt.parts:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return cached

    def use(self, prompt: Prompt) -> None:
        """Note that the engine reads a prompt."""
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
        """Take another capacity."""
        self._capacity_tokens = capacity_tokens

    def clear(self) -> None:
        """Forget all parts."""
        self._parts.clear()
        self._tokens = 0


def rank(part_id: bytes, engine_id: str, weight: float = 1.0) -> float:
    """Return the rendezvous rank of an engine for a part, largest first.

    All gateways agree on it without a message, and an engine that comes or
    goes moves only its own parts. An engine gets parts by its weight.
    """
    digest = hashlib.blake2b(
        part_id + b"@" + engine_id.encode(), digest_size=8
    ).digest()
    uniform = (int.from_bytes(digest) + 1) / (2**64 + 1)
    return -weight / math.log(uniform)

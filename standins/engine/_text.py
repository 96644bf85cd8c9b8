"""Text that the fake engine generates, determined by the prompt alone.

The answer to a prompt that contains ``<stop=N>`` stops after N words.
"""

import collections.abc
import hashlib
import itertools
import re

_STOP = re.compile(r"<stop=(\d+)>")


def words(prompt: str) -> collections.abc.Iterator[str]:
    """Yield an infinite sequence of words for a prompt."""
    seed = hashlib.blake2b(
        prompt.encode("utf-8", "surrogatepass"), digest_size=16
    ).digest()
    for number in itertools.count():
        word = hashlib.blake2b(seed + number.to_bytes(4, "big"), digest_size=3)
        yield f"{word.hexdigest()} "


def stop_after(prompt: str) -> int | None:
    """Return the number of words after which the answer stops, if any."""
    match = _STOP.search(prompt)
    return int(match[1]) if match else None


def answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    stop = stop_after(prompt)
    count = max_tokens if stop is None else min(stop, max_tokens)
    return "".join(itertools.islice(words(prompt), count))

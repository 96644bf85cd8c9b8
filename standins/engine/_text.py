"""The text an engine generates, a function of the prompt alone.

A prompt that contains ``<stop=N>`` ends by itself after N words.
"""

import collections.abc
import hashlib
import itertools
import re

_STOP = re.compile(r"<stop=(\d+)>")


def words(prompt: str) -> collections.abc.Iterator[str]:
    """Yield the words that follow a prompt, without end."""
    seed = hashlib.blake2b(
        prompt.encode("utf-8", "surrogatepass"), digest_size=16
    ).digest()
    for number in itertools.count():
        word = hashlib.blake2b(seed + number.to_bytes(4, "big"), digest_size=3)
        yield f"{word.hexdigest()} "


def stop_after(prompt: str) -> int | None:
    """Return after how many words a prompt's answer ends by itself."""
    found = _STOP.search(prompt)
    return int(found[1]) if found else None


def answer(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    stop = stop_after(prompt)
    count = max_tokens if stop is None else min(stop, max_tokens)
    return "".join(itertools.islice(words(prompt), count))

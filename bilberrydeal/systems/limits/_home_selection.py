"""Selects the home entry, which divides an organisation's limits."""

import hashlib
import heapq


def home_entry(organisation: str, entries: tuple[str, ...]) -> str:
    """Return the home entry of an organisation by rendezvous hashing.

    When an entry joins or leaves, only the organisations that it gains or
    loses change their home.
    """
    return max(entries, key=lambda entry: _score(organisation, entry))


def first_entries(
    name: str, entries: tuple[str, ...], count: int
) -> list[str]:
    """Return the first entries of a name by rendezvous hashing."""
    return heapq.nlargest(count, entries, lambda each: _score(name, each))


def _score(organisation: str, entry: str) -> bytes:
    text = f"{organisation}\0{entry}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

"""Scores of pairs for rendezvous hashing."""

import array
import hashlib
import math
import sys

_MASK = (1 << 64) - 1
_GOLDEN_RATIO = 0x9E3779B97F4A7C15
_MULTIPLIER = 0xBF58476D1CE4E5B9


def digest(name: str) -> int:
    """Return a 64-bit hash of a name that is the same on all hosts."""
    data = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(data, "big")


def score_row(name: str, columns: int) -> "array.array[int]":
    """Return a row of 16-bit scores that depend only on the name."""
    data = hashlib.shake_128(name.encode()).digest(2 * columns)
    scores = array.array("H", data)
    if sys.byteorder == "big":
        scores.byteswap()
    return scores


def pair_score(left: int, right: int) -> int:
    """Return a 64-bit score of two digests."""
    mixed = (left ^ (right * _GOLDEN_RATIO)) & _MASK
    mixed = ((mixed ^ (mixed >> 30)) * _MULTIPLIER) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * _GOLDEN_RATIO) & _MASK
    return mixed ^ (mixed >> 31)


def weighted_score(score: int, weight: float) -> float:
    """Return a score by which a member wins in proportion to its weight."""
    uniform = (score + 1) / (_MASK + 2)
    return -weight / math.log(uniform)

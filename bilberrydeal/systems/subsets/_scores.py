"""Scores of pairs for rendezvous hashing."""

import array
import hashlib
import math
import sys

_MASK = (1 << 64) - 1
_ODD = 0x9E3779B97F4A7C15
_MIX = 0xBF58476D1CE4E5B9


def digest(name: str) -> int:
    """Return 64 bits that depend on a name only, on every host alike."""
    data = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(data, "big")


def row(name: str, columns: int) -> "array.array[int]":
    """Return a row of scores of 16 bits that depend on a name only."""
    data = hashlib.shake_128(name.encode()).digest(2 * columns)
    scores = array.array("H", data)
    if sys.byteorder == "big":
        scores.byteswap()
    return scores


def pair(left: int, right: int) -> int:
    """Return 64 bits that depend on two digests."""
    mixed = (left ^ (right * _ODD)) & _MASK
    mixed = ((mixed ^ (mixed >> 30)) * _MIX) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * _ODD) & _MASK
    return mixed ^ (mixed >> 31)


def weighted(score: int, weight: float) -> float:
    """Return a score whose maximum falls on a member by its weight."""
    unit = (score + 1) / (_MASK + 2)
    return -weight / math.log(unit)

"""Unique names of process incarnations."""

import random

#: Random bits that distinguish incarnations started in the same second.
RANDOM_BITS = 32


def new_incarnation(host_id: str, wall_s: float, rng: random.Random) -> str:
    """Return a name that is unique among all processes.

    It starts with the host ID to make logs readable.
    """
    started = f"{int(wall_s):x}"
    return f"{host_id}.{started}.{rng.getrandbits(RANDOM_BITS):08x}"

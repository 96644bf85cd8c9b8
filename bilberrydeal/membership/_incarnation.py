"""Names of incarnations."""

import random

#: Random bits that keep two incarnations of one second apart.
RANDOM_BITS = 32


def new_incarnation(host_id: str, wall_s: float, rng: random.Random) -> str:
    """Return a name that no other process ever had.

    It begins with the host, for people who read logs.
    """
    started = f"{int(wall_s):x}"
    return f"{host_id}.{started}.{rng.getrandbits(RANDOM_BITS):08x}"

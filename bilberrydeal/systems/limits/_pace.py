"""How often entries exchange needs.

The more entries there are, the slower each one reports, so that a home's
traffic stays bounded whatever the number of entries.
"""

#: Reports of changed needs that reach one home a second, per organisation.
CHANGED_PER_S = 20.0
#: Unchanged needs are reported so many times more slowly.
UNCHANGED_FACTOR = 4.0
#: Shortest time between two reports, in seconds.
ROUND_FLOOR_S = 0.5
#: A grant holds for so many reports of unchanged needs.
GRANT_FACTOR = 3.0
#: A slot that entries hold by turns stays for so many reports.
TURN_FACTOR = 16.0


def round_s(entries: int) -> float:
    """Return the time between reports of changed needs, in seconds."""
    return max(ROUND_FLOOR_S, entries / CHANGED_PER_S)


def refresh_s(entries: int) -> float:
    """Return the time between reports of unchanged needs, in seconds."""
    return UNCHANGED_FACTOR * round_s(entries)


def grant_ttl_s(entries: int) -> float:
    """Return how long a grant holds, in seconds."""
    return GRANT_FACTOR * refresh_s(entries)


def turn_s(entries: int) -> float:
    """Return how long an entry holds a slot by turns, in seconds."""
    return TURN_FACTOR * round_s(entries)

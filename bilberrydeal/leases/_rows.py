"""Rows and bounds of leases."""

import attrs

from .. import ports

#: Holds who has a duty; changes with each renewal.
LEASES = "leases"
#: Holds the fencing number of a duty; changes only when it is taken.
FENCES = "fences"


@attrs.frozen
class LeaseBounds:
    """Times that all processes agree on."""

    #: Time that a lease is held after its renewal was sent, in seconds.
    ttl_s: float
    #: Subtracted from the own lease for drift of clocks, in seconds.
    margin_s: float
    #: Longest time that a call made under a lease takes effect after it
    #: was sent, in seconds; a successor waits it out.
    call_longest_s: float


@attrs.frozen
class LeaseRow:
    """Who holds a duty."""

    #: Incarnation of the holder, empty once it stepped down.
    holder: str
    #: Time after which the holder no longer trusts the lease, in seconds.
    ttl_s: float
    #: Marks the write that set the row.
    nonce: str


@attrs.frozen
class FenceRow:
    """Under which number the duty was last taken."""

    #: Fencing number; only grows.
    fence: int
    #: Incarnation that took it.
    holder: str
    #: Marks the write that set the row.
    nonce: str


def lease_key(duty: str) -> ports.RowKey:
    """Return where the lease of a duty lies."""
    return ports.RowKey(LEASES, duty)


def fence_key(duty: str) -> ports.RowKey:
    """Return where the fencing number of a duty lies."""
    return ports.RowKey(FENCES, duty)

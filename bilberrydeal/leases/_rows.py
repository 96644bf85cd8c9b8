"""Row types, keys and time limits of leases."""

import attrs

from .. import ports

#: Table of lease holders; a row changes with each renewal.
LEASES = "leases"
#: Table of fencing tokens; a row changes only when the lease is acquired.
FENCES = "fences"


@attrs.frozen
class LeaseBounds:
    """Lease times, which must be the same in all processes."""

    #: Validity of a lease after its renewal was sent, in seconds.
    ttl_s: float
    #: Subtracted from the validity to allow for clock drift, in seconds.
    margin_s: float
    #: Longest time after sending at which a call made under a lease may
    #: still take effect, in seconds; a successor waits this long.
    max_call_s: float


@attrs.frozen
class LeaseRow:
    """Current holder of the lease of a duty."""

    #: Incarnation of the holder, empty once it has released the lease.
    holder: str
    #: Validity of the lease, in seconds.
    ttl_s: float
    #: Identifies the write that produced the row.
    nonce: str


@attrs.frozen
class FenceRow:
    """Fencing token of the last acquisition of the lease."""

    #: Fencing token; increases with each acquisition.
    fence: int
    #: Incarnation that acquired the lease.
    holder: str
    #: Identifies the write that produced the row.
    nonce: str


def lease_key(duty: str) -> ports.RowKey:
    """Return the key of the lease row of a duty."""
    return ports.RowKey(LEASES, duty)


def fence_key(duty: str) -> ports.RowKey:
    """Return the key of the fence row of a duty."""
    return ports.RowKey(FENCES, duty)

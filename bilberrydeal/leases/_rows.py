"""Row types, keys and time limits of leases."""

import attrs

from .. import ports

#: Table of lease holders; a row changes with each renewal.
LEASES = "leases"
#: Table of fencing tokens; a row changes only when the lease is acquired.
FENCES = "fences"
#: Table of the eras of the store in which a lease was acquired.
ERAS = "eras"
#: Fencing tokens of an era of the store; those of the next one are greater.
TOKENS_PER_ERA = 2**20
#: Number of earlier eras whose late transactions an acquisition ends.
ENDED_ERAS = 3


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
    #: Era of the store at the acquisition, ``None`` if it told none.
    era: int | None = None


@attrs.frozen
class EraRow:
    """Shows that an era of the store has begun.

    A transaction of the era before requires that the row is absent.
    """

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


def era_key(duty: str, era: int) -> ports.RowKey:
    """Return the key of the row that shows the begin of an era."""
    return ports.RowKey(ERAS, f"{duty}.{era}")


def begun_eras(era: int | None) -> range:
    """Return the eras that an acquisition in ``era`` shows to have begun."""
    if era is None:
        return range(0)
    return range(max(era - ENDED_ERAS + 1, 0), era + 1)


def next_token(known: int, era: int | None) -> int:
    """Return a token above all known ones and all of earlier eras.

    The rows of an older copy lack the latest tokens, so they alone do not
    tell which token is new.
    """
    return max(known, (era or 0) * TOKENS_PER_ERA) + 1

"""Intervals of the need exchange between entries.

The interval grows with the number of entries, so that the message rate at a
home stays bounded.
"""

#: Reports of changed needs per second at one home, for each organisation.
REPORTS_PER_S = 20.0
#: Interval between reports of unchanged needs, in report intervals.
REFRESH_FACTOR = 4.0
#: Minimum interval between two reports, in seconds.
MIN_REPORT_INTERVAL_S = 0.5
#: Lifetime of a grant, in refresh intervals.
GRANT_TTL_FACTOR = 3.0
#: Time for which an entry keeps a time-shared slot, in report intervals.
TIME_SLICE_FACTOR = 16.0


def report_interval_s(entries: int) -> float:
    """Return the interval between reports of changed needs, in seconds."""
    return max(MIN_REPORT_INTERVAL_S, entries / REPORTS_PER_S)


def refresh_interval_s(entries: int) -> float:
    """Return the interval between reports of unchanged needs."""
    return REFRESH_FACTOR * report_interval_s(entries)


def grant_ttl_s(entries: int) -> float:
    """Return the lifetime of a grant, in seconds."""
    return GRANT_TTL_FACTOR * refresh_interval_s(entries)


def time_slice_s(entries: int) -> float:
    """Return how long an entry keeps a time-shared slot, in seconds."""
    return TIME_SLICE_FACTOR * report_interval_s(entries)

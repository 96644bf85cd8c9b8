"""Decides when a prefill that was sent will not be in time any more."""

from . import _base

#: Multiple of the expected time from which a prefill is overdue.
OVERDUE_MULTIPLE = 1.5
#: A prefill that is overdue is expected to take this share of the time that it
#: has taken so far as well.
REMAINING_SHARE = 1 / 3


def too_late_after_s(placed: _base.Placement, time_left_s: float) -> float:
    """Return the time after the send when a prefill is known to be late.

    Until then it may still be in time. From then on the caller is better told
    so: with the rest of its time it can come back.

    Example::

        too_late_after_s(placed, time_left_s=2.0)  # 1.5
    """
    late_s = time_left_s / (1.0 + REMAINING_SHARE)
    return max(placed.expected_s * OVERDUE_MULTIPLE, late_s)

"""Decides when an entry hands a duty over to balance the load."""

import collections.abc

#: Each handover doubles the wait before the next, up to this multiple of the
#: first wait. Otherwise a member that never acquires a duty would cause
#: endless handovers among the other entries.
MAX_BACKOFF_FACTOR = 16


class HandoverTimer:
    """Tracks whether one entry has held too many duties for too long.

    Too many means at least two more than some other live entry: with a
    difference of one, a handover would only swap the counts.

    Example::

        timer = HandoverTimer(period_s=30.0)
        if timer.should_hand_over(held=3, others=[1], entries=2, now_s=now_s):
            ...
    """

    def __init__(self, period_s: float) -> None:
        """Hand a duty over once an imbalance has lasted ``period_s``."""
        self._period_s = period_s
        self._wait_s = period_s
        self._imbalanced = False
        #: Monotonic time at which ``_imbalanced`` took its current value.
        self._since_s: float | None = None

    def should_hand_over(
        self,
        held: int,
        others: collections.abc.Collection[int],
        entries: int,
        now_s: float,
    ) -> bool:
        """Return whether one duty should be handed over now.

        ``others`` has the number of duties of each other entry that holds
        any; ``entries`` counts all live entries, this one included.
        """
        imbalanced = held >= _min_duties(held, others, entries) + 2
        if imbalanced != self._imbalanced or self._since_s is None:
            self._imbalanced, self._since_s = imbalanced, now_s
        if now_s - self._since_s < self._wait_s:
            return False
        self._since_s = now_s
        if not imbalanced:
            self._wait_s = self._period_s
            return False
        max_wait_s = MAX_BACKOFF_FACTOR * self._period_s
        self._wait_s = min(2 * self._wait_s, max_wait_s)
        return True


def _min_duties(
    held: int, others: collections.abc.Collection[int], entries: int
) -> int:
    """Return the smallest number of duties that a live entry holds."""
    if 1 + len(others) < entries:
        return 0
    return min(others, default=held)

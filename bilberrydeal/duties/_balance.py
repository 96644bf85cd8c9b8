"""When an entry that holds many duties hands one over."""

import collections.abc

#: Each hand-over doubles the time before the next, up to so many times the
#: first: an entry that is a member and takes no duty must not keep the
#: duties of all others moving.
LONGEST_WAITS = 16


class Balance:
    """Tells one entry when it has had too many duties for long enough.

    Too many are two more than another live entry has: with one more, a
    hand-over would only change places.

    Example::

        balance = Balance(period_s=30.0)
        if balance.due(held=3, others=[1], entries=2, now_s=now_s):
            ...
    """

    def __init__(self, period_s: float) -> None:
        """``period_s`` is how long an imbalance lasts before it is mended."""
        self._period_s = period_s
        self._wait_s = period_s
        self._uneven = False
        #: Since when it has been as ``_uneven`` says.
        self._since_s: float | None = None

    def due(
        self,
        held: int,
        others: collections.abc.Collection[int],
        entries: int,
        now_s: float,
    ) -> bool:
        """Return whether one duty should be handed over now.

        ``others`` are the duties that each other holder has; of the
        ``entries`` that live, those who hold none are not among them.
        """
        uneven = held >= _fewest(held, others, entries) + 2
        if uneven != self._uneven or self._since_s is None:
            self._uneven, self._since_s = uneven, now_s
        if now_s - self._since_s < self._wait_s:
            return False
        self._since_s = now_s
        if not uneven:
            self._wait_s = self._period_s
            return False
        longest_s = LONGEST_WAITS * self._period_s
        self._wait_s = min(2 * self._wait_s, longest_s)
        return True


def _fewest(
    held: int, others: collections.abc.Collection[int], entries: int
) -> int:
    """Return the duties of the live entry that has fewest."""
    if 1 + len(others) < entries:
        return 0
    return min(others, default=held)

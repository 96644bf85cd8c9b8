"""A clock that gains little while the process does not run."""

import attrs

#: Longest step, in seconds. A process that was frozen for longer does not
#: know what other gateways granted meanwhile.
MAX_STEP_S = 0.25


@attrs.define
class ActiveTime:
    """A clock that advances in bounded steps, which refills buckets.

    It has to be advanced more often than ``MAX_STEP_S``.
    """

    #: Present time of this clock, in seconds.
    now_s: float = 0.0
    #: Steady time of the last step, ``None`` before the first.
    _stepped_s: float | None = None

    def advance(self, steady_s: float) -> None:
        """Advance to a steady time."""
        before_s = self._stepped_s
        if before_s is not None and steady_s > before_s:
            self.now_s += min(steady_s - before_s, MAX_STEP_S)
        if before_s is None or steady_s > before_s:
            self._stepped_s = steady_s

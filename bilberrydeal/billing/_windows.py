"""Usage windows, numbered by start time divided by length."""

import attrs


@attrs.frozen
class WindowRule:
    """Division of time into windows; identical in every entry."""

    #: Length of a window, in seconds.
    window_s: int
    #: Time after the end of a window at which recorders pass it, in seconds.
    grace_s: float

    def window_at(self, wall_s: float) -> int:
        """Return the window of a time in seconds since the epoch."""
        return int(wall_s // self.window_s)

    def start_s(self, window: int) -> int:
        """Return the start of a window in seconds since the epoch."""
        return window * self.window_s

    def last_ended(self, wall_s: float) -> int:
        """Return the newest window whose grace period has ended."""
        return self.window_at(wall_s - self.grace_s) - 1

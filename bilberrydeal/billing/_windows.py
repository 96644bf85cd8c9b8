"""Windows of usage, numbered by their start over their length."""

import attrs


@attrs.frozen
class WindowRule:
    """How time is cut into windows; the same in every entry."""

    #: Length of a window.
    window_s: int
    #: A recorder passes a window so long after its end.
    grace_s: float

    def at(self, wall_s: float) -> int:
        """Return the window of a time since the epoch."""
        return int(wall_s // self.window_s)

    def start_s(self, window: int) -> int:
        """Return when a window starts, seconds since the epoch."""
        return window * self.window_s

    def last_over(self, wall_s: float) -> int:
        """Return the newest window that is over, with its grace."""
        return self.at(wall_s - self.grace_s) - 1

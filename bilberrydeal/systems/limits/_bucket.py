"""A token bucket."""

import math

import attrs

#: Longest wait that is told, in seconds.
WAIT_LIMIT_S = 3_600.0


@attrs.define
class Bucket:
    """Fills at a rate up to a bound; below zero it is in debt."""

    #: What it holds.
    level: float
    #: When ``level`` was true.
    at_s: float

    def refill(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Add what came in since the last call."""
        if math.isinf(rate_per_s):
            self.level = burst
        else:
            gained = rate_per_s * max(0.0, now_s - self.at_s)
            self.level = min(burst, self.level + gained)
        self.at_s = max(self.at_s, now_s)

    def wait_s(self, rate_per_s: float) -> float:
        """Return the time until it is out of debt, in seconds."""
        if rate_per_s <= 0.0:
            return WAIT_LIMIT_S
        return min(WAIT_LIMIT_S, -self.level / rate_per_s)

"""A token bucket."""

import math

import attrs


@attrs.define
class Bucket:
    """Fills at a rate up to a bound; may be overdrawn by corrections."""

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

    def wait_s(self, amount: float, rate_per_s: float) -> float:
        """Return the time until it holds an amount, in seconds."""
        if self.level >= amount:
            return 0.0
        if rate_per_s <= 0.0:
            return math.inf
        return (amount - self.level) / rate_per_s

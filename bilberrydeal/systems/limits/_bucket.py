"""A token bucket."""

import math

import attrs

#: Upper bound of a reported wait, in seconds.
MAX_WAIT_S = 3_600.0


@attrs.define
class Bucket:
    """Refills at a rate up to a capacity; may go negative."""

    #: Current level; negative while in debt.
    level: float
    #: Time of the last refill.
    refilled_at_s: float

    def refill(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Add the tokens accrued since the last call."""
        if math.isinf(rate_per_s):
            self.level = burst
        else:
            gained = rate_per_s * max(0.0, now_s - self.refilled_at_s)
            self.level = min(burst, self.level + gained)
        self.refilled_at_s = max(self.refilled_at_s, now_s)

    def wait_s(self, rate_per_s: float) -> float:
        """Return the time until the level is back at zero, in seconds."""
        if rate_per_s <= 0.0:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, -self.level / rate_per_s)

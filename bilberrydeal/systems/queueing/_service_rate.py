"""How fast a queue is served."""

import math

import attrs

#: Time after which an old sample counts for 1/e, in seconds.
MEMORY_S = 10.0


@attrs.define
class ServiceRate:
    """Cost served a second, over the time in which requests waited."""

    #: Cost served, weighted by age.
    cost: float = 0.0
    #: Time in which requests waited, weighted by age, in seconds.
    busy_s: float = 0.0
    #: When the last request was taken.
    last_s: float = -math.inf
    #: Whether requests have waited ever since.
    waited: bool = False

    def taken(self, cost: float, still_waiting: bool, now_s: float) -> None:
        """Note that a request was taken from the queue."""
        if self.waited:
            gap_s = max(0.0, now_s - self.last_s)
            fade = math.exp(-gap_s / MEMORY_S)
            self.cost = self.cost * fade + cost
            self.busy_s = self.busy_s * fade + gap_s
        self.last_s = now_s
        self.waited = still_waiting

    def emptied(self) -> None:
        """Note that the last waiting request went away."""
        self.waited = False

    @property
    def per_s(self) -> float:
        """Return the rate; infinite until something has been measured."""
        return self.cost / self.busy_s if self.busy_s > 0.0 else math.inf

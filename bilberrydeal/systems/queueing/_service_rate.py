"""Measures the service rate of a queue."""

import math

import attrs

#: Time constant of the exponential decay of old samples, in seconds.
DECAY_TIME_S = 10.0


@attrs.define
class ServiceRate:
    """Cost served per second, over the time in which requests waited."""

    #: Served cost, decayed by age.
    cost: float = 0.0
    #: Time in which requests waited, decayed by age, in seconds.
    busy_s: float = 0.0
    #: When the last request was popped.
    last_pop_s: float = -math.inf
    #: Whether requests have been waiting ever since.
    waiting_since_pop: bool = False

    def record_pop(
        self, cost: float, still_waiting: bool, now_s: float
    ) -> None:
        """Record that a request was popped."""
        if self.waiting_since_pop:
            gap_s = max(0.0, now_s - self.last_pop_s)
            decay = math.exp(-gap_s / DECAY_TIME_S)
            self.cost = self.cost * decay + cost
            self.busy_s = self.busy_s * decay + gap_s
        self.last_pop_s = now_s
        self.waiting_since_pop = still_waiting

    def record_empty(self) -> None:
        """Record that the queue became empty other than by a pop."""
        self.waiting_since_pop = False

    @property
    def per_s(self) -> float:
        """Return the rate; infinite before the first measurement."""
        return self.cost / self.busy_s if self.busy_s > 0.0 else math.inf

"""Measures the load that an organisation offers at this entry."""

import math

import attrs

#: Time constant of the exponential decay of old samples, in seconds.
DECAY_TIME_S = 5.0


@attrs.define
class OfferedLoad:
    """Decayed rates of offered requests and tokens, including refused ones."""

    #: Offered requests per second.
    requests_per_s: float = 0.0
    #: Offered tokens per second.
    tokens_per_s: float = 0.0
    #: Admitted requests per second.
    admitted_per_s: float = 0.0
    #: Mean number of admitted requests that have not ended.
    mean_running: float = 0.0
    #: Time of the last decay.
    updated_at_s: float = -math.inf
    #: Arrival time of the last request.
    last_offered_at_s: float = -math.inf

    def record_offered(
        self, tokens: float, running: int, now_s: float
    ) -> None:
        """Record an offered request."""
        self.decay(running, now_s)
        self.last_offered_at_s = now_s
        self.requests_per_s += 1.0 / DECAY_TIME_S
        self.tokens_per_s += tokens / DECAY_TIME_S

    def record_admitted(self) -> None:
        """Record that the offered request was admitted."""
        self.admitted_per_s += 1.0 / DECAY_TIME_S

    def decay(self, running: int, now_s: float) -> None:
        """Decay the rates; ``running`` applied since the last decay."""
        if now_s <= self.updated_at_s:
            return
        decay = math.exp((self.updated_at_s - now_s) / DECAY_TIME_S)
        self.requests_per_s *= decay
        self.tokens_per_s *= decay
        self.admitted_per_s *= decay
        self.mean_running = decay * self.mean_running + (1.0 - decay) * running
        self.updated_at_s = now_s

    @property
    def concurrency(self) -> float:
        """Return the concurrent requests if none had been refused.

        By Little's law this is the offered rate times the mean run time.
        """
        if self.admitted_per_s <= 0.0:
            return self.requests_per_s
        mean_run_s = self.mean_running / self.admitted_per_s
        return self.requests_per_s * mean_run_s

    @property
    def tokens_per_request(self) -> float:
        """Return the mean number of tokens per request."""
        if self.requests_per_s <= 0.0:
            return 0.0
        return self.tokens_per_s / self.requests_per_s

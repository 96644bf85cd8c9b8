"""Statistics of the observations of one endpoint."""

import math

import attrs

from . import _base

#: Time constant of the exponential decay of observations, in seconds.
DECAY_TIME_S = 10.0
#: Weight of a new observation in the moving average of the slowness.
SLOWNESS_SMOOTHING = 0.2
#: One observation counts at most as this multiple of the average.
MAX_SLOWNESS_RATIO = 2.0


@attrs.define
class EndpointRecord:
    """Decayed counts of one endpoint and the timing of its circuit."""

    #: Successes, decayed by age.
    successes: float = 0.0
    #: Failures, decayed by age.
    failures: float = 0.0
    #: Failures since the last success.
    consecutive_failures: int = 0
    #: Failures since the last that was not a silence.
    consecutive_silences: int = 0
    #: Whether silence alone opened the circuit.
    opened_by_silence: bool = False
    #: Moving average of observed slowness.
    slowness: float = 1.0
    #: Observations of slowness since the circuit last changed.
    slowness_count: int = 0
    #: Time of the last decay.
    updated_at_s: float = -math.inf
    #: Number of times that the circuit opened in a row.
    consecutive_openings: int = 0
    #: When an open circuit becomes half open.
    open_until_s: float = -math.inf
    #: Consecutive successes since the circuit last changed.
    consecutive_successes: int = 0
    #: Time of the last probe.
    probed_at_s: float = -math.inf
    #: When the circuit last closed.
    closed_at_s: float = -math.inf

    def observe(self, observation: _base.Observation, now_s: float) -> None:
        """Record an observation."""
        self._decay(now_s)
        if not observation.succeeded:
            self.failures += 1.0
            self.consecutive_failures += 1
            self.consecutive_successes = 0
            self.consecutive_silences += 1
            if not observation.silent:
                self.consecutive_silences = 0
            return
        self.successes += 1.0
        self.consecutive_failures = 0
        self.consecutive_silences = 0
        self._end_silence(now_s)
        self.consecutive_successes += 1
        if observation.slowness > 0.0:
            # A single response delayed by a long prefill is weak evidence.
            limit = MAX_SLOWNESS_RATIO * max(self.slowness, 1.0)
            bounded = min(observation.slowness, limit)
            self.slowness += SLOWNESS_SMOOTHING * (bounded - self.slowness)
            self.slowness_count += 1

    def opened(self, open_s: float, now_s: float) -> None:
        """Record that the circuit opens for a time."""
        self.opened_by_silence = (
            0 < self.consecutive_failures == self.consecutive_silences
        )
        self.open_until_s = now_s + open_s
        self.reset_counts()

    def _end_silence(self, now_s: float) -> None:
        """Let a circuit that silence has opened become half open."""
        if not self.opened_by_silence or now_s >= self.open_until_s:
            return
        self.opened_by_silence = False
        self.open_until_s = now_s
        self.consecutive_openings -= 1

    def reset_counts(self) -> None:
        """Reset the counts after the circuit has changed."""
        self.successes = 0.0
        self.failures = 0.0
        self.consecutive_failures = 0
        self.consecutive_silences = 0
        self.consecutive_successes = 0
        self.slowness_count = 0

    @property
    def samples(self) -> float:
        """Return the decayed number of observations."""
        return self.successes + self.failures

    @property
    def failure_share(self) -> float:
        """Return the share of failures; 0 without observations."""
        return self.failures / self.samples if self.samples else 0.0

    def _decay(self, now_s: float) -> None:
        if now_s > self.updated_at_s:
            decay = math.exp((self.updated_at_s - now_s) / DECAY_TIME_S)
            self.successes *= decay
            self.failures *= decay
            self.updated_at_s = now_s

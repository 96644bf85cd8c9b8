"""What was observed of one endpoint."""

import math

import attrs

from . import _base

#: Time after which an old observation counts for 1/e, in seconds.
MEMORY_S = 10.0
#: Part of the slowness that a new observation makes up.
SLOWNESS_GAIN = 0.2
#: One observation counts at most as so many times what was known.
SURPRISE_LIMIT = 2.0


@attrs.define
class Record:
    """Faded counts of one endpoint, and its circuit's timing."""

    #: Successes, faded by age.
    successes: float = 0.0
    #: Failures, faded by age.
    failures: float = 0.0
    #: Failures since the last success.
    failures_in_row: int = 0
    #: Smoothed time to a first token over what was expected.
    slowness: float = 1.0
    #: Observations of slowness since the circuit last changed.
    slowness_count: int = 0
    #: When the counts were true.
    at_s: float = -math.inf
    #: How often the circuit opened in a row.
    openings: int = 0
    #: The circuit stays open until then.
    open_until_s: float = -math.inf
    #: Successes since the circuit is half open.
    trials: int = 0
    #: When it was probed last.
    probed_at_s: float = -math.inf
    #: When the circuit closed.
    closed_at_s: float = -math.inf

    def observe(self, observation: _base.Observation, now_s: float) -> None:
        """Take one observation."""
        self._fade(now_s)
        if not observation.succeeded:
            self.failures += 1.0
            self.failures_in_row += 1
            self.trials = 0
            return
        self.successes += 1.0
        self.failures_in_row = 0
        self.trials += 1
        if observation.slowness > 0.0:
            # One answer that a long prefill held up says little.
            limit = SURPRISE_LIMIT * max(self.slowness, 1.0)
            seen = min(observation.slowness, limit)
            self.slowness += SLOWNESS_GAIN * (seen - self.slowness)
            self.slowness_count += 1

    def changed(self) -> None:
        """Count anew after the circuit has changed."""
        self.successes = 0.0
        self.failures = 0.0
        self.failures_in_row = 0
        self.trials = 0
        self.slowness_count = 0

    @property
    def samples(self) -> float:
        """Return the faded number of observations."""
        return self.successes + self.failures

    @property
    def failure_share(self) -> float:
        """Return the share of failures, 0 without observations."""
        return self.failures / self.samples if self.samples else 0.0

    def _fade(self, now_s: float) -> None:
        if now_s > self.at_s:
            fade = math.exp((self.at_s - now_s) / MEMORY_S)
            self.successes *= fade
            self.failures *= fade
            self.at_s = now_s

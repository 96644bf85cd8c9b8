"""Estimates run times from recently completed requests."""

import math

import attrs

from .. import link

#: Weight of a new sample.
SMOOTHING = 0.1
#: Estimates are unknown if the last sample is older than this.
SAMPLE_LIFETIME_S = 10.0


@attrs.define
class _MovingMean:
    """Exponentially weighted mean and mean absolute deviation."""

    value: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        error = abs(sample - self.value) if self.samples > 1 else 0.0
        self.deviation += weight * (error - self.deviation)
        self.value += weight * (sample - self.value)

    @property
    def low_estimate(self) -> float:
        """Mean minus deviation; a lower bound if samples vary little."""
        return max(0.0, self.value - self.deviation)


class RunTimeEstimator:
    """Estimates output length and run time of requests."""

    def __init__(self) -> None:
        self._step_time_s = _MovingMean()
        self._output_share = _MovingMean()
        self._last_sample_at_s = -math.inf

    def add(
        self,
        submit: link.Submit,
        output_tokens: int,
        run_time_s: float,
        now_s: float,
    ) -> None:
        """Add the measurements of a completed request."""
        self._last_sample_at_s = now_s
        self._step_time_s.add(run_time_s / _steps(submit, output_tokens))
        if submit.max_tokens:
            self._output_share.add(output_tokens / submit.max_tokens)

    def output_tokens(self, submit: link.Submit) -> float:
        """Return the expected output tokens of a request."""
        if not self._output_share.samples:
            return float(submit.max_tokens)
        return submit.max_tokens * self._output_share.value

    def run_time_s(self, submit: link.Submit, now_s: float) -> float:
        """Return a low estimate of a request's run time; 0 if unknown.

        It is close to the mean only if recent requests were alike: a request
        must be refused only for a deadline that it would miss, while one that
        starts too late wastes the endpoint's time.
        """
        if now_s - self._last_sample_at_s > SAMPLE_LIFETIME_S:
            return 0.0
        tokens = submit.max_tokens * self._output_share.low_estimate
        return _steps(submit, tokens) * self._step_time_s.low_estimate


def _steps(submit: link.Submit, output_tokens: float) -> float:
    """Return the number of steps of a request; a plain call is one."""
    return 1.0 + output_tokens

"""How fast the endpoint has been lately."""

import math

import attrs

from .. import link

#: Weight of a new sample.
SMOOTHING = 0.1
#: Without a sample for so long nothing is known any more.
MEMORY_S = 10.0


@attrs.define
class _Mean:
    """An exponentially weighted mean, with the mean deviation from it."""

    value: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        away = abs(sample - self.value) if self.samples > 1 else 0.0
        self.deviation += weight * (away - self.deviation)
        self.value += weight * (sample - self.value)

    @property
    def low(self) -> float:
        """What most samples are above, where they differ little."""
        return max(0.0, self.value - self.deviation)


class Pace:
    """Means over the requests that ended lately."""

    def __init__(self) -> None:
        self._time_s = _Mean()
        self._output_share = _Mean()
        self._last_s = -math.inf

    def add(
        self,
        submit: link.Submit,
        output_tokens: int,
        run_time_s: float,
        now_s: float,
    ) -> None:
        """Learn from a request that ran to its end."""
        self._last_s = now_s
        self._time_s.add(run_time_s / _size(submit, output_tokens))
        if submit.max_tokens:
            self._output_share.add(output_tokens / submit.max_tokens)

    def output_tokens(self, submit: link.Submit) -> float:
        """Return the tokens that a request is expected to generate."""
        if not self._output_share.samples:
            return float(submit.max_tokens)
        return submit.max_tokens * self._output_share.value

    def run_time_s(self, submit: link.Submit, now_s: float) -> float:
        """Return the time that a request most likely needs, 0 if unknown.

        It is certain as far as requests were alike lately: work must only
        be refused for a deadline that it would miss, and what begins too
        late takes the endpoint's time for nothing.
        """
        if now_s - self._last_s > MEMORY_S:
            return 0.0
        tokens = submit.max_tokens * self._output_share.low
        return _size(submit, tokens) * self._time_s.low


def _size(submit: link.Submit, output_tokens: float) -> float:
    """Return the steps of a request; a plain call is one."""
    return 1.0 + output_tokens

"""Learned speed of the engines of a service, and of each of them."""

import collections
import math
import statistics

import attrs

from . import _capability
from . import _linear_time

#: Prefill that is assumed for a service before the first one was measured.
INITIAL_PREFILL = _linear_time.Line(base_s=0.005, token_s=1e-5)
#: Time for a token at an engine that also decodes, as a multiple of the time
#: at one that only prefills; assumed until it is measured.
MIXED_TOKEN_FACTOR = 2.0
#: Transfer of a KV cache and the first decode step, assumed until measured.
INITIAL_TRANSFER = _linear_time.Line(base_s=0.01, token_s=1e-7)
#: Time of a transfer between failure domains, as a multiple of that within.
REMOTE_FETCH_FACTOR = 2.0
#: Number of latest samples that tell an engine from others of its service.
ENGINE_WINDOW = 24
#: Age at which such a sample is dropped, in seconds.
SAMPLE_AGE_S = 8.0
#: Standard deviation of a normal distribution over its median deviation.
MAD_TO_DEVIATION = 1.48
#: Variance of the logarithm of one sample that is assumed at least.
SAMPLE_VARIANCE = 0.03
#: Smallest transient factor that is told apart. A popular engine has a longer
#: queue than is known and seems a little slower, which is no reason to avoid
#: it.
MIN_FACTOR = 2.5
#: Standard errors by which an engine must differ from its service.
SIGNIFICANT_ERRORS = 2.0
#: Samples that tell as much as one that is independent: requests that share a
#: queue share the error of its estimate.
DEPENDENT_SAMPLES = 4
#: Weight of a new line of a service in its average, and the samples that the
#: average needs. Where engines differ, the fitted line depends on which of
#: them yielded the latest samples, so permanent factors are learned from the
#: average.
LINE_WEIGHT = 1 / 256
MIN_LINE_SAMPLES = 32
#: Largest factor between an engine and its service.
MAX_FACTOR = 50.0


class _AverageLine:
    """Exponentially weighted average of the lines fitted for a service."""

    def __init__(self) -> None:
        self._line = _linear_time.Line(0.0, 0.0)
        self._samples = 0

    @property
    def line(self) -> _linear_time.Line | None:
        """Return the average, ``None`` before there are enough samples."""
        return self._line if self._samples >= MIN_LINE_SAMPLES else None

    def add(self, line: _linear_time.Line) -> None:
        """Add the line after one more sample."""
        self._samples += 1
        weight = max(1 / self._samples, LINE_WEIGHT)
        before = self._line
        self._line = _linear_time.Line(
            before.base_s + (line.base_s - before.base_s) * weight,
            before.token_s + (line.token_s - before.token_s) * weight,
        )


class ServiceSpeed:
    """Times that all engines of a service have in common."""

    def __init__(
        self,
        prefill: _linear_time.Line = INITIAL_PREFILL,
        transfer: _linear_time.Line = INITIAL_TRANSFER,
    ) -> None:
        #: Prefill by engines that do not decode.
        self.separate = _linear_time.LinearTime(prefill)
        #: Prefill by engines that also decode.
        self.mixed = _linear_time.LinearTime(_mixed(prefill))
        #: Time to fetch one token from the cache of another engine in the same
        #: failure domain, in seconds; infinite if engines cannot fetch.
        self.fetch_token_s = math.inf
        #: Time from the send of a prefilled request to its first event.
        self.transfer = _linear_time.LinearTime(transfer)
        #: Permanent factors of the engines.
        self.capabilities = _capability.ServiceCapabilities()
        self._averages = {True: _AverageLine(), False: _AverageLine()}

    def prefill(self, separate: bool) -> _linear_time.LinearTime:
        """Return the prefill times of engines that do or do not decode."""
        return self.separate if separate else self.mixed

    def average_prefill(self, separate: bool) -> _linear_time.Line | None:
        """Return the average of the fitted lines, ``None`` at first."""
        return self._averages[separate].line

    def record(self, separate: bool, sample: _linear_time.TimeSample) -> None:
        """Add a measured prefill."""
        self.prefill(separate).record(sample)
        self._averages[separate].add(self.prefill(separate).line)
        if separate:
            self.mixed.assume(_mixed(self.separate.line))


def _mixed(line: _linear_time.Line) -> _linear_time.Line:
    return _linear_time.Line(line.base_s, line.token_s * MIXED_TOKEN_FACTOR)


@attrs.frozen
class PrefillSample:
    """A prefill of one engine whose time was measured."""

    #: Whether the engine did not decode at that time.
    separate: bool
    #: Its tokens and time.
    sample: _linear_time.TimeSample
    #: Whether it was finished; else it would have taken longer than that.
    finished: bool = True


class EngineSpeed:
    """How much slower or faster an engine is than its service.

    The permanent part is learned from many samples, see ``Capability``. The
    transient part is the median of the last samples over what the permanent
    part lets expect. It is 1 unless it is large and differs by
    more than the scatter of the samples explains: with many gateways queues
    are noisy estimates, and engines that seem slower by chance would lose the
    prompts that they have cached.
    """

    def __init__(self, service: ServiceSpeed) -> None:
        self._service = service
        #: Permanent part.
        self.capability = _capability.Capability(service.capabilities)
        #: The latest samples, with the times when they were added.
        self._samples: collections.deque[tuple[float, PrefillSample]] = (
            collections.deque(maxlen=ENGINE_WINDOW)
        )
        self._transient = 1.0
        #: Lines of the service and permanent factor from which the transient
        #: one was computed; ``None`` if there is a newer sample.
        self._basis: (
            tuple[_linear_time.Line, _linear_time.Line, float] | None
        ) = None

    def record(self, measured: PrefillSample, now_s: float) -> None:
        """Add a measured prefill of this engine.

        One that was not finished says nothing about other engines.
        """
        self._samples.append((now_s, measured))
        self._basis = None
        if measured.finished:
            self._learn_capability(measured, now_s)
            self._service.record(
                measured.separate,
                attrs.evolve(
                    measured.sample,
                    took_s=measured.sample.took_s / self.capability.factor,
                ),
            )

    def _learn_capability(self, measured: PrefillSample, now_s: float) -> None:
        line = self._service.average_prefill(measured.separate)
        if measured.sample.queued or line is None:
            return
        if self.transient_factor == 1.0:
            usual_s = line.at(_capability.REFERENCE_TOKENS)
            self.capability.record(
                _log_ratio(measured, line) + math.log(usual_s),
                measured.separate,
                now_s,
            )

    def expire(self, now_s: float) -> None:
        """Forget old samples: an engine that is avoided brings no new ones."""
        while self._samples and now_s - self._samples[0][0] > SAMPLE_AGE_S:
            self._samples.popleft()
            self._basis = None

    @property
    def factor(self) -> float:
        """Return the engine's times relative to those of its service."""
        return self.transient_factor * self.capability.factor

    @property
    def transient_factor(self) -> float:
        """Return its times relative to those of its permanent factor."""
        basis = (
            self._service.separate.line,
            self._service.mixed.line,
            self.capability.factor,
        )
        if self._basis != basis:
            self._transient = self._fitted_factor()
            self._basis = basis
        return self._transient

    def prefill_s(self, tokens: float, separate: bool) -> float:
        """Return the time to prefill that many tokens, in seconds."""
        line = self._service.prefill(separate).line
        return line.at(tokens) * self.factor

    def token_s(self, separate: bool) -> float:
        """Return the time for each token, in seconds."""
        return self._service.prefill(separate).line.token_s * self.factor

    def transfer_s(self, tokens: float) -> float:
        """Return the time to fetch a KV cache and decode one token."""
        return self._service.transfer.line.at(tokens)

    def fetch_s(self, tokens: float, remote: bool) -> float:
        """Return the time to fetch that many tokens from another cache."""
        factor = REMOTE_FETCH_FACTOR if remote else 1.0
        return self._service.fetch_token_s * tokens * factor

    def record_transfer(self, tokens: float, took_s: float) -> None:
        """Add the time from the send to the first event of a transfer."""
        self._service.transfer.record(_linear_time.TimeSample(tokens, took_s))

    def _fitted_factor(self) -> float:
        if not self._samples:
            return 1.0
        slowdown = _significant_median(
            [self._log_slowdown(each) for _at_s, each in self._samples]
        )
        if abs(slowdown) < math.log(MIN_FACTOR):
            return 1.0
        limit = math.log(MAX_FACTOR)
        return math.exp(min(max(slowdown, -limit), limit))

    def _log_slowdown(self, measured: PrefillSample) -> float:
        """Return the logarithm of the actual over the expected time."""
        line = self._service.prefill(measured.separate).line
        return _log_ratio(measured, line.scaled(self.capability.factor))


def _log_ratio(measured: PrefillSample, line: _linear_time.Line) -> float:
    """Return the logarithm of the time over that of a line."""
    took_s = max(measured.sample.took_s, _linear_time.MIN_TIME_S)
    return math.log(took_s / line.at(measured.sample.tokens))


def _significant_median(values: list[float]) -> float:
    """Return the median, or 0 if the scatter of the values explains it."""
    if not values:
        return 0.0
    middle = statistics.median(values)
    spread = statistics.median(abs(each - middle) for each in values)
    variance = (spread * MAD_TO_DEVIATION) ** 2 + SAMPLE_VARIANCE
    error = math.sqrt(variance / len(values) * DEPENDENT_SAMPLES)
    return middle if abs(middle) >= SIGNIFICANT_ERRORS * error else 0.0

"""Time of a step as a linear function of its tokens, learned from samples."""

import collections
import math
import statistics

import attrs

#: Number of latest samples that a fit uses.
WINDOW = 64
#: Fewest samples for which base time and time a token are fitted separately.
MIN_SAMPLES = 6
#: Factor of the expectation beyond which the weight of a sample falls.
OUTLIER_FACTOR = 2.0
#: Passes of the fit; each weighs the samples by the one before.
PASSES = 3
#: The line is fitted anew once one in this many of its samples is new.
REFIT_SHARE = 8
#: Smallest time that is told apart from zero, in seconds.
MIN_TIME_S = 1e-4


@attrs.frozen
class TimeSample:
    """A step whose time was measured."""

    #: Tokens that were processed, including those queued before.
    tokens: float
    #: Time that this took, or a lower bound of it, in seconds.
    took_s: float
    #: Whether any were queued before; their number is an estimate.
    queued: bool = False


@attrs.frozen
class Line:
    """A time that grows linearly with the number of tokens."""

    #: Time that does not depend on the number of tokens, in seconds.
    base_s: float
    #: Time for each token, in seconds.
    token_s: float

    def at(self, tokens: float) -> float:
        """Return the time for a number of tokens, in seconds."""
        return max(self.base_s + self.token_s * tokens, MIN_TIME_S)

    def scaled(self, factor: float) -> "Line":
        """Return the line with all times multiplied by a factor."""
        return Line(self.base_s * factor, self.token_s * factor)


class LinearTime:
    """Robust regression of times over tokens.

    Relative errors count, so that long and short steps are fitted alike, and
    samples far from the fit count less. Until there are samples of different
    sizes the assumed line is scaled as a whole.

    Only steps that found no queue count once there are some: the size of a
    queue is an estimate, and its errors would make the line too flat. The line
    is scaled so that half of the samples lie above it.

    Example::

        prefill = LinearTime(Line(0.005, 1e-5))
        prefill.record(TimeSample(9_000, 0.21))
        prefill.line.at(3_000)
    """

    def __init__(self, assumed: Line) -> None:
        self._assumed = assumed
        self._samples: collections.deque[TimeSample] = collections.deque(
            maxlen=WINDOW
        )
        #: The latest of them that found no queue.
        self._unqueued: collections.deque[TimeSample] = collections.deque(
            maxlen=WINDOW
        )
        self._fitted = assumed
        #: Samples that the fit does not contain yet.
        self._unfitted = 0
        self._stale = False

    @property
    def sample_count(self) -> int:
        """Return the number of samples in use."""
        return len(self._samples)

    @property
    def line(self) -> Line:
        """Return the line that fits the samples.

        The more samples there are the more new ones change it noticeably, so
        that the cost of a sample stays bounded.
        """
        if self._unfitted > len(self._samples) // REFIT_SHARE or self._stale:
            self._fitted = _fit(
                self._assumed, list(self._samples), list(self._unqueued)
            )
            self._unfitted = 0
            self._stale = False
        return self._fitted

    def record(self, sample: TimeSample) -> None:
        """Add a sample."""
        self._samples.append(sample)
        if not sample.queued:
            self._unqueued.append(sample)
        self._unfitted += 1

    def assume(self, assumed: Line) -> None:
        """Set the line that is used until there are samples."""
        if assumed != self._assumed:
            self._assumed = assumed
            self._stale = not self._samples


def _fit(
    assumed: Line, samples: list[TimeSample], unqueued: list[TimeSample]
) -> Line:
    if not samples:
        return assumed
    if len(unqueued) < MIN_SAMPLES:
        return _calibrated(assumed, samples)
    line = _calibrated(assumed, unqueued)
    for _ in range(PASSES):
        line = _weighted_fit(line, unqueued)
    return _calibrated(line, unqueued)


def _calibrated(line: Line, samples: list[TimeSample]) -> Line:
    """Return the line scaled so that half of the samples lie above it."""
    ratio = statistics.median(
        max(each.took_s, MIN_TIME_S) / line.at(each.tokens) for each in samples
    )
    return line.scaled(ratio)


def _weighted_fit(line: Line, samples: list[TimeSample]) -> Line:
    """Return the least squares fit, weighted by the errors of a line."""
    weight = tokens = times = squares = products = 0.0
    for each in samples:
        expected_s = line.at(each.tokens)
        share = _outlier_weight(each.took_s / expected_s)
        relative = share / (expected_s * expected_s)
        weight += relative
        tokens += relative * each.tokens
        times += relative * each.took_s
        squares += relative * each.tokens * each.tokens
        products += relative * each.tokens * each.took_s
    determinant = weight * squares - tokens * tokens
    if determinant <= 1e-6 * weight * squares:
        return line
    token_s = (weight * products - tokens * times) / determinant
    base_s = (times - token_s * tokens) / weight
    if token_s <= 0.0:
        return line
    if base_s < 0.0:
        return Line(0.0, products / squares)
    return Line(base_s, token_s)


def _outlier_weight(ratio: float) -> float:
    distance = abs(math.log(max(ratio, 1e-6)))
    limit = math.log(OUTLIER_FACTOR)
    return 1.0 if distance <= limit else limit / distance

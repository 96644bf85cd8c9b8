"""Learned permanent factor of each engine relative to its service."""

import collections
import collections.abc
import math
import statistics
import weakref

import attrs

#: Size of prefill to which all measured times are scaled, in tokens.
REFERENCE_TOKENS = 4_096.0
#: Shortest time that a block of samples spans, in seconds. Samples within a
#: block share queues and transient slowness, so only blocks count as
#: independent.
BLOCK_S = 1.5
#: Fewest samples of a block.
BLOCK_SAMPLES = 2
#: Quantile of a block's samples that represents it. It is a low one, since
#: unreported queues and evicted prompt parts only make prefills longer.
BLOCK_QUANTILE = 0.2
#: Number of latest blocks in use, and the fewest for a median. Slowness of
#: less than 5 s affects less than half of the fewest.
MAX_BLOCKS = 40
MIN_BLOCKS = 8
#: Standard errors of its median by which an engine must differ from its
#: service.
SIGNIFICANT_ERRORS = 3.0
#: Smallest assumed standard deviation of the logarithm of one block.
MIN_BLOCK_DEVIATION = 0.1
#: Standard deviation of a normal distribution over its median deviation.
MAD_TO_DEVIATION = 1.48
#: Standard error of a median over that of a mean.
MEDIAN_ERROR = 1.25
#: Standard deviations of one block by which it must differ as well. More
#: blocks do not remove the error of engines that have different queues.
SIGNIFICANT_DEVIATIONS = 1.5
#: Smallest factor that is applied, for engines that only prefill and for
#: others, whose times depend on what they decode meanwhile.
MIN_FACTOR = 1.25
MIN_MIXED_FACTOR = 1.5
#: Factor below which an applied one is reset to 1, and the smallest change of
#: one.
RELEASE_FACTOR = 1.1
#: Largest permanent factor. What exceeds it is part of the transient factor.
MAX_FACTOR = 2.5
#: Largest rounding error of the logarithm of a reported factor.
LOG_TOLERANCE = 1e-6


class _Blocks:
    """Logarithms of an engine's prefill times, one value for each block."""

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=MAX_BLOCKS
        )
        self._open: list[float] = []
        self._open_first_s = 0.0
        #: Median of the blocks, ``None`` if there are too few.
        self.median: float | None = None

    def add(self, log_time: float, now_s: float) -> bool:
        """Add a sample; return whether it completes a block."""
        if not self._open:
            self._open_first_s = now_s
        self._open.append(log_time)
        if len(self._open) < BLOCK_SAMPLES:
            return False
        if now_s - self._open_first_s < BLOCK_S:
            return False
        ordered = sorted(self._open)
        self._values.append(ordered[int(len(ordered) * BLOCK_QUANTILE)])
        self._open.clear()
        if len(self._values) >= MIN_BLOCKS:
            self.median = statistics.median(self._values)
        return True

    @property
    def min_difference(self) -> float:
        """Return the smallest significant difference of the logarithm."""
        median = statistics.median(self._values)
        spread = statistics.median(abs(each - median) for each in self._values)
        deviation = max(spread * MAD_TO_DEVIATION, MIN_BLOCK_DEVIATION)
        error = deviation * MEDIAN_ERROR / math.sqrt(len(self._values))
        return max(
            error * SIGNIFICANT_ERRORS, deviation * SIGNIFICANT_DEVIATIONS
        )


@attrs.frozen
class _Estimate:
    """Logarithm of an engine's factor."""

    log_factor: float
    #: Smallest absolute logarithm that may be applied.
    threshold: float


class Capability:
    """How much slower or faster an engine is for its whole lifetime.

    The factor comes from prefills that found no queue and were measured while
    its transient factor was 1. It is 1 unless blocks of samples
    from many seconds differ significantly from those of the other engines, and
    it stays when an engine yields no new samples.

    Example::

        capability.record(math.log(0.021), separate=True, now_s=now_s)
        capability.factor
    """

    def __init__(self, service: "ServiceCapabilities") -> None:
        self._service = service
        self._blocks = {True: _Blocks(), False: _Blocks()}
        #: Whether the factor comes from another gateway.
        self.from_peer = False
        self.log_factor = 0.0
        self.factor = 1.0
        service.engines.add(self)

    @property
    def known(self) -> bool:
        """Return whether the factor was learned from own samples."""
        return any(
            blocks.median is not None for blocks in self._blocks.values()
        )

    def record(self, log_time: float, separate: bool, now_s: float) -> None:
        """Add a prefill without a queue.

        ``log_time`` is the logarithm of its time in seconds, scaled to one of
        ``REFERENCE_TOKENS`` by the ratio of the times that are usual for both.
        """
        if self._blocks[separate].add(log_time, now_s):
            self._update()

    def use_peer_factor(self, factor: float) -> None:
        """Use the factor of another gateway until there are own samples."""
        if not 0.0 < factor < math.inf or self.known:
            return
        log_factor = math.log(factor)
        if abs(log_factor) > math.log(MAX_FACTOR) + LOG_TOLERANCE:
            return
        self.from_peer = True
        self._apply(log_factor)

    def median(self, separate: bool) -> float | None:
        """Return the median logarithm of prefills beside or without decoding.

        It is ``None`` if there are too few blocks.
        """
        return self._blocks[separate].median

    def _update(self) -> None:
        estimate = self._estimate()
        if estimate is None:
            return
        self.from_peer = False
        release = math.log(RELEASE_FACTOR)
        if abs(estimate.log_factor) < release:
            self._apply(0.0)
        elif abs(estimate.log_factor - self.log_factor) < release:
            return
        elif (
            abs(estimate.log_factor) >= estimate.threshold
            or estimate.log_factor * self.log_factor > 0.0
        ):
            # One that is in use follows the samples also below the threshold.
            limit = math.log(MAX_FACTOR)
            self._apply(min(max(estimate.log_factor, -limit), limit))
        else:
            self._apply(0.0)

    def _apply(self, log_factor: float) -> None:
        self.log_factor = log_factor
        self.factor = math.exp(log_factor)

    def _estimate(self) -> _Estimate | None:
        """Return the estimate, from prefills without decoding if possible."""
        for separate, min_factor in (
            (True, MIN_FACTOR),
            (False, MIN_MIXED_FACTOR),
        ):
            median = self._blocks[separate].median
            reference = self._service.reference(separate)
            if median is not None and reference is not None:
                return _Estimate(
                    median - reference,
                    max(
                        math.log(min_factor),
                        self._blocks[separate].min_difference,
                    ),
                )
        return None


class ServiceCapabilities:
    """Reference times of a service, from the capabilities of its engines."""

    def __init__(self) -> None:
        #: Capabilities of the engines that still exist.
        self.engines: weakref.WeakSet[Capability] = weakref.WeakSet()

    def reference(self, separate: bool) -> float | None:
        """Return the logarithm of the time of an engine with factor 1.

        It is the median over engines, and ``None`` if there is only one. For
        prefills beside decoding, engines that were also measured without
        decoding are preferred: their factors are known from that.
        """
        known = [
            (each, median)
            for each in self.engines
            if (median := each.median(separate)) is not None
        ]
        if not separate:
            both = [
                median - each.log_factor
                for each, median in known
                if each.median(True) is not None
            ]
            if both:
                return statistics.median(both)
        if len(known) < 2:
            return None
        return statistics.median(median for _each, median in known)

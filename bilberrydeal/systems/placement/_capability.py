"""Learned permanent factor of each engine relative to its service."""

import collections
import collections.abc
import math
import statistics
import weakref

import attrs

#: Size of the prefill that stands for all, in tokens.
REFERENCE_TOKENS = 4_096.0
#: Shortest time that a block of samples spans, in seconds. Samples within a
#: block share queues and passing slowness, so that only blocks count as
#: independent.
BLOCK_S = 1.5
#: Fewest samples of a block.
BLOCK_SAMPLES = 2
#: Quantile of the samples of a block that stands for it: a queue that is not
#: known of, or a part that is no longer cached, only makes prefills longer.
BLOCK_QUANTILE = 0.2
#: Number of latest blocks in use, and the fewest. Slowness that passes within
#: 5 s reaches less than half of the fewest.
MAX_BLOCKS = 40
MIN_BLOCKS = 8
#: Standard errors by which an engine must differ from its service.
SIGNIFICANT_ERRORS = 3.0
#: Standard deviation of the logarithm of one block that is assumed at least.
BLOCK_DEVIATION = 0.1
#: Standard deviation of a normal distribution over its median deviation.
MAD_TO_DEVIATION = 1.48
#: Standard error of a median over that of a mean.
MEDIAN_ERROR = 1.25
#: Standard deviations of the blocks by which it must differ, however many they
#: are: the engines of a fleet do not meet the same queues.
SIGNIFICANT_DEVIATIONS = 1.5
#: Smallest factor that is taken into use, for engines that only prefill and
#: for others, whose times depend on what they decode meanwhile.
MIN_FACTOR = 1.25
MIN_MIXED_FACTOR = 1.5
#: Factor below which one in use is given up, and the smallest change of one.
RELEASE_FACTOR = 1.1
#: Largest factor; beyond it an engine is followed as one that is slow.
MAX_FACTOR = 2.5
#: Error of a logarithm that was computed from a factor.
ROUNDING = 1e-6


class _Blocks:
    """Logarithms of the times of one kind of prefills."""

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=MAX_BLOCKS
        )
        self._open: list[float] = []
        self._open_since_s = 0.0
        #: Median of the blocks, ``None`` if there are too few.
        self.middle: float | None = None

    def add(self, log_time: float, now_s: float) -> bool:
        """Add a sample; return whether it completes a block."""
        if not self._open:
            self._open_since_s = now_s
        self._open.append(log_time)
        if len(self._open) < BLOCK_SAMPLES:
            return False
        if now_s - self._open_since_s < BLOCK_S:
            return False
        ordered = sorted(self._open)
        self._values.append(ordered[int(len(ordered) * BLOCK_QUANTILE)])
        self._open.clear()
        if len(self._values) >= MIN_BLOCKS:
            self.middle = statistics.median(self._values)
        return True

    @property
    def least(self) -> float:
        """Return the smallest difference that the scatter does not explain."""
        middle = statistics.median(self._values)
        spread = statistics.median(abs(each - middle) for each in self._values)
        deviation = max(spread * MAD_TO_DEVIATION, BLOCK_DEVIATION)
        error = deviation * MEDIAN_ERROR / math.sqrt(len(self._values))
        return max(
            error * SIGNIFICANT_ERRORS, deviation * SIGNIFICANT_DEVIATIONS
        )


@attrs.frozen
class _Estimate:
    """Logarithm of an engine's factor."""

    value: float
    #: Smallest logarithm that may be taken into use.
    threshold: float


class Capability:
    """How much slower or faster an engine is for its whole lifetime.

    The factor comes from prefills that found no queue and were measured while
    the engine was not slow for the moment. It is 1 unless blocks of samples
    from many seconds differ significantly from those of the other engines, and
    it stays when an engine yields no new samples.

    Example::

        capability.record(math.log(0.021), separate=True, now_s=now_s)
        capability.factor
    """

    def __init__(self, service: "ServiceCapabilities") -> None:
        self._service = service
        self._blocks = {True: _Blocks(), False: _Blocks()}
        #: Whether the factor was told by another gateway.
        self.told = False
        self.log_factor = 0.0
        self.factor = 1.0
        service.engines.add(self)

    @property
    def known(self) -> bool:
        """Return whether the factor was learned from own samples."""
        return any(
            blocks.middle is not None for blocks in self._blocks.values()
        )

    def record(self, log_time: float, separate: bool, now_s: float) -> None:
        """Add a prefill without a queue.

        ``log_time`` is the logarithm of its time in seconds, scaled to one of
        ``REFERENCE_TOKENS`` by the ratio of the times that are usual for both.
        """
        if self._blocks[separate].add(log_time, now_s):
            self._update()

    def tell(self, factor: float) -> None:
        """Use the factor of another gateway until there are own samples."""
        if not 0.0 < factor < math.inf or self.known:
            return
        log_factor = math.log(factor)
        if abs(log_factor) > math.log(MAX_FACTOR) + ROUNDING:
            return
        self.told = True
        self._use(log_factor)

    def middle(self, separate: bool) -> float | None:
        """Return the median of a kind of prefills, if there are enough."""
        return self._blocks[separate].middle

    def _update(self) -> None:
        estimate = self._estimate()
        if estimate is None:
            return
        self.told = False
        release = math.log(RELEASE_FACTOR)
        if abs(estimate.value) < release:
            self._use(0.0)
        elif abs(estimate.value - self.log_factor) < release:
            return
        elif abs(estimate.value) >= estimate.threshold:
            limit = math.log(MAX_FACTOR)
            self._use(min(max(estimate.value, -limit), limit))

    def _use(self, log_factor: float) -> None:
        self.log_factor = log_factor
        self.factor = math.exp(log_factor)

    def _estimate(self) -> _Estimate | None:
        """Return the estimate from the kind of prefills that tells most."""
        for separate, factor in (
            (True, MIN_FACTOR),
            (False, MIN_MIXED_FACTOR),
        ):
            middle = self._blocks[separate].middle
            usual = self._service.usual(separate)
            if middle is not None and usual is not None:
                return _Estimate(
                    middle - usual,
                    max(math.log(factor), self._blocks[separate].least),
                )
        return None


class ServiceCapabilities:
    """Capabilities of the engines of a service."""

    def __init__(self) -> None:
        #: Those of engines that are in use.
        self.engines: weakref.WeakSet[Capability] = weakref.WeakSet()

    def usual(self, separate: bool) -> float | None:
        """Return the median over engines, ``None`` if there is only one.

        Where engines have done both, what they showed without decoding tells
        what to expect with it.
        """
        known = [
            (each, middle)
            for each in self.engines
            if (middle := each.middle(separate)) is not None
        ]
        if not separate:
            both = [
                middle - each.log_factor
                for each, middle in known
                if each.middle(True) is not None
            ]
            if both:
                return statistics.median(both)
        if len(known) < 2:
            return None
        return statistics.median(middle for _each, middle in known)

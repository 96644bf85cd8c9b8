"""True time, agreed over all gateways."""

import collections.abc
import statistics
import time

from .. import ports


def boot_s() -> float:
    """Return time since boot, which also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClusterClock:
    """Unix time from the store's steady clock and all gateways' offsets.

    The time of day of a few hosts may be wrong by seconds, and may jump.
    Each gateway tells how far its time of day is ahead of the store's steady
    clock; the median of all is taken for true.
    """

    def __init__(
        self,
        reading: collections.abc.Callable[[], ports.ClockReading | None],
        wall_s: collections.abc.Callable[[], float] = time.time,
        steady_s: collections.abc.Callable[[], float] = boot_s,
    ) -> None:
        self._reading = reading
        self._wall_s = wall_s
        self._steady_s = steady_s
        self._offset_s: float | None = None

    def local_offset_s(self) -> float | None:
        """Return the own time of day less the store's clock."""
        store_s = self.store_s()
        return None if store_s is None else self._wall_s() - store_s

    def store_s(self) -> float | None:
        """Return the store's steady clock, ``None`` before any answer."""
        reading = self._reading()
        if reading is None:
            return None
        return reading.remote_s + self._steady_s() - reading.local_s

    def set_offsets(self, offsets_s: collections.abc.Sequence[float]) -> None:
        """Take what all gateways told."""
        if offsets_s:
            self._offset_s = statistics.median_low(offsets_s)

    def now_s(self) -> float:
        """Return the Unix time."""
        store_s = self.store_s()
        if store_s is None or self._offset_s is None:
            return self._wall_s()
        return store_s + self._offset_s

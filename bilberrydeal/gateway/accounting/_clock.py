"""A clock that all gateways agree on."""

import collections.abc
import statistics
import time

from ... import ports


def boot_s() -> float:
    """Return the time since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClusterClock:
    """Unix time from the store's monotonic clock and all gateways' offsets.

    The wall clocks of a few hosts may be wrong by seconds, and may jump. Each
    gateway publishes the offset of its wall clock from the store's monotonic
    clock; the median of all offsets is used.
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
        """Return this host's wall clock minus the store's clock."""
        store_s = self.store_s()
        return None if store_s is None else self._wall_s() - store_s

    def store_s(self) -> float | None:
        """Return the store's clock, ``None`` before its first response."""
        reading = self._reading()
        if reading is None:
            return None
        return reading.remote_s + self._steady_s() - reading.local_s

    def set_offsets(self, offsets_s: collections.abc.Sequence[float]) -> None:
        """Use the median of the offsets that gateways published."""
        if offsets_s:
            self._offset_s = statistics.median_low(offsets_s)

    def now_s(self) -> float:
        """Return the agreed Unix time, or this host's until it is known."""
        store_s = self.store_s()
        if store_s is None or self._offset_s is None:
            return self._wall_s()
        return store_s + self._offset_s

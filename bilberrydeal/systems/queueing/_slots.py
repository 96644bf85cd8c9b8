"""Slots kept free for requests that are served first."""

import math

import attrs

from . import _base
from . import _demand

#: Largest part of the slots that is kept free.
KEPT_PART = 0.5


@attrs.define
class ClassLoad:
    """What one request class needs of the slots."""

    #: Run time of the requests that come a second: slots busy on average.
    busy_slots: float = 0.0
    #: When that was true.
    at_s: float = -math.inf
    #: Requests that run.
    running: int = 0

    def came(self, run_time_s: float, now_s: float) -> None:
        """Note a request."""
        self._fade(now_s)
        self.busy_slots += run_time_s / _demand.MEMORY_S

    def wanted(self, now_s: float) -> float:
        """Return the slots that should be free for new requests.

        Requests come in bursts; a square root above the mean covers most.
        """
        self._fade(now_s)
        peak = self.busy_slots + math.sqrt(self.busy_slots)
        return max(0.0, peak - self.running)

    def _fade(self, now_s: float) -> None:
        if now_s > self.at_s:
            self.busy_slots *= math.exp((self.at_s - now_s) / _demand.MEMORY_S)
            self.at_s = now_s


class Slots:
    """Decides which classes may take the next slot.

    A long request holds its slot for many seconds, so requests of lower
    classes would wait for one to end. As many slots as lower classes need,
    by what came lately, are therefore not given to higher classes. What an
    organisation sends beyond its share of the slots does not count.
    """

    def __init__(self) -> None:
        self._slots = math.inf
        self._demand = _demand.Demand()
        self._classes: dict[int, ClassLoad] = {}
        self._running: dict[str, int] = {}

    def came(self, item: _base.QueuedRequest, now_s: float) -> None:
        """Note a request that is to wait."""
        counted_s = self._demand.claim(
            item.organisation,
            item.weight,
            item.run_time_s,
            self._slots,
            now_s,
        )
        self._load(item.request_class).came(counted_s, now_s)

    def began(self, key: str, request_class: int) -> None:
        """Note a request that takes a slot."""
        self._running[key] = request_class
        self._load(request_class).running += 1

    def ended(self, key: str) -> None:
        """Note a request that leaves its slot."""
        request_class = self._running.pop(key, None)
        if request_class is not None:
            self._load(request_class).running -= 1

    def highest_class(self, slots: int, now_s: float) -> float:
        """Return the highest class that may take a slot now."""
        self._slots = slots
        free = slots - len(self._running)
        kept = 0.0
        for request_class in sorted(self._classes):
            if free <= min(kept, KEPT_PART * slots):
                return request_class - 1
            kept += self._classes[request_class].wanted(now_s)
        if free <= min(kept, KEPT_PART * slots):
            return max(self._classes, default=0)
        return math.inf

    def _load(self, request_class: int) -> ClassLoad:
        load = self._classes.get(request_class)
        if load is None:
            load = self._classes[request_class] = ClassLoad()
        return load

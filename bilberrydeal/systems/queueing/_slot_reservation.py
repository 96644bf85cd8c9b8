"""Reserves slots for the classes that are served first."""

import math

import attrs

from . import _base
from . import _demand

#: Maximum fraction of the slots that is reserved.
MAX_RESERVED_FRACTION = 0.5


@attrs.define
class ClassLoad:
    """The load of one request class on the slots."""

    #: Mean number of busy slots: run time of the requests that arrive per
    #: second.
    busy_slots: float = 0.0
    #: Time of the last decay.
    updated_at_s: float = -math.inf
    #: Running requests.
    running: int = 0

    def record_arrival(self, run_time_s: float, now_s: float) -> None:
        """Record an arrived request."""
        self._decay(now_s)
        self.busy_slots += run_time_s / _demand.DECAY_TIME_S

    def required_slots(self, now_s: float) -> float:
        """Return the number of slots to reserve for new requests.

        Arrivals are bursty; the mean plus its square root covers most bursts.
        """
        self._decay(now_s)
        peak = self.busy_slots + math.sqrt(self.busy_slots)
        return max(0.0, peak - self.running)

    def _decay(self, now_s: float) -> None:
        if now_s > self.updated_at_s:
            self.busy_slots *= math.exp(
                (self.updated_at_s - now_s) / _demand.DECAY_TIME_S
            )
            self.updated_at_s = now_s


class SlotReservation:
    """Decides which classes may use the next slot.

    A long request occupies its slot for many seconds, during which requests of
    lower classes would wait. The slots that lower classes need by their recent
    load are therefore withheld from higher classes. Requests of an
    organisation beyond its share of the slots do not count.
    """

    def __init__(self) -> None:
        self._slots = math.inf
        self._demand = _demand.Demand()
        self._classes: dict[int, ClassLoad] = {}
        self._running: dict[str, int] = {}

    def record_arrival(self, item: _base.QueuedRequest, now_s: float) -> None:
        """Record a queued request."""
        counted_s = self._demand.record_request(
            item.organisation,
            item.weight,
            item.run_time_s,
            self._slots,
            now_s,
        )
        self._class_load(item.request_class).record_arrival(counted_s, now_s)

    def record_start(self, key: str, request_class: int) -> None:
        """Record a request that occupies a slot."""
        self._running[key] = request_class
        self._class_load(request_class).running += 1

    def record_end(self, key: str) -> None:
        """Record the end of a request and free its slot."""
        request_class = self._running.pop(key, None)
        if request_class is not None:
            self._class_load(request_class).running -= 1

    def highest_class(self, slots: int, now_s: float) -> float:
        """Return the highest class that may use a slot now."""
        self._slots = slots
        free = slots - len(self._running)
        reserved = 0.0
        for request_class in sorted(self._classes):
            if free <= min(reserved, MAX_RESERVED_FRACTION * slots):
                return request_class - 1
            reserved += self._classes[request_class].required_slots(now_s)
        if free <= min(reserved, MAX_RESERVED_FRACTION * slots):
            return max(self._classes, default=0)
        return math.inf

    def _class_load(self, request_class: int) -> ClassLoad:
        class_load = self._classes.get(request_class)
        if class_load is None:
            class_load = self._classes[request_class] = ClassLoad()
        return class_load

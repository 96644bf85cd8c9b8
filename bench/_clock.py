"""Discrete-event clock of the simulation."""

import collections.abc
import heapq

Callback = collections.abc.Callable[[], None]


class Clock:
    """Runs callbacks in order of time and skips the time between them."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._sequence = 0

    def call_at(self, time_s: float, callback: Callback) -> None:
        """Run a callback at a time, after those already due at that time."""
        self._sequence += 1
        heapq.heappush(
            self._events, (max(time_s, self.now_s), self._sequence, callback)
        )

    def call_later(self, delay_s: float, callback: Callback) -> None:
        """Run a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def call_every(self, period_s: float, callback: Callback) -> None:
        """Run a callback periodically."""

        def run_and_reschedule() -> None:
            callback()
            self.call_later(period_s, run_and_reschedule)

        self.call_later(period_s, run_and_reschedule)

    def run(self, until_s: float) -> None:
        """Run all events up to and including a time."""
        while self._events and self._events[0][0] <= until_s:
            time_s, _, callback = heapq.heappop(self._events)
            self.now_s = time_s
            callback()
        self.now_s = until_s

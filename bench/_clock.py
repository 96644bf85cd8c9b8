"""The model's own clock: events in order of their time."""

import collections.abc
import heapq

Action = collections.abc.Callable[[], None]


class Clock:
    """Runs actions at their times; no time passes in between."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._count = 0

    def at(self, time_s: float, action: Action) -> None:
        """Run an action at a time, after others of that time."""
        self._count += 1
        heapq.heappush(
            self._events, (max(time_s, self.now_s), self._count, action)
        )

    def after(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def every(self, period_s: float, action: Action) -> None:
        """Run an action again and again."""

        def repeat() -> None:
            action()
            self.after(period_s, repeat)

        self.after(period_s, repeat)

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            time_s, _, action = heapq.heappop(self._events)
            self.now_s = time_s
            action()
        self.now_s = until_s

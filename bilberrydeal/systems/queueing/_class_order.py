"""Orders the requests of one organisation."""

import heapq

from . import _base

#: A request is urgent if it must start within this time, in seconds.
URGENT_SLACK_S = 1.0


class ClassOrder:
    """Serves lower classes first, except that urgent requests go first.

    Within a class, requests are ordered by latest start. A request of a higher
    class is promoted when it becomes urgent, unless the next request in class
    order is urgent too.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, _base.QueuedRequest] = {}
        self._by_class: list[tuple[int, float, int, str]] = []
        self._by_start: list[tuple[float, int, int, str]] = []
        self._class_costs: dict[int, float] = {}
        self._push_count = 0

    def push(self, item: _base.QueuedRequest) -> None:
        """Add a request."""
        self._push_count += 1
        number = self._push_count
        start_s = item.latest_start_s
        request_class = item.request_class
        self._waiting[item.key] = item
        heapq.heappush(
            self._by_class, (request_class, start_s, number, item.key)
        )
        heapq.heappush(
            self._by_start, (start_s, request_class, number, item.key)
        )
        cost = self._class_costs.get(request_class, 0.0)
        self._class_costs[request_class] = cost + item.cost

    def pop(self, now_s: float) -> _base.QueuedRequest:
        """Remove and return the next request; the queue must not be empty."""
        return self._remove(self._next_key(now_s))

    def allows(self, highest_class: float, now_s: float) -> bool:
        """Return whether the next request is urgent or of an allowed class."""
        key = self._next_key(now_s)
        item = self._waiting[key]
        if item.request_class <= highest_class:
            return True
        return item.latest_start_s <= now_s + URGENT_SLACK_S

    def pop_last(self) -> _base.QueuedRequest:
        """Remove and return the newest request of the highest class."""
        highest_class = max(
            item.request_class for item in self._waiting.values()
        )
        key = next(
            key
            for key, item in reversed(self._waiting.items())
            if item.request_class == highest_class
        )
        return self._remove(key)

    def get(self, key: str) -> _base.QueuedRequest | None:
        """Return a waiting request."""
        return self._waiting.get(key)

    def remove(self, key: str) -> _base.QueuedRequest | None:
        """Remove and return a request if it is still waiting."""
        return self._remove(key) if key in self._waiting else None

    def cost_up_to(self, request_class: int) -> float:
        """Return the cost of waiting requests up to a class."""
        return sum(
            cost
            for other, cost in self._class_costs.items()
            if other <= request_class
        )

    @property
    def cost(self) -> float:
        """Return the cost of all waiting requests."""
        return sum(self._class_costs.values())

    def __len__(self) -> int:
        return len(self._waiting)

    def _next_key(self, now_s: float) -> str:
        while self._by_class[0][3] not in self._waiting:
            heapq.heappop(self._by_class)
        while self._by_start[0][3] not in self._waiting:
            heapq.heappop(self._by_start)
        urgent_s = now_s + URGENT_SLACK_S
        next_is_urgent = self._by_class[0][1] <= urgent_s
        other_is_urgent = self._by_start[0][0] <= urgent_s
        if other_is_urgent and not next_is_urgent:
            return self._by_start[0][3]
        return self._by_class[0][3]

    def _remove(self, key: str) -> _base.QueuedRequest:
        item = self._waiting.pop(key)
        self._class_costs[item.request_class] -= item.cost
        if not self._waiting:
            self._class_costs.clear()
            self._by_class.clear()
            self._by_start.clear()
        return item

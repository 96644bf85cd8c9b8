"""A first-come, first-served queue."""

import heapq

from . import _base


@_base.QUEUES.register("first_come")
class FirstCome:
    """Serves requests in order of arrival."""

    def __init__(self) -> None:
        self._waiting: dict[str, _base.QueuedRequest] = {}
        self._by_latest_start: list[tuple[float, str]] = []

    def push(self, item: _base.QueuedRequest, now_s: float) -> None:
        """Append a request."""
        self._waiting[item.key] = item
        heapq.heappush(self._by_latest_start, (item.latest_start_s, item.key))

    def pop(
        self, now_s: float, slots: int | None = None
    ) -> _base.QueuedRequest | None:
        """Remove and return the oldest request."""
        for key in self._waiting:
            return self._waiting.pop(key)
        return None

    def remove(self, key: str) -> _base.QueuedRequest | None:
        """Remove and return a request if it is still waiting."""
        return self._waiting.pop(key, None)

    def pop_expired(self, now_s: float) -> list[_base.QueuedRequest]:
        """Remove and return requests that will miss their deadline."""
        late = []
        while self._by_latest_start and self._by_latest_start[0][0] < now_s:
            _, key = heapq.heappop(self._by_latest_start)
            item = self._waiting.pop(key, None)
            if item is not None:
                late.append(item)
        return late

    def pop_overflow(
        self, limit: int, now_s: float
    ) -> list[_base.QueuedRequest]:
        """Remove and return the newest requests."""
        shed = []
        while len(self._waiting) > limit:
            shed.append(self._waiting.popitem()[1])
        return shed

    def wait_s(self, item: _base.QueuedRequest, now_s: float) -> float:
        """Return zero, as waits are not estimated."""
        return 0.0

    def record_end(
        self, item: _base.QueuedRequest, actual_cost: float
    ) -> None:
        """Ignore the cost."""

    def __len__(self) -> int:
        return len(self._waiting)

"""First come, first served."""

import heapq

from . import _base


@_base.QUEUES.register("first_come")
class FirstCome:
    """Serves requests in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: dict[str, _base.QueuedRequest] = {}
        self._by_deadline: list[tuple[float, str]] = []

    def push(self, item: _base.QueuedRequest, now_s: float) -> None:
        """Add a request at the end."""
        self._waiting[item.key] = item
        heapq.heappush(self._by_deadline, (item.latest_start_s, item.key))

    def pop(
        self, now_s: float, slots: int | None = None
    ) -> _base.QueuedRequest | None:
        """Remove and return the request that came first."""
        for key in self._waiting:
            return self._waiting.pop(key)
        return None

    def remove(self, key: str) -> _base.QueuedRequest | None:
        """Remove a request that still waits."""
        return self._waiting.pop(key, None)

    def expired(self, now_s: float) -> list[_base.QueuedRequest]:
        """Remove and return requests that can no longer end in time."""
        late = []
        while self._by_deadline and self._by_deadline[0][0] < now_s:
            _, key = heapq.heappop(self._by_deadline)
            item = self._waiting.pop(key, None)
            if item is not None:
                late.append(item)
        return late

    def overflow(self, limit: int, now_s: float) -> list[_base.QueuedRequest]:
        """Remove and return the newest requests."""
        shed = []
        while len(self._waiting) > limit:
            shed.append(self._waiting.popitem()[1])
        return shed

    def wait_s(self, item: _base.QueuedRequest, now_s: float) -> float:
        """Foresee no wait."""
        return 0.0

    def ended(self, item: _base.QueuedRequest, actual_cost: float) -> None:
        """Keep no accounts."""

    def __len__(self) -> int:
        return len(self._waiting)

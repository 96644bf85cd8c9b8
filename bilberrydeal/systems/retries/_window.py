"""Extra sends to a service within a share of its requests."""

import collections

import attrs

#: Part of the common budget that all processes use together; the rest is
#: for sends that are under way when shares change.
USED_SHARE = 0.7


@attrs.frozen
class WindowBounds:
    """Bounds of a service's extra sends over all processes."""

    #: Length of the sliding window, in seconds.
    window_s: float
    #: Extra sends for each request.
    ratio: float
    #: Extra sends beside.
    slack: float


@attrs.define
class _Counts:
    requests: collections.deque[float] = attrs.field(factory=collections.deque)
    extra: collections.deque[float] = attrs.field(factory=collections.deque)

    def forget(self, before_s: float) -> None:
        for times in (self.requests, self.extra):
            while times and times[0] < before_s:
                times.popleft()


class WindowBudget:
    """Grants this process's share of the extra sends to each service.

    Example::

        budget.note_request("shop", now_s)
        if budget.has_room("shop", 1, members=4, now_s=now_s):
            budget.spend("shop", now_s)
            ...  # send it to another endpoint
    """

    def __init__(self, bounds: WindowBounds) -> None:
        self.bounds = bounds
        self._services: dict[str, _Counts] = {}

    def note_request(self, service: str, now_s: float) -> None:
        """Note a request that a caller sent for a service."""
        self._counts(service, now_s).requests.append(now_s)

    def has_room(
        self, service: str, sends: int, members: int, now_s: float
    ) -> bool:
        """Return whether so many extra sends may be made now."""
        counts = self._counts(service, now_s)
        allowed = USED_SHARE * (
            self.bounds.ratio * len(counts.requests)
            + self.bounds.slack / max(members, 1)
        )
        return len(counts.extra) + sends <= allowed

    def spend(self, service: str, now_s: float) -> None:
        """Note an extra send."""
        self._counts(service, now_s).extra.append(now_s)

    def refund(self, service: str, now_s: float) -> None:
        """Take back the last extra send: it turned out not to count."""
        extra = self._counts(service, now_s).extra
        if extra:
            extra.pop()

    def _counts(self, service: str, now_s: float) -> _Counts:
        counts = self._services.setdefault(service, _Counts())
        counts.forget(now_s - self.bounds.window_s)
        return counts

"""A budget of extra sends per service over a sliding window."""

import collections

import attrs

#: Fraction of the common budget that all processes use together; the rest
#: covers sends that are in flight while shares change.
USED_FRACTION = 0.7


@attrs.frozen
class WindowLimits:
    """Limits of a service's extra sends across all processes."""

    #: Length of the sliding window, in seconds.
    window_s: float
    #: Extra sends allowed per request.
    ratio: float
    #: Extra sends allowed regardless of the number of requests.
    base_allowance: float


@attrs.define
class _WindowEvents:
    requests: collections.deque[float] = attrs.field(factory=collections.deque)
    extra_sends: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def remove_before(self, before_s: float) -> None:
        for times in (self.requests, self.extra_sends):
            while times and times[0] < before_s:
                times.popleft()


class WindowBudget:
    """Limits extra sends of each service to this process's share.

    Example::

        budget.record_request("shop", now_s)
        if budget.permits("shop", 1, members=4, now_s=now_s):
            budget.spend("shop", now_s)
            ...  # send it to another endpoint
    """

    def __init__(self, limits: WindowLimits) -> None:
        self.limits = limits
        self._services: dict[str, _WindowEvents] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Record a caller's request to a service."""
        self._events(service, now_s).requests.append(now_s)

    def permits(
        self, service: str, sends: int, members: int, now_s: float
    ) -> bool:
        """Return whether the budget permits a number of extra sends now."""
        events = self._events(service, now_s)
        allowed = USED_FRACTION * (
            self.limits.ratio * len(events.requests)
            + self.limits.base_allowance / max(members, 1)
        )
        return len(events.extra_sends) + sends <= allowed

    def spend(self, service: str, now_s: float) -> None:
        """Record an extra send."""
        self._events(service, now_s).extra_sends.append(now_s)

    def refund(self, service: str, now_s: float) -> None:
        """Refund the last extra send, which turned out not to count."""
        extra_sends = self._events(service, now_s).extra_sends
        if extra_sends:
            extra_sends.pop()

    def _events(self, service: str, now_s: float) -> _WindowEvents:
        events = self._services.setdefault(service, _WindowEvents())
        events.remove_before(now_s - self.limits.window_s)
        return events

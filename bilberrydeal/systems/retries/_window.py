"""A budget of extra sends per service over a sliding window."""

import collections
import math

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
    #: Extra sends that are reserved and not yet sent.
    reserved: int = 0

    def remove_before(self, before_s: float) -> None:
        for times in (self.requests, self.extra_sends):
            while times and times[0] < before_s:
                times.popleft()


@attrs.frozen
class BudgetUse:
    """How much of a service's share is used now."""

    #: Requests in the window.
    requests: int
    #: Extra sends in the window.
    sent: int
    #: Extra sends that are reserved and not yet sent.
    reserved: int
    #: Extra sends that are allowed in all.
    allowed: float


class WindowBudget:
    """Limits extra sends of each service to this process's share.

    Sends are reserved before they are made, so that requests that fail
    together cannot all use what is left. A process has no part of the base
    allowance until it has run for a whole window, since the sends of the
    process that it replaces may still be in the window.

    Example::

        budget.record_request("shop", now_s)
        if budget.reserve("shop", 1, members=4, now_s=now_s):
            ...  # send it to another endpoint
            budget.release("shop", 1)
            budget.spend("shop", now_s)
    """

    def __init__(
        self, limits: WindowLimits, started_s: float = -math.inf
    ) -> None:
        self.limits = limits
        self._started_s = started_s
        self._services: dict[str, _WindowEvents] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Record a caller's request to a service."""
        self._events(service, now_s).requests.append(now_s)

    def permits(
        self, service: str, sends: int, members: int, now_s: float
    ) -> bool:
        """Return whether the budget permits a number of extra sends now."""
        used = self.use(service, members, now_s)
        return used.sent + used.reserved + sends <= used.allowed

    def use(self, service: str, members: int, now_s: float) -> BudgetUse:
        """Return how much of this process's share is used now."""
        events = self._events(service, now_s)
        allowed = self.limits.ratio * len(events.requests)
        if now_s - self._started_s >= self.limits.window_s:
            allowed += self.limits.base_allowance / max(members, 1)
        return BudgetUse(
            requests=len(events.requests),
            sent=len(events.extra_sends),
            reserved=events.reserved,
            allowed=USED_FRACTION * allowed,
        )

    def reserve(
        self, service: str, sends: int, members: int, now_s: float
    ) -> bool:
        """Reserve extra sends; return whether the budget permits them."""
        if not self.permits(service, sends, members, now_s):
            return False
        self._events(service, now_s).reserved += sends
        return True

    def release(self, service: str, sends: int) -> None:
        """Return reserved sends that are made now or will not be made."""
        self._services[service].reserved -= sends

    def spend(self, service: str, now_s: float) -> None:
        """Record an extra send."""
        self._events(service, now_s).extra_sends.append(now_s)

    def _events(self, service: str, now_s: float) -> _WindowEvents:
        events = self._services.setdefault(service, _WindowEvents())
        events.remove_before(now_s - self.limits.window_s)
        return events

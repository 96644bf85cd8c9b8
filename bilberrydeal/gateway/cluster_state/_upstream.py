"""An endpoint as a gateway uses it."""

import attrs

from ... import catalogue
from ... import http1
from ... import systems
from ...systems import pacing
from ...systems import placement
from . import _endpoint_limit

#: First pause after a rejection, in seconds; doubles with each.
REJECTED_PAUSE_FIRST_S = 0.1
#: Longest such pause, in seconds.
REJECTED_PAUSE_LIMIT_S = 0.8
#: Share of its usual time that a role change is assumed to need once it is
#: overdue: the engine finishes its requests before.
OVERDUE_CHANGE_SHARE = 1 / 6


@attrs.define(eq=False)
class Upstream:
    """An endpoint with its connection pool, circuit and load."""

    #: The endpoint as it registered itself.
    endpoint: catalogue.Endpoint
    #: Connections to it.
    pool: http1.Pool
    #: Circuit state, set by the health system.
    view: systems.EndpointView
    #: Its load, ``None`` for a plain service.
    load: placement.EngineLoad | None
    #: The request limit that it names.
    limit: _endpoint_limit.EndpointLimit
    #: Whether another endpoint responded at its address.
    misdirected: bool = False

    #: Whether the last send to it failed.
    failed: bool = False
    #: Consecutive immediate rejections.
    rejections: int = 0
    #: No request is sent to it before this time, monotonic seconds.
    paused_until_s: float = 0.0
    #: When a role change was announced first, monotonic seconds.
    changing_since_s: float = 0.0
    #: End of an announced role change, monotonic seconds.
    changing_until_s: float = 0.0
    #: When it was announced last, monotonic seconds.
    change_announced_s: float = 0.0
    #: Whether the change that was announced last is known to be complete.
    change_complete: bool = False
    #: Pause for which the endpoint has asked.
    pause: pacing.RequestedPause = attrs.field(factory=pacing.RequestedPause)

    def changing_role(self, now_s: float) -> bool:
        """Return whether it is changing its role."""
        return now_s < self.changing_until_s

    def note_role_change(self, now_s: float, until_s: float) -> None:
        """Record an announcement that it is changing its role.

        The one who repeats it may learn later that the change is complete.
        """
        repeated = now_s - self.change_announced_s <= until_s - now_s
        self.change_announced_s = now_s
        if repeated and self.change_complete:
            return
        self.change_complete = False
        if not self.changing_role(now_s):
            self.changing_since_s = now_s
        self.changing_until_s = until_s

    def note_role_changed(self) -> None:
        """Record that its entry names another role than before."""
        self.changing_until_s = 0.0
        self.change_complete = True

    def decodes_in_s(self, switch_s: float, now_s: float) -> float:
        """Return the time until an engine that prefills may decode.

        A change that is not under way takes ``switch_s`` from now on.
        """
        if not self.changing_role(now_s):
            return switch_s
        left_s = self.changing_since_s + switch_s - now_s
        return max(left_s, switch_s * OVERDUE_CHANGE_SHARE)

    def usable(self, now_s: float) -> bool:
        """Return whether requests may be sent to it."""
        return (
            self.endpoint.ready
            and not self.misdirected
            and self.view.available
            and not self.pool.exhausted
            and now_s >= self.paused_until_s
            and self.pause.permits(self.pool.busy, now_s)
            and not self.limit.share.wait_s(now_s)
            and not self.changing_role(now_s)
        )

    @property
    def decodes(self) -> bool:
        """Return whether it is an engine that may run streams."""
        return (
            self.load is not None
            and self.endpoint.ready
            and not self.misdirected
            and not self.load.prefill_only
        )

    def has_version(self, software_version: str | None) -> bool:
        """Return whether it may continue a stream of a software version.

        ``None`` stands for a stream that no engine has begun.
        """
        return software_version in (None, self.endpoint.software_version)

    def wait_s(self, now_s: float) -> float:
        """Return the time until it ends its pause and its limit permits."""
        return max(self.pause.left_s(now_s), self.limit.share.wait_s(now_s))

    def note_rejection(self, now_s: float) -> None:
        """Pause sends after an immediate rejection: it is full or busy."""
        self.rejections += 1
        pause_s = REJECTED_PAUSE_FIRST_S * 2.0 ** (self.rejections - 1)
        self.paused_until_s = now_s + min(pause_s, REJECTED_PAUSE_LIMIT_S)

    def note_acceptance(self, now_s: float) -> None:
        """Reset the rejection count after an accepted request."""
        self.rejections = 0
        self.pause.accepted(now_s)

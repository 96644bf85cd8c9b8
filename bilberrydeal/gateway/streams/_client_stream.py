"""The response to a caller that engines stream."""

import attrs

from ... import http1
from .. import core
from . import _continuation
from . import _events

#: Time without an event after which a prefill may move to another engine, in
#: seconds, and as a multiple of the longest gap that callers accept.
MIN_STALL_S = 0.5
STALL_GAPS = 3.5
#: Share of the time without an event until callers give up that is left for
#: another engine to go on. A run moves only then: a sound engine may be silent
#: for a while, works on, and doesn't see that its connection was closed.
RESUME_SHARE = 0.25


@attrs.define
class ClientStream:
    """The response to a caller, which several engines may produce."""

    admitted: core.AdmittedRequest
    progress: core.RequestProgress
    responder: http1.Responder
    splitter: _events.EventSplitter
    #: When the last event was sent, or else when the request began, monotonic
    #: seconds.
    progressed_s: float
    #: Set on a stream that continues the one of a silent engine.
    continues: _continuation.Continuation | None = None
    #: Attempt of another engine to continue this stream.
    continuation: _continuation.Continuation | None = None
    #: Whether a prefill was abandoned since it would have been late.
    too_late: bool = False
    #: Whether what began it is remembered for callers that resume it.
    origin_noted: bool = False

    def take_over(self) -> None:
        """End the run of a silent engine whose stream this one continues."""
        if self.continues is not None:
            self.continues.take_over()

    @property
    def event_deadline_s(self) -> float:
        """Return when the caller no longer waits for the next event."""
        limit_s = self.progressed_s + self.admitted.route.stall_limit_s
        return min(limit_s, self.admitted.deadline_s)

    @property
    def prefill_stall_s(self) -> float:
        """Return the time after which a prefill may move: it runs nothing."""
        return max(MIN_STALL_S, STALL_GAPS * self.admitted.route.target_gap_s)

    @property
    def stall_s(self) -> float:
        """Return the time without an event after which a run may move."""
        limit_s = self.admitted.route.stall_limit_s * (1.0 - RESUME_SHARE)
        return max(self.prefill_stall_s, limit_s)

    @property
    def retry_allowed(self) -> bool:
        """Return whether the route allows a retry after this send."""
        route = self.admitted.route
        attempts = self.progress.attempts + 1
        return route.idempotent and attempts < route.max_attempts

    @property
    def may_prefill(self) -> bool:
        """Return whether a prefill leaves an attempt to run the request.

        Only the first prefill that an engine may have accepted is not counted.
        """
        if not self.progress.lost_prefills:
            return True
        attempts = self.progress.attempts + 1
        return attempts < self.admitted.route.max_attempts

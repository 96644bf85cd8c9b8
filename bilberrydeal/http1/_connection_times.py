"""Decides which timeouts of a caller's connection are over."""

import enum

import attrs

from . import _limits
from . import _request_reader

#: Time for which a caller may read the response to a rejected request while
#: it still sends, in seconds.
LINGER_S = 0.5

_Stage = _request_reader.Stage


class Due(enum.Enum):
    """How a connection ends whose timeout is over."""

    #: With a response of status 408.
    REJECTION = "rejection"
    #: Without a response.
    CLOSE = "close"


@attrs.define
class ConnectionTimes:
    """Since when a connection waits for what, in monotonic seconds.

    Example::

        times = ConnectionTimes(last_data_s=now_s)
        due = times.while_reading(stage, stage_started_s, limits, now_s)
    """

    #: When bytes were last received.
    last_data_s: float
    #: Idle timeout in the last response, in seconds; 0 before the first.
    announced_idle_s: int = 0
    #: When it was closed, or the caller last read something after that.
    closed_s: float | None = None
    #: Whether received bytes are dropped until the caller closes.
    lingering: bool = False

    def close(self, now_s: float) -> None:
        """Record that it was closed, unless it was before."""
        if self.closed_s is None:
            self.closed_s = now_s

    def linger(self, now_s: float) -> None:
        """Record that nothing more is sent and received bytes are dropped."""
        self.closed_s = now_s
        self.lingering = True

    def end_linger(self, now_s: float) -> bool:
        """Return once whether the caller had its time to read on."""
        if (
            not self.lingering
            or self.closed_s is None
            or now_s - self.closed_s <= LINGER_S
        ):
            return False
        self.lingering = False
        return True

    def while_reading(
        self,
        stage: _request_reader.Stage,
        stage_started_s: float,
        limits: _limits.ServerLimits,
        now_s: float,
    ) -> Due | None:
        """Return how a connection on which no request is served has to end.

        ``None`` means that it may go on.
        """
        since_s = now_s - stage_started_s
        if stage is _Stage.HEAD:
            late = since_s > limits.header_timeout_s
            return Due.REJECTION if late else None
        if stage is _Stage.BODY:
            late = now_s - self.last_data_s > limits.idle_timeout_s
            return Due.REJECTION if late else None
        late = since_s > self._idle_limit_s(limits)
        return Due.CLOSE if late else None

    def is_unread_too_long(
        self, reads: bool, limits: _limits.ServerLimits, now_s: float
    ) -> bool:
        """Return whether the caller reads no more of the last responses.

        ``reads`` tells whether it has read more of them since the last call.
        """
        if self.closed_s is None:
            return False
        if reads:
            self.closed_s = now_s
        return now_s - self.closed_s > limits.idle_timeout_s

    def _idle_limit_s(self, limits: _limits.ServerLimits) -> float:
        """Return how long the connection may be idle.

        A timeout that has become shorter applies from the next response on:
        until then the caller relies on the one that it was told.
        """
        return max(limits.idle_timeout_s, self.announced_idle_s)

"""Schedules heartbeats on a link and detects when its peer has failed.

The entry sends heartbeats and the agent echoes each one at once. Any other
frame from the agent also shows that it is alive, so heartbeats are rare on
a link that carries answers, and on one without requests. The agent only
detects that its entry has failed.
"""

import collections.abc
import math

from .. import settings
from . import _messages

MS_PER_S = 1000
#: Fraction of the silence timeout after which a busy link without incoming
#: frames sends a heartbeat. The echo has the rest of the timeout.
QUIET_FRACTION = 1 / 3
#: Heartbeat numbers wrap around to 1 after this one, to fit in one byte.
MAX_HEARTBEAT_NUMBER = 100


class LivenessMonitor:
    """Tracks whether the peer at the other end of a link is alive."""

    def __init__(
        self, link_settings: settings.LinkSettings, now_s: float
    ) -> None:
        self._timeout_s = link_settings.silent_bound_s
        #: When the last frame was received.
        self.received_at_s = now_s
        #: Whether a heartbeat or its echo has been received.
        self.established = False
        #: Whether only heartbeats may be sent for now.
        self.paused = False

    def frame_received(self, now_s: float) -> None:
        """Record the arrival of a frame."""
        self.received_at_s = now_s

    def message_received(
        self, message: _messages.Message
    ) -> _messages.Message | None:
        """Process a message and return the immediate reply, if any."""
        return None

    def request_heartbeat(self) -> None:
        """Schedule a heartbeat soon, to detect the loss of what was sent."""

    def pause_if_idle(self, now_s: float) -> None:
        """Pause sending unless the peer is known to be alive."""

    def timed_out(self, now_s: float) -> bool:
        """Return whether the peer is considered dead."""
        raise NotImplementedError

    def time_to_check_s(self, now_s: float) -> float:
        """Return the time until the next liveness check."""
        raise NotImplementedError

    def due_heartbeat(self, now_s: float) -> _messages.Heartbeat | None:
        """Return the heartbeat to send now, if one is due."""
        return None


class HeartbeatSender(LivenessMonitor):
    """The entry's monitor; sends one heartbeat at a time.

    On a busy link, the last sign of life is at most ``silent_bound_s`` old:
    a heartbeat is sent after a third of that without a frame, and its echo
    may take the other two thirds. An idle link sends a heartbeat every
    ``idle_heartbeat_s``, and one more before a new request is sent: see
    :meth:`pause_if_idle`.
    """

    def __init__(
        self,
        link_settings: settings.LinkSettings,
        busy: collections.abc.Callable[[], bool],
        now_s: float,
    ) -> None:
        """``busy`` returns whether any answer is outstanding."""
        super().__init__(link_settings, now_s)
        self._busy = busy
        self._idle_interval_s = link_settings.idle_heartbeat_s
        self._quiet_interval_s = self._timeout_s * QUIET_FRACTION
        self._echo_timeout_s = self._timeout_s - self._quiet_interval_s
        self._heartbeat_number = 0
        self._sent_at_s = -math.inf
        self._echo_pending = False
        self._heartbeat_requested = False

    def message_received(self, message: _messages.Message) -> None:
        """Match an echo with the outstanding heartbeat."""
        if not isinstance(message, _messages.Echo) or not self._echo_pending:
            return
        if message.beat == self._heartbeat_number:
            self._echo_pending = False
            self.paused = False
            self.established = True

    def request_heartbeat(self) -> None:
        """Send the next heartbeat soon."""
        self._heartbeat_requested = True

    def pause_if_idle(self, now_s: float) -> None:
        """Pause until an echo arrives, unless a frame arrived recently."""
        if now_s - self.received_at_s > self._timeout_s:
            self.paused = True

    def timed_out(self, now_s: float) -> bool:
        """Return whether an echo is overdue."""
        return (
            self._echo_pending
            and now_s - self._sent_at_s > self._echo_timeout_s
        )

    def time_to_check_s(self, now_s: float) -> float:
        """Return the time until a heartbeat or an echo is due."""
        return max(0.0, self._next_check_at_s() - now_s)

    def due_heartbeat(self, now_s: float) -> _messages.Heartbeat | None:
        """Return the heartbeat to send now, if one is due."""
        if self._echo_pending or now_s < self._next_check_at_s():
            return None
        self._heartbeat_number = (
            self._heartbeat_number % MAX_HEARTBEAT_NUMBER + 1
        )
        self._sent_at_s = now_s
        self._echo_pending = True
        self._heartbeat_requested = False
        next_s = self._timeout_s if self._busy() else self._idle_interval_s
        return _messages.Heartbeat(
            self._heartbeat_number, math.ceil(next_s * MS_PER_S)
        )

    def _next_check_at_s(self) -> float:
        if self._echo_pending:
            return self._sent_at_s + self._echo_timeout_s
        if self.paused:
            return self._sent_at_s
        if self._heartbeat_requested:
            return self._sent_at_s + self._quiet_interval_s
        if self._busy():
            quiet_s = self.received_at_s + self._quiet_interval_s
            return min(quiet_s, self._sent_at_s + self._timeout_s)
        return self._sent_at_s + self._idle_interval_s


class HeartbeatReceiver(LivenessMonitor):
    """The agent's monitor; expects the heartbeats that the entry announces.

    A timeout only releases the resources of a dead entry, so the monitor
    waits ``silent_bound_s`` past the time of the announced heartbeat.
    """

    def __init__(
        self, link_settings: settings.LinkSettings, now_s: float
    ) -> None:
        super().__init__(link_settings, now_s)
        self._announced_interval_s = 0.0

    def message_received(
        self, message: _messages.Message
    ) -> _messages.Message | None:
        """Return the echo of a heartbeat."""
        if not isinstance(message, _messages.Heartbeat):
            return None
        self.established = True
        self._announced_interval_s = message.next_ms / MS_PER_S
        return _messages.Echo(message.beat)

    def timed_out(self, now_s: float) -> bool:
        """Return whether the entry has been silent for too long."""
        return now_s > self._timeout_at_s()

    def time_to_check_s(self, now_s: float) -> float:
        """Return the time until the entry times out."""
        return max(0.0, self._timeout_at_s() - now_s)

    def _timeout_at_s(self) -> float:
        return (
            self.received_at_s + self._announced_interval_s + self._timeout_s
        )

"""Decides when a link proves that it lives, and when it is dead.

The entry asks and judges: it sends a heartbeat, and the agent echoes it at
once. A frame that brings work proves as much as an echo does, so heartbeats
are seldom on a link that carries answers, and on one without work. What an
agent decides itself is only when its entry is gone.
"""

import collections.abc
import math

from .. import settings
from . import _messages

MS_PER_S = 1000
#: A link with work from which nothing came for this part of the silent bound
#: is asked. The echo has the rest of the bound.
QUIET_PART = 1 / 3
#: Heartbeats are numbered up to here and then from 1 again; one byte each.
BEATS = 100


class Pulse:
    """What one end of a link knows of the other's life."""

    def __init__(
        self, link_settings: settings.LinkSettings, now_s: float
    ) -> None:
        self._bound_s = link_settings.silent_bound_s
        #: When the last frame came.
        self.received_at_s = now_s
        #: Whether the other end has proved that it is there.
        self.established = False
        #: Whether nothing but heartbeats may be sent now.
        self.holding = False

    def received(self, now_s: float) -> None:
        """Note that a frame came."""
        self.received_at_s = now_s

    def took(self, message: _messages.Message) -> _messages.Message | None:
        """Take a message; return what has to be answered at once."""
        return None

    def urgent(self) -> None:
        """Note that something was sent that must not be lost unseen."""

    def prove(self, now_s: float) -> None:
        """Hold work back if it is not certain that the other end lives."""

    def silent(self, now_s: float) -> bool:
        """Whether the link is dead."""
        raise NotImplementedError

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next look at the link."""
        raise NotImplementedError

    def beat(self, now_s: float) -> _messages.Heartbeat | None:
        """Return the heartbeat that is due, if one is."""
        return None


class Asker(Pulse):
    """The end of the entry; one heartbeat at a time waits for its echo.

    With work on the link the sign of life is at most ``silent_bound_s`` old:
    a quiet link is asked after a third, and an echo may take two thirds. A
    link without work is asked each ``idle_heartbeat_s``, and once more
    before new work is sent: see :meth:`prove`.
    """

    def __init__(
        self,
        link_settings: settings.LinkSettings,
        busy: collections.abc.Callable[[], bool],
        now_s: float,
    ) -> None:
        """``busy`` tells whether an answer is awaited."""
        super().__init__(link_settings, now_s)
        self._busy = busy
        self._idle_s = link_settings.idle_heartbeat_s
        self._quiet_s = self._bound_s * QUIET_PART
        self._answer_s = self._bound_s - self._quiet_s
        self._number = 0
        self._beat_at_s = -math.inf
        self._waiting = False
        self._risk = False

    def took(self, message: _messages.Message) -> None:
        """Take an echo."""
        if not isinstance(message, _messages.Echo) or not self._waiting:
            return
        if message.beat == self._number:
            self._waiting = False
            self.holding = False
            self.established = True

    def urgent(self) -> None:
        """Let the next heartbeat be sent soon."""
        self._risk = True

    def prove(self, now_s: float) -> None:
        """Hold work back until an echo comes, unless a frame came lately."""
        if now_s - self.received_at_s > self._bound_s:
            self.holding = True

    def silent(self, now_s: float) -> bool:
        """Whether an echo is overdue."""
        return self._waiting and now_s - self._beat_at_s > self._answer_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until a heartbeat or an echo is due."""
        return max(0.0, self._due_s() - now_s)

    def beat(self, now_s: float) -> _messages.Heartbeat | None:
        """Return the heartbeat that is due, if one is."""
        if self._waiting or now_s < self._due_s():
            return None
        self._number = self._number % BEATS + 1
        self._beat_at_s = now_s
        self._waiting = True
        self._risk = False
        next_s = self._bound_s if self._busy() else self._idle_s
        return _messages.Heartbeat(self._number, math.ceil(next_s * MS_PER_S))

    def _due_s(self) -> float:
        if self._waiting:
            return self._beat_at_s + self._answer_s
        if self.holding:
            return self._beat_at_s
        if self._risk:
            return self._beat_at_s + self._quiet_s
        if self._busy():
            quiet_s = self.received_at_s + self._quiet_s
            return min(quiet_s, self._beat_at_s + self._bound_s)
        return self._beat_at_s + self._idle_s


class Echoer(Pulse):
    """The end of the agent; waits for what the entry said that it will send.

    It only frees what a dead entry holds, so it waits for ``silent_bound_s``
    beyond the time that the entry named.
    """

    def __init__(
        self, link_settings: settings.LinkSettings, now_s: float
    ) -> None:
        super().__init__(link_settings, now_s)
        self._next_s = 0.0

    def took(self, message: _messages.Message) -> _messages.Message | None:
        """Echo a heartbeat."""
        if not isinstance(message, _messages.Heartbeat):
            return None
        self.established = True
        self._next_s = message.next_ms / MS_PER_S
        return _messages.Echo(message.beat)

    def silent(self, now_s: float) -> bool:
        """Whether the entry said nothing for too long."""
        return now_s > self._dead_at_s()

    def wait_s(self, now_s: float) -> float:
        """Return the time until the entry has been silent for too long."""
        return max(0.0, self._dead_at_s() - now_s)

    def _dead_at_s(self) -> float:
        return self.received_at_s + self._next_s + self._bound_s

"""One connection between an entry and an agent, from dial to end."""

import asyncio
import collections.abc

from .. import settings
from .. import telemetry
from . import _frames
from . import _messages
from . import _pulse
from . import _transport

LOG = telemetry.logger("link")

#: Messages in one frame at most, so that one frame never blocks a link.
FRAME_MESSAGES = 512
#: A frame with so many bytes of bodies takes no further message.
FRAME_BYTES = 256 * 1024
#: Messages that wait for one peer at most, of any kind. New requests are
#: refused long before; what else waits is bounded by the requests in flight
#: and their unacknowledged parts, all of which a resume may send at once.
HARD_LIMIT = 100_000
#: A look at the pulse is so much later than due, so that the difference of
#: two clocks never makes it come a moment too early.
LOOK_SLACK_S = 0.001
#: Bytes of request bodies that wait for one peer at most.
OUTBOX_BYTES = 16 * 1024 * 1024


class Session:
    """Sends and receives messages over one pair socket.

    Everything that is ready goes into one frame a flush, because a call of
    the transport costs far more than a message. A message that is urgent is
    flushed at once, any other within ``flush_delay_s``. The session ends
    when a send takes too long, when its pulse finds it silent, or when the
    connection is cut; it never re-dials: the two ends build a new one and
    resume their requests.
    """

    def __init__(
        self,
        socket: _transport.PairSocket,
        link_settings: settings.LinkSettings,
        clock: collections.abc.Callable[[], float],
        handle: collections.abc.Callable[[_messages.Message], None],
        pulse: _pulse.Pulse,
    ) -> None:
        self._socket = socket
        self._settings = link_settings
        self._clock = clock
        self._handle = handle
        self._pulse = pulse
        self._loop = asyncio.get_running_loop()
        self._signs: collections.deque[_messages.Message] = collections.deque()
        self._outbox: collections.deque[_messages.Message] = (
            collections.deque()
        )
        self._wake = asyncio.Event()
        self._flush_timer: asyncio.TimerHandle | None = None
        self._look_timer: asyncio.TimerHandle | None = None
        #: Bytes of request bodies that wait.
        self.waiting_bytes = 0
        #: Whether it is over; nothing is sent or handled any more.
        self.closed = False

    @property
    def established(self) -> bool:
        """Whether the other end has proved that it is there."""
        return self._pulse.established

    @property
    def holding(self) -> bool:
        """Whether what is sent waits until the other end has answered."""
        return self._pulse.holding

    @property
    def waiting(self) -> int:
        """Messages that wait to be sent."""
        return len(self._outbox)

    def has_room(self, size_bytes: int = 0) -> bool:
        """Whether one more request may wait."""
        return (
            len(self._outbox) < self._settings.outbox_limit
            and self.waiting_bytes + size_bytes <= OUTBOX_BYTES
        )

    def send(self, message: _messages.Message, urgent: bool = False) -> None:
        """Queue a message; an overfull outbox ends the session."""
        if self.closed:
            return
        if len(self._outbox) >= HARD_LIMIT:
            self.close()
            return
        self._outbox.append(message)
        if isinstance(message, _messages.Submit):
            self.waiting_bytes += _body_bytes(message)
        if urgent:
            self._wake.set()
            self._pulse.urgent()
            self.look_soon()
        elif self._flush_timer is None:
            self._flush_timer = self._loop.call_later(
                self._settings.flush_delay_s, self._flush
            )

    def alive(self, now_s: float) -> bool:
        """Whether the other end is not known to be silent."""
        return not self.closed and not self._pulse.silent(now_s)

    def look_soon(self) -> None:
        """Look at the pulse anew: something has changed."""
        self._plan(self._pulse.wait_s(self._clock()))

    def prove(self, now_s: float) -> None:
        """Hold work back until an echo comes, if the link was idle."""
        self._pulse.prove(now_s)

    def check(self) -> None:
        """Let a heartbeat be sent soon."""
        self._pulse.urgent()
        self.look_soon()

    async def run(self) -> None:
        """Carry messages until the session ends."""
        tasks = [
            asyncio.create_task(self._until_closed(step))
            for step in (self._read, self._write)
        ]
        self._look()
        try:
            await self._socket.ended.wait()
        finally:
            self.close()
            await asyncio.wait(tasks)

    def close(self) -> None:
        """End the session; what waits is not sent."""
        if self.closed:
            return
        self.closed = True
        self._outbox.clear()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._look_timer is not None:
            self._look_timer.cancel()
        self._wake.set()
        self._socket.close()

    async def _until_closed(
        self,
        step: collections.abc.Callable[
            [], collections.abc.Coroutine[object, object, None]
        ],
    ) -> None:
        """Repeat a step; a fault in it ends the session, not the process."""
        try:
            while not self.closed:
                await step()
        except (ConnectionError, _frames.FrameInvalid):
            pass  # The connection was cut, or the peer is broken.
        except Exception:
            LOG.exception("Session failed.")
        finally:
            self.close()

    def _flush(self) -> None:
        self._flush_timer = None
        self._wake.set()

    async def _write(self) -> None:
        await self._wake.wait()
        self._wake.clear()
        await self._drain()

    async def _drain(self) -> None:
        while not self.closed and (batch := self._batch()):
            await self._socket.send(_frames.encode_frame(batch))

    def _batch(self) -> list[_messages.Message]:
        """Take the messages of the next frame; none if nothing may go."""
        batch: list[_messages.Message] = []
        size_bytes = 0
        while self._outbox and len(batch) < FRAME_MESSAGES:
            if self.holding:
                break
            if size_bytes >= FRAME_BYTES:
                break
            message = self._outbox.popleft()
            batch.append(message)
            size_bytes += _body_bytes(message)
            if isinstance(message, _messages.Submit):
                self.waiting_bytes -= _body_bytes(message)
        batch.extend(self._signs)
        self._signs.clear()
        return batch

    async def _read(self) -> None:
        messages = _frames.decode_frame(await self._socket.receive())
        self._pulse.received(self._clock())
        for message in messages:
            self._dispatch(message)

    def _dispatch(self, message: _messages.Message) -> None:
        if self.closed:
            return
        held = self.holding
        answer = self._pulse.took(message)
        if answer is not None:
            self._sign(answer)
        if held and not self.holding:
            self._wake.set()
        if isinstance(message, _messages.Echo):
            self.look_soon()
        self._handle(message)

    def _sign(self, message: _messages.Message) -> None:
        """Send a heartbeat or its echo with the next frame."""
        self._signs.append(message)
        self._wake.set()

    def _look(self) -> None:
        """End a silent session; send a heartbeat that is due."""
        now_s = self._clock()
        self._look_timer = None
        if not self.alive(now_s):
            self.close()
            return
        beat = self._pulse.beat(now_s)
        if beat is not None:
            self._sign(beat)
        self._plan(self._pulse.wait_s(now_s))

    def _plan(self, wait_s: float) -> None:
        """Look at the pulse after a time, or sooner if that is planned."""
        if self.closed:
            return
        at_s = self._loop.time() + wait_s + LOOK_SLACK_S
        if self._look_timer is not None:
            if self._look_timer.when() <= at_s:
                return
            self._look_timer.cancel()
        self._look_timer = self._loop.call_at(at_s, self._look)


def _body_bytes(message: _messages.Message) -> int:
    """Return the size of the part of a message that can be large."""
    if isinstance(message, _messages.Submit):
        return len(message.prompt) + len(message.body)
    if isinstance(message, _messages.Finished):
        return len(message.body)
    return 0

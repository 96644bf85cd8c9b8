"""One connection between an entry and an agent, from dial to end."""

import asyncio
import collections.abc

from .. import settings
from .. import telemetry
from . import _frames
from . import _messages
from . import _transport

LOG = telemetry.logger("link")

#: Messages in one frame at most, so that one frame never blocks a link.
FRAME_MESSAGES = 512
#: A frame with so many bytes of bodies takes no further message.
FRAME_BYTES = 256 * 1024
#: A link that carries nothing beats so many times slower.
IDLE_FACTOR = 2.0
#: Heartbeats that fit into the silent bound at least.
BEATS_IN_BOUND = 3.0
#: Messages that wait for one peer at most, of any kind. New requests are
#: refused long before; what else waits is bounded by the requests in flight
#: and their unacknowledged parts, all of which a resume may send at once.
HARD_LIMIT = 100_000
#: Bytes of request bodies that wait for one peer at most.
OUTBOX_BYTES = 16 * 1024 * 1024


class Session:
    """Sends and receives messages over one pair socket.

    Everything that is ready goes into one frame a flush, because a call of
    the transport costs far more than a message. A message that is urgent is
    flushed at once, any other within ``flush_delay_s``. The session ends
    when a send takes too long, when no frame comes or no heartbeat is
    echoed within ``silent_bound_s``, or when the connection is cut; it
    never re-dials: the two ends build a new one and resume their requests.
    A session that carries nothing else beats slower.
    """

    def __init__(
        self,
        socket: _transport.PairSocket,
        link_settings: settings.LinkSettings,
        clock: collections.abc.Callable[[], float],
        handle: collections.abc.Callable[[_messages.Message], None],
        status: collections.abc.Callable[
            [], _messages.EndpointStatus | None
        ] = lambda: None,
    ) -> None:
        self._socket = socket
        self._settings = link_settings
        self._clock = clock
        self._handle = handle
        self._status = status
        self._loop = asyncio.get_running_loop()
        self._outbox: collections.deque[_messages.Message] = (
            collections.deque()
        )
        self._wake = asyncio.Event()
        self._beat_now = asyncio.Event()
        self._busy = False
        self._flush_timer: asyncio.TimerHandle | None = None
        self._beat = 0
        self._beat_s = link_settings.heartbeat_s
        self._echo = 0
        self._echoed = 0
        now_s = clock()
        self._received_at_s = now_s
        self._echoed_at_s = now_s
        #: Bytes of request bodies that wait.
        self.waiting_bytes = 0
        #: Whether it is over; nothing is sent or handled any more.
        self.closed = False
        #: Whether the other end has sent a heartbeat.
        self.established = False

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
        self._busy = True
        if urgent:
            self._wake.set()
        elif self._flush_timer is None:
            self._flush_timer = self._loop.call_later(
                self._settings.flush_delay_s, self._flush
            )

    def alive(self, now_s: float) -> bool:
        """Whether both directions have worked within the bound."""
        oldest_s = min(self._received_at_s, self._echoed_at_s)
        return not self.closed and (
            now_s - oldest_s <= self._settings.silent_bound_s
        )

    def beat(self) -> None:
        """Send a heartbeat now: the status has changed."""
        self._beat_now.set()

    async def run(self) -> None:
        """Carry messages until the session ends."""
        tasks = [
            asyncio.create_task(self._until_closed(step))
            for step in (self._read, self._write, self._keep_alive)
        ]
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
        self._wake.set()
        self._beat_now.set()
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
        while self._outbox and not self.closed:
            await self._socket.send(_frames.encode_frame(self._batch()))

    def _batch(self) -> list[_messages.Message]:
        """Take the messages of the next frame from the outbox."""
        batch: list[_messages.Message] = []
        size_bytes = 0
        while self._outbox and len(batch) < FRAME_MESSAGES:
            if size_bytes >= FRAME_BYTES:
                break
            message = self._outbox.popleft()
            batch.append(message)
            size_bytes += _body_bytes(message)
            if isinstance(message, _messages.Submit):
                self.waiting_bytes -= _body_bytes(message)
        return batch

    async def _read(self) -> None:
        messages = _frames.decode_frame(await self._socket.receive())
        self._received_at_s = self._clock()
        for message in messages:
            self._dispatch(message)

    def _dispatch(self, message: _messages.Message) -> None:
        if self.closed:
            return
        if isinstance(message, _messages.Heartbeat):
            self._take_heartbeat(message)
        else:
            self._busy = True
        self._handle(message)

    def _take_heartbeat(self, heartbeat: _messages.Heartbeat) -> None:
        self.established = True
        self._echo = heartbeat.beat
        if heartbeat.echo > self._echoed:
            self._echoed = heartbeat.echo
            self._echoed_at_s = self._clock()

    async def _keep_alive(self) -> None:
        if not self.alive(self._clock()):
            self.close()
            return
        self._send_heartbeat()
        await self._pause()

    def _send_heartbeat(self) -> None:
        busy = self._busy
        self._beat += 1
        self.send(
            _messages.Heartbeat(
                beat=self._beat, echo=self._echo, status=self._status()
            ),
            urgent=True,
        )
        self._busy = False
        self._beat_s = self._settings.heartbeat_s
        if not busy:
            longest_s = self._settings.silent_bound_s / BEATS_IN_BOUND
            slow_s = min(IDLE_FACTOR * self._beat_s, longest_s)
            self._beat_s = max(self._beat_s, slow_s)

    async def _pause(self) -> None:
        """Wait for the next heartbeat, or less if that is asked for."""
        try:
            async with asyncio.timeout(self._beat_s):
                await self._beat_now.wait()
        except TimeoutError:
            pass
        self._beat_now.clear()


def _body_bytes(message: _messages.Message) -> int:
    """Return the size of the part of a message that can be large."""
    if isinstance(message, _messages.Submit):
        return len(message.prompt) + len(message.body)
    if isinstance(message, _messages.Finished):
        return len(message.body)
    return 0

"""One connection between an entry and an agent, from dial to close."""

import asyncio
import collections.abc

from .. import settings
from .. import telemetry
from . import _frames
from . import _liveness
from . import _messages
from . import _transport

LOG = telemetry.logger("link")

#: Maximum messages in a frame, so that one frame does not block the link.
FRAME_LIMIT_MESSAGES = 512
#: No more messages are added to a frame once its bodies reach this size.
FRAME_LIMIT_BYTES = 256 * 1024
#: Maximum messages of any kind queued for one peer. New requests are refused
#: at a much lower limit; the other messages are bounded by the requests in
#: flight and their unacknowledged parts, which a resume may send all at once.
OUTBOX_LIMIT_MESSAGES = 100_000
#: Added to the delay of each liveness check, because the event loop and the
#: liveness monitor use different clocks and a check must not run too early.
CHECK_MARGIN_S = 0.001
#: Maximum bytes of request bodies queued for one peer.
OUTBOX_LIMIT_BYTES = 16 * 1024 * 1024


class Session:
    """Sends and receives messages over one pair socket.

    Messages that are ready are batched into one frame per flush, because a
    transport call costs far more than a message. An urgent message is
    flushed at once, any other within ``flush_delay_s``. The session closes
    when a send times out, when the peer is silent for too long, or when the
    connection breaks. It never redials: the two ends open a new session and
    resume their requests on it.
    """

    def __init__(
        self,
        socket: _transport.PairSocket,
        link_settings: settings.LinkSettings,
        clock: collections.abc.Callable[[], float],
        handle: collections.abc.Callable[[_messages.Message], None],
        liveness: _liveness.LivenessMonitor,
    ) -> None:
        self._socket = socket
        self._settings = link_settings
        self._clock = clock
        self._handle = handle
        self._liveness = liveness
        self._loop = asyncio.get_running_loop()
        self._heartbeats: collections.deque[_messages.Message] = (
            collections.deque()
        )
        self._outbox: collections.deque[_messages.Message] = (
            collections.deque()
        )
        self._wake = asyncio.Event()
        self._flush_timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        #: Bytes of request bodies in the outbox.
        self.waiting_bytes = 0
        #: Whether the session has closed; no more messages pass.
        self.closed = False

    @property
    def established(self) -> bool:
        """Whether the peer has sent a heartbeat or an echo."""
        return self._liveness.established

    @property
    def paused(self) -> bool:
        """Whether sending is paused until the peer echoes a heartbeat."""
        return self._liveness.paused

    @property
    def waiting(self) -> int:
        """Number of messages in the outbox."""
        return len(self._outbox)

    def has_room(self, size_bytes: int = 0) -> bool:
        """Return whether the outbox can hold one more request."""
        return (
            len(self._outbox) < self._settings.outbox_limit
            and self.waiting_bytes + size_bytes <= OUTBOX_LIMIT_BYTES
        )

    def send(self, message: _messages.Message, urgent: bool = False) -> None:
        """Queue a message; a full outbox closes the session."""
        if self.closed:
            return
        if len(self._outbox) >= OUTBOX_LIMIT_MESSAGES:
            self.close()
            return
        self._outbox.append(message)
        if isinstance(message, _messages.Submit):
            self.waiting_bytes += _body_size_bytes(message)
        if urgent:
            self._wake.set()
            self._liveness.request_heartbeat()
            self.reschedule_check()
        elif self._flush_timer is None:
            self._flush_timer = self._loop.call_later(
                self._settings.flush_delay_s, self._flush
            )

    def alive(self, now_s: float) -> bool:
        """Return whether the session is open and its peer not silent."""
        return not self.closed and not self._liveness.timed_out(now_s)

    def reschedule_check(self) -> None:
        """Reschedule the liveness check after a change of state."""
        self._schedule_check(self._liveness.time_to_check_s(self._clock()))

    def pause_if_idle(self, now_s: float) -> None:
        """Pause sending until an echo arrives, if the link was idle."""
        self._liveness.pause_if_idle(now_s)

    def request_heartbeat(self) -> None:
        """Send a heartbeat soon."""
        self._liveness.request_heartbeat()
        self.reschedule_check()

    async def run(self) -> None:
        """Send and receive messages until the session closes."""
        tasks = [
            asyncio.create_task(self._repeat_until_closed(step))
            for step in (self._read, self._write)
        ]
        self._check_liveness()
        try:
            await self._socket.ended.wait()
        finally:
            self.close()
            await asyncio.wait(tasks)

    def close(self) -> None:
        """Close the session and drop the messages in the outbox."""
        if self.closed:
            return
        self.closed = True
        self._outbox.clear()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._wake.set()
        self._socket.close()

    async def _repeat_until_closed(
        self,
        step: collections.abc.Callable[
            [], collections.abc.Coroutine[object, object, None]
        ],
    ) -> None:
        """Repeat a step; an exception closes only this session."""
        try:
            while not self.closed:
                await step()
        except (ConnectionError, _frames.FrameInvalid):
            pass  # The connection broke, or the peer sent a bad frame.
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
        while not self.closed and (batch := self._next_batch()):
            await self._socket.send(_frames.encode_frame(batch))

    def _next_batch(self) -> list[_messages.Message]:
        """Remove and return the messages of the next frame, if any."""
        batch: list[_messages.Message] = []
        size_bytes = 0
        while self._outbox and len(batch) < FRAME_LIMIT_MESSAGES:
            if self.paused:
                break
            if size_bytes >= FRAME_LIMIT_BYTES:
                break
            message = self._outbox.popleft()
            batch.append(message)
            size_bytes += _body_size_bytes(message)
            if isinstance(message, _messages.Submit):
                self.waiting_bytes -= _body_size_bytes(message)
        batch.extend(self._heartbeats)
        self._heartbeats.clear()
        return batch

    async def _read(self) -> None:
        messages = _frames.decode_frame(await self._socket.receive())
        self._liveness.frame_received(self._clock())
        for message in messages:
            self._dispatch(message)

    def _dispatch(self, message: _messages.Message) -> None:
        if self.closed:
            return
        was_paused = self.paused
        answer = self._liveness.message_received(message)
        if answer is not None:
            self._send_heartbeat(answer)
        if was_paused and not self.paused:
            self._wake.set()
        if isinstance(message, _messages.Echo):
            self.reschedule_check()
        self._handle(message)

    def _send_heartbeat(self, message: _messages.Message) -> None:
        """Send a heartbeat or an echo with the next frame."""
        self._heartbeats.append(message)
        self._wake.set()

    def _check_liveness(self) -> None:
        """Close a timed-out session; send a heartbeat if one is due."""
        now_s = self._clock()
        self._check_timer = None
        if not self.alive(now_s):
            self.close()
            return
        heartbeat = self._liveness.due_heartbeat(now_s)
        if heartbeat is not None:
            self._send_heartbeat(heartbeat)
        self._schedule_check(self._liveness.time_to_check_s(now_s))

    def _schedule_check(self, wait_s: float) -> None:
        """Schedule a liveness check unless an earlier one is pending."""
        if self.closed:
            return
        at_s = self._loop.time() + wait_s + CHECK_MARGIN_S
        if self._check_timer is not None:
            if self._check_timer.when() <= at_s:
                return
            self._check_timer.cancel()
        self._check_timer = self._loop.call_at(at_s, self._check_liveness)


def _body_size_bytes(message: _messages.Message) -> int:
    """Return the size of the fields that can be large."""
    if isinstance(message, _messages.Submit):
        return len(message.prompt) + len(message.body)
    if isinstance(message, _messages.Finished):
        return len(message.body)
    return 0

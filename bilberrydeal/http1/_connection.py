"""One connection of a caller: reads requests and serves them in order."""

import asyncio
import collections.abc
import http
import typing

from . import _budget
from . import _connection_times
from . import _headers
from . import _limits
from . import _pipeline
from . import _request
from . import _request_reader
from . import _request_task
from . import _responder
from . import _sockets
from . import _unparsed_bytes
from . import _work_queue

#: Bytes that are parsed at a time, unless they belong to a body whose length
#: was announced.
SLICE_BYTES = 2_048
#: Unread bytes of responses at which responders wait, and with which the next
#: request is not started.
UNREAD_LIMIT_BYTES = 16_384
#: Unread bytes at which they go on.
UNREAD_RESUME_BYTES = 4_096
#: Value of ``Retry-After`` of a request that was refused for memory, in
#: seconds.
RETRY_AFTER = b"1"

Clock = collections.abc.Callable[[], float]
_Stage = _request_reader.Stage


class Server(typing.Protocol):
    """Interface of the server that a connection uses."""

    #: Serves one request.
    handler: _request_task.Handler
    #: Returns the present limits.
    limits: collections.abc.Callable[[], _limits.ServerLimits]
    clock: Clock
    #: Whether responses ask callers to close the connection.
    draining: bool
    connections: "set[Connection]"
    #: Memory held for all connections.
    budget: _budget.MemoryBudget
    #: Connections whose bytes wait to be parsed.
    work: _work_queue.WorkQueue
    #: Buffer that all connections read into, one after the other.
    read_buffer: memoryview

    def make_room(self, now_s: float) -> bool:
        """Make room for a new connection; return whether there is any."""

    def notify_request_ended(self) -> None:
        """Wake waiters after a request ended or a connection was lost."""


class Connection(asyncio.BufferedProtocol):
    """One connection of a caller.

    The memory that it holds is accounted for in the budget of the server. It
    stops reading while received bytes wait to be parsed, while many requests
    wait and while responses are unread.
    """

    def __init__(self, server: Server) -> None:
        #: Memory that it holds, in bytes.
        self.held_bytes = 0
        #: Memory of that which :meth:`shed` releases, in bytes.
        self.sheddable_bytes = 0
        self._server = server
        self._reader = _request_reader.RequestReader(
            self, server.limits(), server.clock
        )
        self._transport: asyncio.Transport | None = None
        self._times = _connection_times.ConnectionTimes(
            last_data_s=self._reader.stage_started_s
        )
        self._unparsed = _unparsed_bytes.UnparsedBytes()
        self._queued = False
        self._pending = _pipeline.Pipeline()
        self._served = _request_task.RequestTask(self._on_request_done)
        #: Size of responses in the write buffer while it is too full.
        self._unread_bytes = 0
        self._rejection_status = 0
        #: Whether received bytes are of no use any longer.
        self._input_ended = False
        self._reading = True
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False

    # Called by the server.

    @property
    def idle(self) -> bool:
        """Return whether no request is being read, queued or served."""
        return (
            not self._served.running
            and not self._pending
            and not self._unparsed
            and self._reader.stage is _Stage.IDLE
        )

    @property
    def stage_started_s(self) -> float:
        """Return when the present stage began, monotonic seconds."""
        return self._reader.stage_started_s

    @property
    def evictable(self) -> bool:
        """Return whether it may be closed in favour of a new connection.

        One that has had a response may rely on its idle timeout.
        """
        if self._served.running or self._unparsed or self._input_ended:
            return False
        if self._reader.stage is _Stage.IDLE:
            return not self._times.announced_idle_s
        return self._reader.stage is _Stage.HEAD

    def evict(self) -> None:
        """Close the connection in favour of a new one."""
        if self._reader.stage is _Stage.HEAD:
            self._reject(408)
        self.close()

    def enforce_timeouts(
        self, limits: _limits.ServerLimits, now_s: float
    ) -> None:
        """Close the connection, or respond with 408, on a timeout."""
        if self._times.closed_s is not None:
            if self._times.end_linger(now_s):
                self.close()
            self._abort_if_unread(limits, now_s)
            return
        if self._served.running or self._unparsed:
            return
        due = self._times.while_reading(
            self._reader.stage, self._reader.stage_started_s, limits, now_s
        )
        if due is _connection_times.Due.REJECTION:
            self._reject(408)
        elif due is _connection_times.Due.CLOSE:
            self.close()

    def _abort_if_unread(
        self, limits: _limits.ServerLimits, now_s: float
    ) -> None:
        """Reset a closed connection whose last responses are not read."""
        if self._transport is None:
            return
        unread_bytes = self._transport.get_write_buffer_size()
        reads = unread_bytes != self._unread_bytes
        if self._times.is_unread_too_long(reads, limits, now_s):
            self.abort()
        elif reads:
            self._unread_bytes = unread_bytes
            self._account()

    def cancel_request(self) -> None:
        """Cancel the request that is being served, if any."""
        self._served.cancel()

    def close(self) -> None:
        """Close after sending buffered bytes."""
        if self._transport is not None:
            self._times.close(self._server.clock())
            self._input_ended = True
            self._release()
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def shed(self) -> None:
        """Refuse what is not being served, and release its memory.

        Requests that wait behind the one that is being served have not run;
        the connection ends after its response.
        """
        refused = self._server.budget.refused
        if self._unread_bytes and not self._served.running:
            refused[_budget.Reason.UNREAD] += 1
            self._disconnected = True
            self._input_ended = True
            self._release()
            self.abort()
            return
        refused[_budget.Reason.MEMORY] += 1
        self._reject(503)

    # Called by responders, see ``_responder.Transport``.

    def send(self, data: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""
        if self._transport is not None and not self._disconnected:
            self._transport.write(data)
            if not self._writable.is_set():
                self._account_unread()

    async def drain(self) -> None:
        """Wait for the write buffer to drain."""
        if not self._writable.is_set():
            await self._writable.wait()
        if self._disconnected:
            raise _responder.CallerGone

    def connection_headers(self, keep_alive: bool) -> list[_headers.Header]:
        """Return the header fields that control connection reuse."""
        if not keep_alive or self._ends_when_drained:
            return [(b"connection", b"close")]
        idle_s = int(self._server.limits().idle_timeout_s)
        self._times.announced_idle_s = idle_s
        return [(b"keep-alive", b"timeout=%d" % idle_s)]

    # asyncio.BufferedProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or reset it if there are too many."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if not self._server.make_room(self._reader.stage_started_s):
            self._disconnected = True
            self._transport.abort()
            return
        _sockets.enable_keep_alive(self._transport)
        self._transport.set_write_buffer_limits(
            UNREAD_LIMIT_BYTES, UNREAD_RESUME_BYTES
        )
        self._server.connections.add(self)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes, or queue them if they take much work."""
        if self._input_ended:
            return
        server = self._server
        self._times.last_data_s = server.clock()
        self._reader.limits = server.limits()
        data = server.read_buffer[:nbytes]
        parsed = 0
        while parsed < nbytes and not self._reader.expensive:
            if not self._may_parse:
                break
            parsed += self._feed(data, parsed)
        if parsed < nbytes and not self._input_ended:
            self._unparsed.append(bytes(data[parsed:]))
            self._account()
        self._continue_reading()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the caller's requests and release their memory."""
        self._disconnected = True
        self._input_ended = True
        self._writable.set()
        self._server.connections.discard(self)
        self._unread_bytes = 0
        self._release()
        self._served.cancel()
        self._server.notify_request_ended()

    def pause_writing(self) -> None:
        """Block responders: the write buffer is full."""
        self._writable.clear()
        self._account_unread()

    def resume_writing(self) -> None:
        """Unblock responders: the write buffer has drained."""
        self._writable.set()
        self._unread_bytes = 0
        self._account()
        if not self._served.running and not self._disconnected:
            self._serve_next()

    # Parsing.

    @property
    def _may_parse(self) -> bool:
        """Return whether another request may be read."""
        return (
            not self._input_ended
            and not self._pending.full
            and self._writable.is_set()
        )

    def parse_slice(self) -> bool:
        """Parse some of the bytes that wait; return whether to go on."""
        self._queued = False
        if not self._may_parse or not self._unparsed:
            return False
        self._reader.limits = self._server.limits()
        self._unparsed.skip(
            self._feed(self._unparsed.data, self._unparsed.position)
        )
        if self._input_ended:
            return False
        self._account()
        self._queued = bool(self._unparsed) and self._may_parse
        if not self._queued:
            self._continue_reading()
        return self._queued

    def _feed(self, data: bytes | memoryview, start: int) -> int:
        """Parse a slice and start what it completes; return its size."""
        size = max(SLICE_BYTES, self._reader.announced_bytes)
        piece = data[start : start + size]
        status = 0
        try:
            self._reader.feed(piece)
        except _request_reader.Rejection as rejection:
            status = rejection.status
        self._input_ended |= self._reader.upgraded
        # Before a request is started, which can't be shed any longer.
        self._account()
        if (
            not self._served.running
            and self._pending
            and self._writable.is_set()
        ):
            self._start_next()
        if status:
            self._reject(status)
        return len(piece)

    def _continue_reading(self) -> None:
        """Parse what waits, or read on, as far as either is allowed."""
        if self._input_ended:
            return
        if self._unparsed:
            self._set_reading(False)
            if self._may_parse and not self._queued:
                self._queued = True
                self._server.work.add(self)
        elif not self._may_parse:
            self._set_reading(False)
        elif self._pending.short:
            self._set_reading(True)

    def _set_reading(self, reading: bool) -> None:
        if self._transport is None or reading is self._reading:
            return
        self._reading = reading
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def continue_expected(self) -> None:
        """Tell the caller to send the body, unless a response is due."""
        if not self._served.running:
            self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_read(
        self, request: _request.Request, last: bool, held_bytes: int
    ) -> None:
        """Queue a complete request."""
        if not self._rejection_status and not self._disconnected:
            self._pending.append(
                _pipeline.PendingRequest(request, not last, held_bytes)
            )

    # Accounting.

    def _account_unread(self) -> None:
        if self._transport is not None:
            self._unread_bytes = self._transport.get_write_buffer_size()
            self._account()

    def _account(self) -> None:
        """Report the memory that is held, and keep to the limit."""
        waiting = (
            self._reader.held_bytes
            + len(self._unparsed)
            + self._pending.held_bytes
        )
        held = waiting + self._served.held_bytes + self._unread_bytes
        if not self._served.running:
            waiting += self._unread_bytes
        budget = self._server.budget
        grown = held > self.held_bytes
        budget.used_bytes += held - self.held_bytes
        self.held_bytes = held
        self.sheddable_bytes = waiting
        if grown:
            budget.relieve(
                self._server.connections, self._reader.limits.memory_bytes
            )

    def _release(self) -> None:
        """Drop all that waits to be parsed or served."""
        self._reader.release()
        self._unparsed.clear()
        self._pending.clear()
        self._account()

    # Serving.

    def _start_next(self) -> None:
        pending = self._pending.popleft()
        self.sheddable_bytes -= pending.held_bytes
        responder = _responder.Responder(self, pending.keep_alive)
        self._served.start(self._server.handler, pending, responder)

    def _on_request_done(self, responder: _responder.Responder) -> None:
        self._account()
        self._after_response(responder)
        self._server.notify_request_ended()

    def _after_response(self, responder: _responder.Responder) -> None:
        if self._disconnected:
            return
        if not responder.finished:
            self.abort()
        elif not responder.keep_alive or self._ends_when_drained:
            self.close()
        else:
            self._serve_next()

    def _serve_next(self) -> None:
        """Go on with the connection, unless a response is mostly unread."""
        if not self._writable.is_set():
            return
        if self._pending:
            self._start_next()
        elif self._rejection_status:
            self._send_rejection()
            return
        else:
            self._reader.stage_started_s = self._server.clock()
        self._continue_reading()

    @property
    def _ends_when_drained(self) -> bool:
        """Return whether it ends now since the server is draining.

        Requests that were received are answered before.
        """
        return (
            self._server.draining and not self._pending and not self._unparsed
        )

    def _reject(self, status: int) -> None:
        """Reject a request after the pending responses are sent."""
        unavailable = status == http.HTTPStatus.SERVICE_UNAVAILABLE
        if self._rejection_status and not (unavailable and self._pending):
            return
        self._rejection_status = status
        self._input_ended = True
        self._reader.release()
        self._unparsed.clear()
        if unavailable:
            self._pending.clear()
        self._account()
        if not self._served.running and not self._pending:
            self._send_rejection()

    def _send_rejection(self) -> None:
        status = self._rejection_status
        fields = []
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            fields.append((b"retry-after", RETRY_AFTER))
        responder = _responder.Responder(self, keep_alive=False)
        responder.send(status, fields, b"")
        self._close_for_sending()

    def _close_for_sending(self) -> None:
        """Send nothing more, and drop what the caller still sends.

        Closing at once resets a connection on which bytes are unread, and the
        caller might lose the response.
        """
        if self._transport is None or self._disconnected:
            return
        self._times.linger(self._server.clock())
        self._transport.write_eof()
        self._set_reading(True)

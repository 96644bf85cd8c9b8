"""Reads callers' requests and answers them in order."""

import asyncio
import collections
import collections.abc
import contextlib
import enum
import functools
import typing

import attrs
import httptools

from .. import telemetry
from . import _headers
from . import _request
from . import _responder
from . import _sockets

LOG = telemetry.logger("http")
#: Requests of one connection that are read ahead of their turn.
PIPELINE_LIMIT = 8
#: Requests are read again once so few are left.
PIPELINE_RESUME = 2
#: Room for the start line and line ends beside the header fields, in bytes.
HEAD_SLACK_BYTES = 4096


@attrs.frozen
class ServerLimits:
    """What a caller may send and how long it may take."""

    #: Largest head of a request, in bytes.
    header_bytes: int
    #: Largest body, in bytes.
    body_bytes: int
    #: Longest time from the first byte of a head to its last, in seconds.
    header_timeout_s: float
    #: Longest time without a request, in seconds.
    idle_timeout_s: float
    #: Connections that are open at once.
    connections: int = 1_000
    #: Bytes of all bodies that are being read or served.
    all_body_bytes: int = 64_000_000


Handler = collections.abc.Callable[
    [_request.Request, _responder.Responder],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]
Clock = collections.abc.Callable[[], float]


class _Stage(enum.Enum):
    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()


class _Refused(Exception):
    """The request being read is answered with this status and dropped."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class HttpServer:
    """All connections of callers on one port.

    Example::

        server = HttpServer(handler, lambda: limits, clock)
        await server.listen("127.0.0.1", 8080)
    """

    def __init__(
        self,
        handler: Handler,
        limits: collections.abc.Callable[[], ServerLimits],
        clock: Clock,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.clock = clock
        #: Whether answers ask callers to leave.
        self.leaving = False
        #: Open connections.
        self.connections: set[Connection] = set()
        #: Bytes of bodies that are being read or served.
        self.body_bytes = 0
        self._server: asyncio.Server | None = None
        self._ended = asyncio.Event()

    async def listen(self, host: str, port: int, backlog: int = 1024) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=backlog
        )

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def requests_open(self) -> int:
        """Return how many requests are being read or served."""
        return sum(not connection.quiet for connection in self.connections)

    def sweep(self, now_s: float) -> None:
        """Close connections whose caller took too long."""
        limits = self.limits()
        for connection in list(self.connections):
            connection.check(limits, now_s)

    def stop_accepting(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    async def wait_quiet(self, timeout_s: float) -> bool:
        """Wait until no request is open; return whether that came true."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(timeout_s, 0.0)):
                while self.requests_open:
                    self._ended.clear()
                    await self._ended.wait()
        return not self.requests_open

    def note_ended(self) -> None:
        """Note that a request ended or a connection was lost."""
        self._ended.set()

    def close_quiet(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.quiet:
                connection.close()

    def abort(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._stage = _Stage.IDLE
        self._since_s = server.clock()
        self._progress_s = self._since_s
        self._url = b""
        self._fields: list[_headers.Header] = []
        self._head_bytes = 0
        self._parts: list[bytes] = []
        self._part_bytes = 0
        self._waiting: collections.deque[_Pending] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._refusal = 0
        self._room = asyncio.Event()
        self._room.set()
        self._gone = False

    # What the server asks.

    @property
    def quiet(self) -> bool:
        """Return whether no request is being read or served."""
        return (
            self._task is None
            and not self._waiting
            and self._stage is _Stage.IDLE
        )

    def check(self, limits: ServerLimits, now_s: float) -> None:
        """Close the connection if the caller took too long."""
        if self._task is not None:
            return
        if self._stage is _Stage.HEAD:
            if now_s - self._since_s > limits.header_timeout_s:
                self._refuse(408)
        elif self._stage is _Stage.BODY:
            if now_s - self._progress_s > limits.idle_timeout_s:
                self._refuse(408)
        elif now_s - self._since_s > limits.idle_timeout_s:
            self.close()

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    # What a responder asks.

    def send(self, data: bytes) -> None:
        """Send bytes, or drop them where the caller is gone."""
        if self._transport is not None and not self._gone:
            self._transport.write(data)

    async def drained(self) -> None:
        """Wait until the caller has room."""
        if not self._room.is_set():
            await self._room.wait()
        if self._gone:
            raise _responder.CallerGone

    def persistent_headers(self, keep: bool) -> list[_headers.Header]:
        """Return the fields that say whether the connection stays open."""
        if not keep or self._server.leaving:
            return [(b"connection", b"close")]
        idle_s = int(self._server.limits().idle_timeout_s)
        return [(b"keep-alive", b"timeout=%d" % idle_s)]

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of a new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if len(self._server.connections) >= self._server.limits().connections:
            self._gone = True
            self._transport.abort()
            return
        _sockets.watch_peer(self._transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._refusal:
            return
        now_s = self._server.clock()
        self._progress_s = now_s
        if self._stage is not _Stage.BODY:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_head()
        except _Refused as refused:
            self._refuse(refused.status)
        except httptools.HttpParserError as error:
            # The library wraps what its callbacks raise.
            cause = error.__context__
            status = cause.status if isinstance(cause, _Refused) else 400
            self._refuse(status)

    def eof_received(self) -> bool:
        """Treat a caller that sends no more as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what runs for the caller."""
        self._gone = True
        self._room.set()
        self._server.connections.discard(self)
        self._server.body_bytes -= self._part_bytes
        self._part_bytes = 0
        while self._waiting:
            self._server.body_bytes -= len(
                self._waiting.popleft().request.body
            )
        if self._task is not None:
            self._task.cancel()
        self._server.note_ended()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self._room.clear()

    def resume_writing(self) -> None:
        """Note that the caller has room again."""
        self._room.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._stage = _Stage.HEAD
        self._since_s = self._server.clock()
        self._url = b""
        self._fields = []
        self._parts = []

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one field."""
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head before any of the body is taken."""
        self._stage = _Stage.BODY
        limits = self._server.limits()
        size = sum(len(name) + len(value) + 4 for name, value in self._fields)
        if size > limits.header_bytes:
            raise _Refused(431)
        length = _headers.first(self._fields, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise _Refused(413)
        expected = _headers.first(self._fields, b"expect")
        continues = expected is not None and (
            expected.lower() == b"100-continue"
        )
        if continues and self._task is None:
            self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(body)
        self._part_bytes += len(body)
        self._server.body_bytes += len(body)
        limits = self._server.limits()
        if self._part_bytes > limits.body_bytes:
            raise _Refused(413)
        if self._server.body_bytes > limits.all_body_bytes:
            raise _Refused(503)

    def on_message_complete(self) -> None:
        """Take the whole request and serve it in its turn."""
        now_s = self._server.clock()
        request = _request.Request(
            method=self._parser.get_method(),
            target=self._url,
            headers=tuple(self._fields),
            body=b"".join(self._parts),
            has_body=_has_body(self._fields),
            began_s=self._since_s,
            read_s=now_s,
        )
        keep = (
            self._parser.should_keep_alive()
            and self._parser.get_http_version() == "1.1"
        )
        self._stage = _Stage.IDLE
        self._since_s = now_s
        self._head_bytes = 0
        self._parts = []
        self._part_bytes = 0
        self._waiting.append(_Pending(request, keep))
        if self._task is None:
            self._begin_next()
        elif len(self._waiting) >= PIPELINE_LIMIT and self._transport:
            self._transport.pause_reading()

    # Serving.

    def _check_head(self) -> None:
        if self._stage is not _Stage.HEAD:
            return
        limit = self._server.limits().header_bytes + HEAD_SLACK_BYTES
        if self._head_bytes > limit:
            raise _Refused(431)

    def _begin_next(self) -> None:
        pending = self._waiting.popleft()
        responder = _responder.Responder(self, pending.keep)
        self._task = asyncio.get_running_loop().create_task(
            self._server.handler(pending.request, responder)
        )
        # A task that is cancelled before its first step runs none of its
        # code, so what must be undone stands in a callback.
        self._task.add_done_callback(
            functools.partial(self._ended, pending, responder)
        )

    def _ended(
        self,
        pending: "_Pending",
        responder: _responder.Responder,
        task: asyncio.Task[None],
    ) -> None:
        self._task = None
        self._server.body_bytes -= len(pending.request.body)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, _responder.CallerGone):
            LOG.error("Request ended on a defect.", exc_info=error)
        self._after(responder)
        self._server.note_ended()

    def _after(self, responder: _responder.Responder) -> None:
        if self._gone:
            return
        if not responder.finished:
            self.abort()
        elif not responder.keep or self._server.leaving:
            self.close()
        elif self._waiting:
            self._begin_next()
            self._read_on()
        elif self._refusal:
            self._answer_refusal()
        else:
            self._since_s = self._server.clock()
            self._read_on()

    def _read_on(self) -> None:
        if len(self._waiting) <= PIPELINE_RESUME and self._transport:
            self._transport.resume_reading()

    def _refuse(self, status: int) -> None:
        """Refuse what cannot be read, after the answers that are due."""
        self._refusal = status
        if self._task is None:
            self._answer_refusal()

    def _answer_refusal(self) -> None:
        responder = _responder.Responder(self, keep=False)
        responder.send(self._refusal, [], b"")
        self.close()


@attrs.frozen
class _Pending:
    """A request that waits for its turn."""

    #: The request.
    request: _request.Request
    #: Whether the connection stays open after it.
    keep: bool


def _has_body(headers: list[_headers.Header]) -> bool:
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _value in headers
    )

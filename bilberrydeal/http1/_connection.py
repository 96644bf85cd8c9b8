"""One connection of a caller: reads requests and serves them in order."""

import asyncio
import collections
import collections.abc
import enum
import functools
import http
import typing

import attrs
import httptools

from .. import telemetry
from . import _headers
from . import _limits
from . import _request
from . import _responder
from . import _sockets

LOG = telemetry.logger("http")
#: Pipelined requests on one connection at which reading pauses.
PIPELINE_LIMIT = 8
#: Pipelined requests at which reading resumes.
PIPELINE_RESUME = 2
#: Allowance for the start line and line ends, beyond the header fields.
HEAD_OVERHEAD_BYTES = 4096

Handler = collections.abc.Callable[
    [_request.Request, _responder.Responder],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]
Clock = collections.abc.Callable[[], float]


class _Stage(enum.Enum):
    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()


class _Rejection(Exception):
    """Rejects the request that is being read with a status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Server(typing.Protocol):
    """Interface of the server that a connection uses."""

    #: Serves one request.
    handler: Handler
    #: Returns the present limits.
    limits: collections.abc.Callable[[], _limits.ServerLimits]
    clock: Clock
    #: Whether responses ask callers to close the connection.
    draining: bool
    connections: "set[Connection]"
    #: Total size of bodies being read or served.
    body_bytes: int

    def notify_request_ended(self) -> None:
        """Wake waiters after a request ended or a connection was lost."""


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._stage = _Stage.IDLE
        self._stage_started_s = server.clock()
        self._last_data_s = self._stage_started_s
        self._url = b""
        self._fields: list[_headers.Header] = []
        self._head_bytes = 0
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._pending: collections.deque[_PendingRequest] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._rejection_status = 0
        #: Whether another protocol was asked for, which is not spoken.
        self._ignores_data = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False
        #: Idle timeout in the last response, in seconds; 0 before the first.
        self._announced_idle_s = 0

    # Called by the server.

    @property
    def idle(self) -> bool:
        """Return whether no request is being read, queued or served."""
        return (
            self._task is None
            and not self._pending
            and self._stage is _Stage.IDLE
        )

    def enforce_timeouts(
        self, limits: _limits.ServerLimits, now_s: float
    ) -> None:
        """Close the connection, or respond with 408, on a timeout."""
        if self._task is not None:
            return
        if self._stage is _Stage.HEAD:
            if now_s - self._stage_started_s > limits.header_timeout_s:
                self._reject(408)
        elif self._stage is _Stage.BODY:
            if now_s - self._last_data_s > limits.idle_timeout_s:
                self._reject(408)
        elif now_s - self._stage_started_s > self._idle_limit_s(limits):
            self.close()

    def _idle_limit_s(self, limits: _limits.ServerLimits) -> float:
        """Return how long the connection may be idle.

        A timeout that has become shorter applies from the next response on:
        until then the caller relies on the one that it was told.
        """
        return max(limits.idle_timeout_s, self._announced_idle_s)

    def cancel_request(self) -> None:
        """Cancel the request that is being served, if any."""
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close after sending buffered bytes."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    # Called by responders, see ``_responder.Transport``.

    def send(self, data: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""
        if self._transport is not None and not self._disconnected:
            self._transport.write(data)

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
        self._announced_idle_s = int(self._server.limits().idle_timeout_s)
        return [(b"keep-alive", b"timeout=%d" % self._announced_idle_s)]

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or reset it if there are too many."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if len(self._server.connections) >= self._server.limits().connections:
            self._disconnected = True
            self._transport.abort()
            return
        _sockets.enable_peer_timeouts(self._transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._rejection_status or self._ignores_data:
            return
        now_s = self._server.clock()
        self._last_data_s = now_s
        if self._stage is not _Stage.BODY:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_head()
        except _Rejection as rejection:
            self._reject(rejection.status)
        except httptools.HttpParserUpgrade:
            # The request is served as any other, and is the last one.
            self._ignores_data = True
        except httptools.HttpParserError as error:
            # The parser wraps exceptions raised by its callbacks.
            cause = error.__context__
            status = cause.status if isinstance(cause, _Rejection) else 400
            self._reject(status)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the caller's requests and release their bodies."""
        self._disconnected = True
        self._writable.set()
        self._server.connections.discard(self)
        self._server.body_bytes -= self._body_bytes
        self._body_bytes = 0
        while self._pending:
            self._server.body_bytes -= len(
                self._pending.popleft().request.body
            )
        if self._task is not None:
            self._task.cancel()
        self._server.notify_request_ended()

    def pause_writing(self) -> None:
        """Block responders: the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock responders: the write buffer has drained."""
        self._writable.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start reading a request."""
        self._stage = _Stage.HEAD
        self._stage_started_s = self._server.clock()
        self._url = b""
        self._fields = []
        self._body_parts = []

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field."""
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head before reading the body."""
        self._stage = _Stage.BODY
        limits = self._server.limits()
        size = sum(len(name) + len(value) + 4 for name, value in self._fields)
        if size > limits.header_bytes:
            raise _Rejection(431)
        length = _headers.first_value(self._fields, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise _Rejection(413)
        if self._parser.should_upgrade() and _body_expected(self._fields):
            # The parser would leave out the body.
            raise _Rejection(501)
        expected = _headers.first_value(self._fields, b"expect")
        expects_continue = expected is not None and (
            expected.lower() == b"100-continue"
        )
        if expects_continue and self._task is None:
            self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body and enforce the size limits."""
        self._body_parts.append(body)
        self._body_bytes += len(body)
        self._server.body_bytes += len(body)
        limits = self._server.limits()
        if self._body_bytes > limits.body_bytes:
            raise _Rejection(413)
        if self._server.body_bytes > limits.total_body_bytes:
            raise _Rejection(503)

    def on_message_complete(self) -> None:
        """Queue the complete request; start it if none is being served."""
        now_s = self._server.clock()
        request = _request.Request(
            method=self._parser.get_method(),
            target=self._url,
            headers=tuple(self._fields),
            body=b"".join(self._body_parts),
            has_body=_has_body(self._fields),
            started_s=self._stage_started_s,
            read_s=now_s,
        )
        keep_alive = (
            self._parser.should_keep_alive()
            and self._parser.get_http_version() == "1.1"
            and not self._parser.should_upgrade()
        )
        self._stage = _Stage.IDLE
        self._stage_started_s = now_s
        self._head_bytes = 0
        self._body_parts = []
        self._body_bytes = 0
        self._pending.append(_PendingRequest(request, keep_alive))
        if self._task is None:
            self._start_next()
        elif len(self._pending) >= PIPELINE_LIMIT and self._transport:
            self._transport.pause_reading()

    # Serving.

    def _check_head(self) -> None:
        if self._stage is not _Stage.HEAD:
            return
        limit = self._server.limits().header_bytes + HEAD_OVERHEAD_BYTES
        if self._head_bytes > limit:
            raise _Rejection(431)

    def _start_next(self) -> None:
        pending = self._pending.popleft()
        responder = _responder.Responder(self, pending.keep_alive)
        self._task = asyncio.get_running_loop().create_task(
            self._server.handler(pending.request, responder)
        )
        # A task that is cancelled before its first step runs none of its
        # code, so the cleanup is done in a callback.
        self._task.add_done_callback(
            functools.partial(self._on_handler_done, pending, responder)
        )

    def _on_handler_done(
        self,
        pending: "_PendingRequest",
        responder: _responder.Responder,
        task: asyncio.Task[None],
    ) -> None:
        self._task = None
        self._server.body_bytes -= len(pending.request.body)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, _responder.CallerGone):
            LOG.error("Request handler failed unexpectedly.", exc_info=error)
            _answer_failure(responder)
        self._after_response(responder)
        self._server.notify_request_ended()

    def _after_response(self, responder: _responder.Responder) -> None:
        if self._disconnected:
            return
        if not responder.finished:
            self.abort()
        elif not responder.keep_alive or self._ends_when_drained:
            self.close()
        elif self._pending:
            self._start_next()
            self._resume_reading()
        elif self._rejection_status:
            self._send_rejection()
        else:
            self._stage_started_s = self._server.clock()
            self._resume_reading()

    @property
    def _ends_when_drained(self) -> bool:
        """Return whether it ends now since the server is draining.

        Requests that were read are answered before.
        """
        return self._server.draining and not self._pending

    def _resume_reading(self) -> None:
        if len(self._pending) <= PIPELINE_RESUME and self._transport:
            self._transport.resume_reading()

    def _reject(self, status: int) -> None:
        """Reject an invalid request after the pending responses are sent."""
        self._rejection_status = status
        if self._task is None:
            self._send_rejection()

    def _send_rejection(self) -> None:
        responder = _responder.Responder(self, keep_alive=False)
        responder.send(self._rejection_status, [], b"")
        self.close()


@attrs.frozen
class _PendingRequest:
    """A pipelined request that waits for earlier ones."""

    request: _request.Request
    #: Whether the connection stays open afterwards.
    keep_alive: bool


def _answer_failure(responder: _responder.Responder) -> None:
    """Answer a request whose handler failed, unless its response began."""
    if not responder.started:
        responder.keep_alive = False
        responder.send(http.HTTPStatus.INTERNAL_SERVER_ERROR, [], b"")


def _has_body(headers: list[_headers.Header]) -> bool:
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _value in headers
    )


def _body_expected(headers: list[_headers.Header]) -> bool:
    """Return whether a body of at least one byte may follow a head."""
    length = _headers.first_value(headers, b"content-length")
    if length is not None:
        return int(length) > 0
    return _has_body(headers)

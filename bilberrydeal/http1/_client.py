"""Client connections to endpoints and to the platform."""

import asyncio
import re
import typing

import attrs
import httptools

from .. import endings
from . import _extra_responses
from . import _fields
from . import _headers
from . import _peer_timeout
from . import _responder
from . import _sockets

#: Unread bytes of a response at which reading from the socket pauses.
BUFFER_LIMIT_BYTES = 262_144
#: Bytes that a peer may send without any that belong to the response: heads,
#: chunk extensions, trailers, interim responses and those to other requests.
USELESS_LIMIT_BYTES = 1_048_576
#: Smallest and largest status of a response.
MIN_STATUS = 100
MAX_STATUS = 599
#: Most interim responses before a response.
INTERIM_LIMIT = 64
#: Largest head of a response, in bytes.
HEAD_LIMIT_BYTES = 131_072
#: Header fields of a response that are not packed as they arrive.
PAIRS_LIMIT = 2 * _fields.PAIRS_LIMIT
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class NotSent(Exception):
    """No byte of the request was sent."""


class IncompleteResponse(Exception):
    """The response is missing or incomplete; the request may have run."""


@attrs.frozen
class ResponseHead:
    """Status and header fields of a response."""

    status: int
    #: Header fields in the order received, names in lower case.
    headers: _headers.Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first field of that name."""
        return _headers.first_value(self.headers, name)


class ClientConnection(asyncio.Protocol):
    """Carries one request at a time.

    A response with the id of another request is skipped: it is a late
    duplicate of the response to an earlier request on this connection.

    Example::

        connection.send(head, body, request_id=b"17")
        head = await connection.head()
        while chunk := await connection.chunk():
            ...
    """

    def __init__(self, id_header: bytes = b"") -> None:
        #: When the connection was last used, monotonic seconds.
        self.last_used_s = 0.0
        #: Idle timeout announced by the peer, in seconds; ``None`` if it
        #: announced none.
        self.keep_alive_s: float | None = None
        #: Whether it can carry another request.
        self.reusable = True
        #: Whether the response to the current request is complete.
        self.done = True
        #: Whether it has carried an earlier request.
        self.reused = False
        self._id_header = id_header
        self._used = False
        #: Whether the current request is large.
        self._large = False
        #: Size of the body of the current request.
        self._request_bytes = 0
        self._request_id = b""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._fields = _fields.FieldCollector()
        self._skipping_response = False
        self._useless_bytes = 0
        self._delimited_by_eof = False
        self._extra_responses: _extra_responses.ExtraResponseFinder | None = (
            None
        )
        self._head: ResponseHead | None = None
        #: Bytes of the body that were not taken yet.
        self._buffered: bytes | bytearray = b""
        #: Bytes received since the last that belong to the response.
        self._useless_bytes = 0
        #: Bytes received since the last head was complete.
        self._head_bytes = 0
        self._in_head = True
        #: Interim responses since the request was sent.
        self._interim_responses = 0
        self._paused = False
        self._closed = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def delimited_by_eof(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        return self._delimited_by_eof

    @property
    def closed(self) -> bool:
        """Return whether the connection can carry no further request."""
        return self._closed or not self.reusable

    @property
    def sending(self) -> bool:
        """Return whether the peer's host lacks some of the last request."""
        if self._closed or self._transport is None:
            return False
        return endings.unacknowledged_bytes(self._transport) > 0

    @property
    def responding(self) -> bool:
        """Return whether the head of the response has arrived."""
        return self._head is not None

    def send(self, head: bytes, body: bytes, request_id: bytes = b"") -> None:
        """Send a request; raises :class:`NotSent` on a closed connection."""
        if self._closed or self._transport is None:
            raise NotSent
        large = len(body) >= endings.LARGE_BYTES
        if large is not self._large:
            self._large = large
            _sockets.limit_unacknowledged(self._transport, len(body))
        self._request_bytes = len(body)
        self.reused = self._used
        self._used = True
        self._request_id = request_id
        self._head = None
        self._buffered = b""
        self._useless_bytes = 0
        self._head_bytes = 0
        self._interim_responses = 0
        self.done = False
        self._transport.write(head + body if body else head)

    async def head(self) -> ResponseHead:
        """Return the head; raises :class:`IncompleteResponse`."""
        while self._head is None:
            if self._closed:
                raise IncompleteResponse
            await self._wait()
        return self._head

    async def chunk(self) -> bytes:
        """Return the next part of the body; empty at its end."""
        while not self._buffered:
            if self.done:
                return b""
            if self._closed:
                raise IncompleteResponse
            await self._wait()
        data = bytes(self._buffered)
        self._buffered = b""
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def body(self, limit_bytes: int) -> bytes:
        """Return the body; :class:`IncompleteResponse` if over the limit."""
        body = bytearray()
        while data := await self.chunk():
            body += data
            if len(body) > limit_bytes:
                raise IncompleteResponse
        return bytes(body)

    def abort(self) -> None:
        """Reset the connection, which cancels a running request."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and configure its socket."""
        self._transport = typing.cast(asyncio.Transport, transport)
        _sockets.enable_keep_alive(self._transport)
        _sockets.limit_unacknowledged(self._transport, 0)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection on unsolicited ones."""
        if self.done:
            self.reusable = False
            self.close()
            return
        self._useless_bytes += len(data)
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._give_up()
        if (
            self._useless_bytes > USELESS_LIMIT_BYTES
            or self._head_bytes > HEAD_LIMIT_BYTES
            or self._interim_responses > INTERIM_LIMIT
        ):
            self._give_up()
        self._wake()

    def _give_up(self) -> None:
        """Reset the connection; an incomplete response stays incomplete."""
        self.reusable = False
        if not self.done:
            self._closed = True
        self.abort()

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the stream.

        Unless a reset may follow: then the connection has to stay open.
        """
        self.reusable = False
        if (
            not self.done
            and not self._closed
            and self._transport is not None
            and self._delimited_by_eof
            and not self._skipping_response
        ):
            watch = endings.EndWatch(
                self._transport,
                self._request_bytes,
                self._complete_by_eof,
                self._give_up,
            )
            return watch.start()
        self._wake()
        return False

    def _complete_by_eof(self) -> None:
        if not self._closed:
            self.done = True
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake a waiting reader."""
        self._closed = True
        self.reusable = False
        self._wake()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response; an extra one makes the connection unusable."""
        self._fields = _fields.FieldCollector()
        self._in_head = True
        if self.done:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field; those of trailers are dropped."""
        if self._in_head:
            self._fields.pairs.append((name.lower(), value))
            if len(self._fields.pairs) > PAIRS_LIMIT:
                self._fields.pack()

    def on_headers_complete(self) -> None:
        """Store the head unless it belongs to another request."""
        self._in_head = False
        self._head_bytes = 0
        if self.done:
            self._skipping_response = True
            return
        head = ResponseHead(
            self._parser.get_status_code(), self._fields.fields()
        )
        if not MIN_STATUS <= head.status <= MAX_STATUS:
            # No response of the protocol; nothing is known of what follows.
            self._skipping_response = True
            self._give_up()
            return
        if head.status < 200:
            self._interim_responses += 1
            self._skipping_response = True
            return
        if not self._matches_request(head):
            self._skipping_response = True
            self.reusable = False
            return
        self._skipping_response = False
        self._delimited_by_eof = _is_delimited_by_eof(head)
        self._update_persistence(head)
        self._head = head

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self._skipping_response:
            return
        if self._extra_responses and self._extra_responses.found(body):
            self._give_up()
            return
        self._useless_bytes = 0
        if not self._buffered:
            self._buffered = body
        elif isinstance(self._buffered, bytearray):
            self._buffered += body
        else:
            self._buffered = bytearray(self._buffered) + body
        if len(self._buffered) > BUFFER_LIMIT_BYTES and self._transport:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._skipping_response:
            self._skipping_response = False
            return
        self.done = True

    # Helpers.

    def _matches_request(self, head: ResponseHead) -> bool:
        if not self._id_header:
            return True
        response_id = head.header(self._id_header)
        if response_id is None:
            return not self._request_id or head.status >= 300
        return response_id == self._request_id

    def _update_persistence(self, head: ResponseHead) -> None:
        if self._delimited_by_eof or not self._parser.should_keep_alive():
            self.reusable = False
        if self._delimited_by_eof and self._id_header:
            self._extra_responses = _extra_responses.ExtraResponseFinder(
                self._id_header
            )
        timeout = _KEEP_ALIVE_TIMEOUT.search(head.header(b"keep-alive") or b"")
        if timeout is not None:
            self.keep_alive_s = float(timeout.group(1))

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(
    host: str, port: int, timeout_s: float, id_header: bytes = b""
) -> ClientConnection:
    """Open a connection; raises :class:`NotSent`."""
    loop = asyncio.get_running_loop()
    try:
        async with _peer_timeout.PeerTimeout(timeout_s):
            _transport, protocol = await loop.create_connection(
                lambda: ClientConnection(id_header), host, port
            )
    except (OSError, OverflowError, ValueError, TimeoutError) as error:
        raise NotSent(str(error)) from error
    return protocol


def _is_delimited_by_eof(head: ResponseHead) -> bool:
    if head.status in _responder.BODILESS_STATUSES:
        return False
    if head.header(b"content-length") is not None:
        return False
    coding = head.header(b"transfer-encoding") or b""
    return b"chunked" not in coding.lower()

"""One connection to an endpoint or to the platform."""

import asyncio
import collections
import re
import typing

import attrs
import httptools

from . import _headers
from . import _sockets

#: Statuses whose answers never have a body.
BODILESS = frozenset([204, 304])
#: Bytes of an answer that wait for their reader before reading pauses.
BUFFER_LIMIT_BYTES = 262_144
_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class Unsent(Exception):
    """No byte of the request was sent."""


class Broken(Exception):
    """The exchange ended without a whole answer; the request may have run."""


@attrs.frozen
class ResponseHead:
    """Status and fields of an answer."""

    #: Status code.
    status: int
    #: Fields in their order, names in lower case.
    headers: tuple[_headers.Header, ...]

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first field of that name."""
        return _headers.first(self.headers, name)


class ClientConnection(asyncio.Protocol):
    """Carries one request at a time.

    An answer that names another request is skipped: it is a late copy of an
    answer to an earlier request on this connection.

    Example::

        connection.send(head, body, request_id=b"17")
        head = await connection.head()
        while chunk := await connection.chunk():
            ...
    """

    def __init__(self, id_header: bytes = b"") -> None:
        #: When the connection was last used, monotonic seconds.
        self.used_s = 0.0
        #: How long the peer keeps it open without a request, in seconds;
        #: ``None`` where it has not said so.
        self.keep_s: float | None = None
        #: Whether it can carry another request.
        self.reusable = True
        #: Whether the answer to the present request is whole.
        self.done = True
        self._id_header = id_header
        self._request_id = b""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._fields: list[_headers.Header] = []
        self._skipping = False
        self._until_eof = False
        self._head: ResponseHead | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._paused = False
        self._closed = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def closed(self) -> bool:
        """Return whether the connection is of no more use."""
        return self._closed or not self.reusable

    def send(self, head: bytes, body: bytes, request_id: bytes = b"") -> None:
        """Send a request; raises :class:`Unsent` on a closed connection."""
        if self._closed or self._transport is None:
            raise Unsent
        self._request_id = request_id
        self._head = None
        self._chunks.clear()
        self._buffered_bytes = 0
        self.done = False
        self._transport.write(head + body if body else head)

    async def head(self) -> ResponseHead:
        """Return the head of the answer; raises :class:`Broken`."""
        while self._head is None:
            if self._closed:
                raise Broken
            await self._wait()
        return self._head

    async def chunk(self) -> bytes:
        """Return a part of the body, empty at its end."""
        while not self._chunks:
            if self.done:
                return b""
            if self._closed:
                raise Broken
            await self._wait()
        data = (
            self._chunks.popleft()
            if len(self._chunks) == 1
            else self._take_all()
        )
        self._buffered_bytes = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def body(self, limit_bytes: int) -> bytes:
        """Return the whole body; raises :class:`Broken` past the limit."""
        parts: list[bytes] = []
        size = 0
        while data := await self.chunk():
            parts.append(data)
            size += len(data)
            if size > limit_bytes:
                raise Broken
        return b"".join(parts)

    def abort(self) -> None:
        """Reset the connection, which cancels a request that runs."""
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
        """Take the transport of a new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        _sockets.watch_peer(self._transport)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; anything unasked ends the connection."""
        if self.done:
            self.reusable = False
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reusable = False
            if not self.done:
                self._closed = True
            self.abort()
        self._wake()

    def eof_received(self) -> bool:
        """End an answer that lasts until the connection ends."""
        if not self.done and self._until_eof and not self._skipping:
            self.done = True
        self.reusable = False
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell a waiting reader."""
        self._closed = True
        self.reusable = False
        self._wake()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer; one more after the awaited one is a defect."""
        self._fields = []
        if self.done:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one field."""
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the head unless it belongs to another request."""
        if self.done:
            self._skipping = True
            return
        head = ResponseHead(
            self._parser.get_status_code(), tuple(self._fields)
        )
        if head.status < 200:
            self._skipping = True
            return
        if not self._is_awaited(head):
            self._skipping = True
            self.reusable = False
            return
        self._skipping = False
        self._until_eof = _lasts_until_eof(head)
        self._note_persistence(head)
        self._head = head

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._skipping:
            return
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > BUFFER_LIMIT_BYTES and self._transport:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        if self._skipping:
            self._skipping = False
            return
        self.done = True

    # Helpers.

    def _is_awaited(self, head: ResponseHead) -> bool:
        if not self._id_header:
            return True
        named = head.header(self._id_header)
        if named is None:
            return not self._request_id or head.status >= 300
        return named == self._request_id

    def _note_persistence(self, head: ResponseHead) -> None:
        connection = head.header(b"connection") or b""
        if b"close" in connection.lower() or self._until_eof:
            self.reusable = False
        kept = _TIMEOUT.search(head.header(b"keep-alive") or b"")
        if kept is not None:
            self.keep_s = float(kept.group(1))

    def _take_all(self) -> bytes:
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

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
    """Open a connection; raises :class:`Unsent`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _transport, protocol = await loop.create_connection(
                lambda: ClientConnection(id_header), host, port
            )
    except (OSError, TimeoutError) as error:
        raise Unsent(str(error)) from error
    return protocol


def _lasts_until_eof(head: ResponseHead) -> bool:
    if head.status in BODILESS:
        return False
    if head.header(b"content-length") is not None:
        return False
    coding = head.header(b"transfer-encoding") or b""
    return b"chunked" not in coding.lower()

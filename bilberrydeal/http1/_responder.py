"""Writes responses to callers."""

import http
import typing

from . import _headers

#: Statuses whose responses have neither a body nor its framing.
BODILESS_STATUSES = frozenset([204, 304])


class CallerGone(Exception):
    """The caller disconnected before the response was complete."""


class Transport(typing.Protocol):
    """Interface of a caller's connection that a responder uses."""

    def send(self, data: bytes) -> None:
        """Send bytes, or drop them if the caller has disconnected."""

    async def drain(self) -> None:
        """Wait for the write buffer to drain; raises :class:`CallerGone`."""

    def abort(self) -> None:
        """Reset the connection, so that no response looks complete."""

    def connection_headers(self, keep_alive: bool) -> list[_headers.Header]:
        """Return the header fields that control connection reuse."""


class Responder:
    """Writes one response, either at once or as a stream of chunks.

    Example::

        responder.send(503, [(b"retry-after", b"1")], b"")
    """

    def __init__(self, transport: Transport, keep_alive: bool) -> None:
        self._transport = transport
        #: Whether the connection may be reused after the response.
        self.keep_alive = keep_alive
        #: Whether any byte of the response was sent.
        self.started = False
        #: Whether the response is complete.
        self.finished = False
        #: Status of the response; 0 before it starts.
        self.status = 0

    def send(
        self, status: int, headers: _headers.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        if status in BODILESS_STATUSES:
            self._start(status, [*headers], b"")
        else:
            self._start(status, [*headers, _length(len(body))], body)
        self.finished = True

    def start(
        self, status: int, headers: _headers.Headers, length: int | None
    ) -> None:
        """Send the head of a response, chunked if ``length`` is ``None``."""
        if status in BODILESS_STATUSES:
            self._start(status, [*headers], b"")
            return
        framing = (
            (b"transfer-encoding", b"chunked")
            if length is None
            else _length(length)
        )
        self._start(status, [*headers, framing], b"")

    async def write_chunk(self, data: bytes) -> None:
        """Send one chunk and wait for the write buffer to drain."""
        if self.status in BODILESS_STATUSES:
            return
        self._transport.send(b"%x\r\n%b\r\n" % (len(data), data))
        await self._transport.drain()

    def end_chunks(self) -> None:
        """Send the last chunk, which completes the response."""
        if self.status not in BODILESS_STATUSES:
            self._transport.send(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Reset the connection, so that the response is visibly cut."""
        self.keep_alive = False
        self._transport.abort()

    def _start(
        self, status: int, headers: list[_headers.Header], body: bytes
    ) -> None:
        self.started = True
        self.status = status
        headers.extend(self._transport.connection_headers(self.keep_alive))
        line = b"HTTP/1.1 %d %b" % (status, _phrase(status))
        self._transport.send(_headers.render_head(line, headers) + body)


def _length(length: int) -> _headers.Header:
    return (b"content-length", b"%d" % length)


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"

"""Writes one answer to a caller."""

import http
import typing

from . import _headers


class CallerGone(Exception):
    """The caller closed its connection before the answer was whole."""


class Transport(typing.Protocol):
    """What a responder needs of the caller's connection."""

    def send(self, data: bytes) -> None:
        """Send bytes, or drop them where the caller is gone."""

    async def drained(self) -> None:
        """Wait until the caller has room; raises :class:`CallerGone`."""

    def abort(self) -> None:
        """Reset the connection, so that nothing sent looks whole."""

    def persistent_headers(self, keep: bool) -> list[_headers.Header]:
        """Return the fields that say whether the connection stays open."""


class Responder:
    """Writes one answer: whole, or as a stream of chunks.

    Example::

        responder.send(503, [(b"retry-after", b"1")], b"")
    """

    def __init__(self, transport: Transport, keep: bool) -> None:
        self._transport = transport
        #: Whether the connection may carry another request afterwards.
        self.keep = keep
        #: Whether any byte of the answer was sent.
        self.started = False
        #: Whether the answer is whole.
        self.finished = False
        #: Status of the answer, 0 before there is one.
        self.status = 0

    def send(
        self, status: int, headers: _headers.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        self._start(status, [*headers, _length(len(body))], body)
        self.finished = True

    def start(
        self, status: int, headers: _headers.Headers, length: int | None
    ) -> None:
        """Send the head of an answer, in chunks where no length is known."""
        framing = (
            (b"transfer-encoding", b"chunked")
            if length is None
            else _length(length)
        )
        self._start(status, [*headers, framing], b"")

    async def write_chunk(self, data: bytes) -> None:
        """Send one chunk and wait until the caller has room."""
        self._transport.send(b"%x\r\n%b\r\n" % (len(data), data))
        await self._transport.drained()

    def end_chunks(self) -> None:
        """Say that the answer is whole."""
        self._transport.send(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Break the answer off in a way that the caller notices."""
        self.keep = False
        self._transport.abort()

    def _start(
        self, status: int, headers: list[_headers.Header], body: bytes
    ) -> None:
        self.started = True
        self.status = status
        headers.extend(self._transport.persistent_headers(self.keep))
        line = b"HTTP/1.1 %d %b" % (status, _phrase(status))
        self._transport.send(_headers.render_head(line, headers) + body)


def _length(length: int) -> _headers.Header:
    return (b"content-length", b"%d" % length)


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"

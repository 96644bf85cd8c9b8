"""Parses the requests of one connection and accounts for their memory."""

import collections.abc
import enum
import typing

import httptools

from . import _fields
from . import _headers
from . import _limits
from . import _request

#: Allowance for the start line and line ends, beyond the header fields.
HEAD_OVERHEAD_BYTES = 4_096
#: Framing of a chunked body that is allowed for each of its bytes, such as
#: sizes of chunks; a chunk of one byte has five.
FRAMING_PER_BODY_BYTE = 8
#: Parser callbacks of one request after which it counts as expensive, and its
#: connection is parsed in turn with others like it.
EXPENSIVE_CALLBACKS = 128
#: Memory of a request beside its fields and body, including what serves it.
REQUEST_BYTES = 4_096
#: Copies of a body that exist at a time: the second is made as parts are
#: joined, and while it is sent to an endpoint.
BODY_COPIES = 2

Clock = collections.abc.Callable[[], float]


class Stage(enum.Enum):
    """What is being read."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()


class Rejection(Exception):
    """Rejects the request that is being read with a status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Sink(typing.Protocol):
    """Interface of the connection that a reader uses."""

    def continue_expected(self) -> None:
        """Tell the caller to send the body."""

    def request_read(
        self, request: _request.Request, last: bool, held_bytes: int
    ) -> None:
        """Take a complete request and the memory that it occupies.

        It is the last one if the caller says so.
        """


class RequestReader:
    """Reads requests from the bytes of one connection.

    Example::

        reader = RequestReader(sink, limits, clock)
        reader.feed(b"GET / HTTP/1.1\\r\\nhost: h\\r\\n\\r\\n")
    """

    def __init__(
        self, sink: Sink, limits: _limits.ServerLimits, clock: Clock
    ) -> None:
        #: Limits in force.
        self.limits = limits
        self.stage = Stage.IDLE
        #: When the stage began, monotonic seconds.
        self.stage_started_s = clock()
        #: Whether another protocol was asked for, which is not spoken.
        self.upgraded = False
        #: Whether the request took more work than ordinary ones.
        self.expensive = False
        self._sink = sink
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._fields = _fields.FieldCollector()
        #: Fields of the head, or those of trailers, until they are dropped.
        self._pairs = self._fields.pairs
        self._headers: _headers.Headers = ()
        self._head_bytes = 0
        self._body: bytes | bytearray = b""
        #: Length of the body that the head announced; -1 if it did not.
        self._length = -1
        self._framing_bytes = 0
        #: Bytes received since the last that belong to the body.
        self._silent_bytes = 0
        self._trailers = 0
        self._body_parts = 0
        self.expensive = False

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request being read occupies."""
        if self.stage is Stage.IDLE:
            return 0
        return (
            REQUEST_BYTES
            + self._head_bytes
            + self._fields.held_bytes
            + len(self._body) * BODY_COPIES
        )

    @property
    def announced_bytes(self) -> int:
        """Return how many bytes must come before the request can end."""
        if self.stage is not Stage.BODY:
            return 0
        return max(self._length - len(self._body), 0)

    def release(self) -> None:
        """Drop the request that is being read; nothing may follow."""
        self.stage = Stage.IDLE
        self._reset()

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes; raises :class:`Rejection`."""
        # A request that ends replaces the collector; another one below means
        # that these bytes were not all of one body.
        message = self._fields if self.stage is Stage.BODY else None
        body_before = len(self._body)
        if message is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.upgraded = True
        except httptools.HttpParserError as error:
            # The parser wraps exceptions raised by its callbacks.
            cause = error.__context__
            if isinstance(cause, Rejection):
                raise cause from error
            raise Rejection(400) from error
        if self.stage is Stage.HEAD:
            self._check_head()
        elif self.stage is Stage.BODY:
            self._drop_trailers()
            if message is self._fields:
                body_bytes = len(self._body) - body_before
                self._check_framing(len(data), body_bytes)

    def _drop_trailers(self) -> None:
        self._trailers += len(self._pairs)
        self._pairs.clear()
        callbacks = self._fields.packed + self._body_parts + self._trailers
        self.expensive = callbacks > EXPENSIVE_CALLBACKS

    def _check_head(self) -> None:
        if len(self._pairs) > _fields.PAIRS_LIMIT:
            self._fields.pack()
        self.expensive = self._fields.packed > EXPENSIVE_CALLBACKS
        limit = self.limits.header_bytes + HEAD_OVERHEAD_BYTES
        if self._head_bytes > limit:
            raise Rejection(431)

    def _check_framing(self, fed_bytes: int, body_bytes: int) -> None:
        """Bound what a chunked body has beside its bytes."""
        limits = self.limits
        self._framing_bytes += max(fed_bytes - body_bytes, 0)
        self._silent_bytes += fed_bytes
        if body_bytes > 0:
            self._silent_bytes = 0
        allowed = limits.header_bytes + FRAMING_PER_BODY_BYTE * len(self._body)
        if (
            self._silent_bytes > limits.header_bytes + HEAD_OVERHEAD_BYTES
            or self._framing_bytes > allowed
        ):
            raise Rejection(431 if self._trailers else 413)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start reading a request."""
        self.stage = Stage.HEAD
        self.stage_started_s = self._clock()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field, or one of the trailers."""
        self._pairs.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head before reading the body."""
        self.stage = Stage.BODY
        if self._fields.size_bytes() > self.limits.header_bytes:
            raise Rejection(431)
        self._pairs = []
        fields = self._headers = self._fields.fields()
        length = _headers.first_value(fields, b"content-length")
        if length is not None:
            self._length = int(length)
        if self._length > self.limits.body_bytes:
            raise Rejection(413)
        if self._parser.should_upgrade() and _body_expected(fields):
            # The parser would leave out the body.
            raise Rejection(501)
        expected = _headers.first_value(fields, b"expect")
        if expected is not None and expected.lower() == b"100-continue":
            self._sink.continue_expected()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body and enforce its size limit."""
        self._body_parts += 1
        if not self._body:
            self._body = body
        elif isinstance(self._body, bytearray):
            self._body += body
        else:
            self._body = bytearray(self._body) + body
        if len(self._body) > self.limits.body_bytes:
            raise Rejection(413)

    def on_message_complete(self) -> None:
        """Pass on the complete request."""
        now_s = self._clock()
        held_bytes = self.held_bytes
        request = _request.Request(
            method=self._parser.get_method(),
            target=self._url,
            headers=self._headers,
            body=bytes(self._body),
            has_body=_has_body(self._headers),
            started_s=self.stage_started_s,
            read_s=now_s,
        )
        keep_alive = (
            self._parser.should_keep_alive()
            and self._parser.get_http_version() == "1.1"
            and not self._parser.should_upgrade()
        )
        self.stage = Stage.IDLE
        self.stage_started_s = now_s
        self._reset()
        self._sink.request_read(request, not keep_alive, held_bytes)


def _has_body(headers: _headers.Headers) -> bool:
    return (
        _headers.first_value(headers, b"content-length") is not None
        or _headers.first_value(headers, b"transfer-encoding") is not None
    )


def _body_expected(headers: _headers.Headers) -> bool:
    """Return whether a body of at least one byte may follow a head."""
    length = _headers.first_value(headers, b"content-length")
    if length is not None:
        return int(length) > 0
    return _has_body(headers)

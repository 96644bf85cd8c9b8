"""JSON calls over HTTP on a pool of connections."""

import collections.abc
import time

import attrs
import msgspec

from .. import http1

#: Maximum size of a response body, in bytes.
RESPONSE_LIMIT_BYTES = 8_388_608
#: Longest time in which a response body may arrive, in seconds.
TRANSFER_LIMIT_S = 30.0
#: Status of a successful response.
SUCCESS = 200

#: Gets the size of a response body as it grows, in bytes.
OnBody = collections.abc.Callable[[int], None]


@attrs.frozen
class Response:
    """The response to a call."""

    #: Status and header fields.
    head: http1.ResponseHead
    body: bytes
    #: Time from the start of the call to the complete response, in seconds.
    took_s: float
    #: Time from its head to its end, in seconds.
    transfer_s: float = 0.0

    @property
    def status(self) -> int:
        """Return the status."""
        return self.head.status


class NotSent(Exception):
    """No byte of the call was sent."""


class NoResponse(Exception):
    """The call was sent, but no complete response arrived."""


@attrs.define
class _Progress:
    """What has arrived of a response, and until when more has to."""

    #: Ends the call.
    limit: http1.PeerTimeout
    #: Longest time between two parts of the body, in seconds; ``None`` if the
    #: whole call has one limit.
    stall_s: float | None
    #: Gets the size of the body so far.
    on_body: OnBody | None = None
    #: When its head was complete, monotonic seconds.
    head_s: float | None = None
    #: Bytes of its body so far.
    body_bytes: int = 0

    def note_head(self, now_s: float) -> None:
        """Record that the head is complete."""
        self.head_s = now_s
        self._extend(now_s)

    def note_body(self, size_bytes: int, now_s: float) -> None:
        """Record how much of the body has arrived."""
        self.body_bytes = size_bytes
        self._extend(now_s)
        if self.on_body is not None:
            self.on_body(size_bytes)

    def _extend(self, now_s: float) -> None:
        """Let the call go on, since its response moves."""
        if self.stall_s is None or self.head_s is None:
            return
        left_s = self.head_s + TRANSFER_LIMIT_S - now_s
        self.limit.extend(min(self.stall_s, left_s))

    def describe(self, started_s: float, now_s: float) -> str:
        """Return how far the response got, for a log line."""
        if self.head_s is None:
            return f"no head after {now_s - started_s:.2f} s"
        return (
            f"head after {self.head_s - started_s:.2f} s, then "
            f"{self.body_bytes} bytes in {now_s - self.head_s:.2f} s"
        )


def pool(host: str, port: int, limit: int) -> http1.Pool:
    """Return a pool of at most ``limit`` connections to one address."""
    created = http1.Pool(host, port)
    created.limit = limit
    return created


def pool_for_address(current: http1.Pool, host: str, port: int) -> http1.Pool:
    """Return ``current`` if it has this address, else a new pool for it."""
    if (host, port) == (current.host, current.port):
        return current
    current.close()
    return pool(host, port, current.limit)


async def call(
    pool: http1.Pool,
    method: bytes,
    target: bytes,
    body: object,
    timeout_s: float,
    headers: collections.abc.Sequence[http1.Header] = (),
    limit_bytes: int = RESPONSE_LIMIT_BYTES,
    stall_s: float | None = None,
    on_body: OnBody | None = None,
) -> Response:
    """Make one call; raises :class:`NotSent` or :class:`NoResponse`.

    The response has to arrive within ``timeout_s``. With ``stall_s`` only its
    head has to; then the call goes on as long as another part of the body
    arrives within ``stall_s``, since the time that a body takes depends on its
    size and on the link. ``on_body`` gets the size of the body of a successful
    response as it grows.
    """
    started_s = time.monotonic()
    try:
        connection = await pool.acquire(started_s)
    except http1.NotSent as error:
        raise NotSent(str(error)) from error
    limit = http1.PeerTimeout(timeout_s)
    progress = _Progress(limit, stall_s)
    try:
        payload = b"" if body is None else msgspec.json.encode(body)
        head = _head(pool, method, target, headers, payload)
        async with limit:
            connection.send(head, payload)
            response_head = await connection.head()
            head_s = time.monotonic()
            progress.note_head(head_s)
            if response_head.status == SUCCESS:
                progress.on_body = on_body
            response_body = await _body(connection, limit_bytes, progress)
    except http1.NotSent as error:
        raise NotSent(str(error)) from error
    except (http1.IncompleteResponse, TimeoutError) as error:
        how_far = progress.describe(started_s, time.monotonic())
        raise NoResponse(f"{type(error).__name__}, {how_far}") from error
    finally:
        pool.release(connection, time.monotonic())
    ended_s = time.monotonic()
    return Response(
        response_head,
        response_body,
        ended_s - started_s,
        ended_s - head_s,
    )


async def _body(
    connection: http1.ClientConnection, limit_bytes: int, progress: _Progress
) -> bytes:
    """Return the body; raises ``IncompleteResponse`` if it is too large."""
    body = bytearray()
    while data := await connection.chunk():
        body += data
        progress.note_body(len(body), time.monotonic())
        if len(body) > limit_bytes:
            raise http1.IncompleteResponse
    return bytes(body)


def _head(
    pool: http1.Pool,
    method: bytes,
    target: bytes,
    headers: collections.abc.Sequence[http1.Header],
    payload: bytes,
) -> bytes:
    fields = [(b"host", f"{pool.host}:{pool.port}".encode()), *headers]
    if payload:
        fields.append((b"content-type", b"application/json"))
    if method != b"GET":
        fields.append((b"content-length", b"%d" % len(payload)))
    line = b"%b %b HTTP/1.1" % (method, target)
    return http1.render_head(line, fields)

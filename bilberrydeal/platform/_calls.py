"""JSON calls over HTTP on a pool of connections."""

import asyncio
import collections.abc
import time

import attrs
import msgspec

from .. import http1

#: Maximum size of a response body, in bytes.
RESPONSE_LIMIT_BYTES = 8_388_608


@attrs.frozen
class Response:
    """The response to a call."""

    #: Status and header fields.
    head: http1.ResponseHead
    body: bytes
    #: Time from the start of the call to the complete response, in seconds.
    took_s: float

    @property
    def status(self) -> int:
        """Return the status."""
        return self.head.status


class NotSent(Exception):
    """No byte of the call was sent."""


class NoResponse(Exception):
    """The call was sent, but no complete response arrived."""


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
) -> Response:
    """Make one call; raises :class:`NotSent` or :class:`NoResponse`."""
    started_s = time.monotonic()
    try:
        connection = await pool.acquire(started_s)
    except http1.NotSent as error:
        raise NotSent(str(error)) from error
    try:
        payload = b"" if body is None else msgspec.json.encode(body)
        head = _head(pool, method, target, headers, payload)
        async with asyncio.timeout(timeout_s):
            connection.send(head, payload)
            response_head = await connection.head()
            response_body = await connection.body(limit_bytes)
    except http1.NotSent as error:
        raise NotSent(str(error)) from error
    except (http1.IncompleteResponse, TimeoutError) as error:
        raise NoResponse(type(error).__name__) from error
    finally:
        pool.release(connection, time.monotonic())
    return Response(response_head, response_body, time.monotonic() - started_s)


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

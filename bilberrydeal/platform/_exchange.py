"""One JSON call over a pool of connections."""

import asyncio
import collections.abc
import time

import attrs
import msgspec

from .. import http1

#: Largest answer that is read, in bytes.
ANSWER_LIMIT_BYTES = 8_388_608


@attrs.frozen
class Answer:
    """The answer to a call."""

    status: int
    body: bytes
    #: Monotonic time between sending and the whole answer, in seconds.
    took_s: float


class NotSent(Exception):
    """The call was never sent."""


class NoAnswer(Exception):
    """The call was sent and its answer did not come whole."""


def pool(host: str, port: int, limit: int) -> http1.Pool:
    """Return a pool of at most so many connections to one address."""
    made = http1.Pool(host, port)
    made.limit = limit
    return made


def moved(before: http1.Pool, host: str, port: int) -> http1.Pool:
    """Return a pool like one before, for an address that may have changed."""
    if (host, port) == (before.host, before.port):
        return before
    before.close()
    return pool(host, port, before.limit)


async def call(
    pool: http1.Pool,
    method: bytes,
    target: bytes,
    body: object,
    timeout_s: float,
    headers: collections.abc.Sequence[http1.Header] = (),
) -> Answer:
    """Make one call; raises :class:`NotSent` or :class:`NoAnswer`."""
    began_s = time.monotonic()
    try:
        connection = await pool.take(began_s)
    except http1.Unsent as error:
        raise NotSent(str(error)) from error
    try:
        content = b"" if body is None else msgspec.json.encode(body)
        head = _head(pool, method, target, headers, content)
        async with asyncio.timeout(timeout_s):
            connection.send(head, content)
            answered = await connection.head()
            read = await connection.body(ANSWER_LIMIT_BYTES)
    except http1.Unsent as error:
        raise NotSent(str(error)) from error
    except (http1.Broken, TimeoutError) as error:
        raise NoAnswer(type(error).__name__) from error
    finally:
        pool.give_back(connection, time.monotonic())
    return Answer(answered.status, read, time.monotonic() - began_s)


def _head(
    pool: http1.Pool,
    method: bytes,
    target: bytes,
    headers: collections.abc.Sequence[http1.Header],
    content: bytes,
) -> bytes:
    fields = [(b"host", f"{pool.host}:{pool.port}".encode()), *headers]
    if content:
        fields.append((b"content-type", b"application/json"))
    if method != b"GET":
        fields.append((b"content-length", b"%d" % len(content)))
    line = b"%b %b HTTP/1.1" % (method, target)
    return http1.render_head(line, fields)

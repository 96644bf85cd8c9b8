"""Responses without length or chunks, which end with their connection."""

import asyncio
import collections.abc
import itertools

import pytest
import uvloop

from ... import http1
from . import harness

ID = b"request-id"
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\nrequest-id: 7\r\n\r\n"
PAUSE_S = 0.05

LoopFactory = collections.abc.Callable[[], asyncio.AbstractEventLoop]
#: The event loops that processes and tests use.
LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]
CLOSE = b"connection: close\r\n"


def _head(
    version: bytes = b"1.1",
    status: int = 200,
    fields: bytes = b"",
    request_id: bytes = b"7",
) -> bytes:
    return b"HTTP/%b %d X\r\nrequest-id: %b\r\n%b\r\n" % (
        version,
        status,
        request_id,
        fields,
    )


async def _exchange(
    answer: bytes, ending: harness.Ending, pause_s: float
) -> tuple[bytes | None, http1.ClientConnection]:
    """Return the body, ``None`` if incomplete, and the connection."""
    async with harness.scripted(
        answer, ending=ending, pause_s=pause_s
    ) as peer:
        connection = await http1.connect("127.0.0.1", peer.port, 1.0, ID)
        connection.send(REQUEST, b"", b"7")
        try:
            async with asyncio.timeout(2.0):
                await connection.head()
                return await connection.body(10_000), connection
        except http1.IncompleteResponse:
            return None, connection
        finally:
            connection.abort()


def _run(
    loop: LoopFactory,
    answer: bytes,
    ending: harness.Ending,
    pause_s: float = 0.0,
) -> tuple[bytes | None, http1.ClientConnection]:
    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(_exchange(answer, ending, pause_s))


@pytest.mark.parametrize(
    ("version", "fields", "body", "ending", "pause_s"),
    list(
        itertools.product(
            [b"1.1", b"1.0"],
            [b"", CLOSE],
            [b"", b"ours"],
            harness.Ending,
            [0.0, PAUSE_S],
        )
    ),
)
@pytest.mark.parametrize("loop", LOOPS)
def test_only_a_clean_end_completes_a_response_without_length(
    loop: LoopFactory,
    version: bytes,
    fields: bytes,
    body: bytes,
    ending: harness.Ending,
    pause_s: float,
) -> None:
    answer = _head(version, fields=fields) + body
    received, connection = _run(loop, answer, ending, pause_s)
    clean = ending is harness.Ending.CLOSE
    assert received == (body if clean else None)
    assert connection.closed


@pytest.mark.parametrize("ending", harness.Ending)
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(_head()[:-3], id="in a head"),
        pytest.param(
            _head(request_id=b"6") + _head() + b"ours",
            id="late response to another request without length first",
        ),
        pytest.param(
            _head() + b"ours" + _head() + b"ours", id="extra response"
        ),
        pytest.param(
            _head() + b"ours" + _head(request_id=b"6") + b"theirs",
            id="late response to another request after it",
        ),
        pytest.param(
            _head() + _head(fields=b"content-length: 4\r\n") + b"ours",
            id="empty body and extra response",
        ),
    ],
)
@pytest.mark.parametrize("loop", LOOPS)
def test_response_mixed_with_others_is_never_complete(
    loop: LoopFactory, answer: bytes, ending: harness.Ending
) -> None:
    received, connection = _run(loop, answer, ending, PAUSE_S)
    assert received is None
    assert connection.closed


@pytest.mark.parametrize("loop", LOOPS)
def test_late_response_with_a_length_is_skipped_before_one_without(
    loop: LoopFactory,
) -> None:
    late = _head(fields=b"content-length: 6\r\n", request_id=b"6") + b"theirs"
    received, connection = _run(
        loop, late + _head() + b"ours", harness.Ending.CLOSE
    )
    assert received == b"ours"
    assert connection.closed


@pytest.mark.parametrize(
    ("version", "fields", "reusable"),
    [
        (b"1.1", b"", True),
        (b"1.1", CLOSE, False),
        (b"1.0", b"", False),
        (b"1.0", b"connection: keep-alive\r\n", True),
    ],
)
@pytest.mark.parametrize(
    ("status", "length", "body"),
    [
        (204, b"", b""),
        (304, b"", b""),
        (304, b"content-length: 4\r\n", b""),
        (200, b"content-length: 4\r\n", b"ours"),
        (200, b"content-length: 0\r\n", b""),
    ],
)
@pytest.mark.parametrize("loop", LOOPS)
def test_connection_is_used_again_only_if_the_peer_keeps_it(
    loop: LoopFactory,
    status: int,
    length: bytes,
    body: bytes,
    version: bytes,
    fields: bytes,
    reusable: bool,
) -> None:
    async def exchange() -> tuple[bytes, bool]:
        answer = _head(version, status, length + fields) + body
        async with harness.scripted(answer, close=False) as peer:
            connection = await http1.connect("127.0.0.1", peer.port, 1.0, ID)
            connection.send(REQUEST, b"", b"7")
            async with asyncio.timeout(2.0):
                await connection.head()
                received = await connection.body(10_000)
            return received, not connection.closed

    with asyncio.Runner(loop_factory=loop) as runner:
        assert runner.run(exchange()) == (body, reusable)

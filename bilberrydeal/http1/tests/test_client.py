"""Tests complete, incomplete and foreign responses on the client side."""

import asyncio
import time

import pytest

from ... import http1
from . import harness

ID = b"request-id"
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\nrequest-id: 7\r\n\r\n"


def _response(
    body: bytes, request_id: bytes = b"7", extra: bytes = b""
) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\n%bcontent-length: %d\r\n\r\n%b"
        % (request_id, extra, len(body), body)
    )


async def _request(port: int) -> tuple[http1.ClientConnection, bytes]:
    connection = await http1.connect("127.0.0.1", port, 1.0, ID)
    connection.send(REQUEST, b"", b"7")
    async with asyncio.timeout(2.0):
        await connection.head()
        return connection, await connection.body(10_000)


@pytest.mark.parametrize(
    ("answer", "reusable"),
    [
        pytest.param(_response(b"ours"), True, id="plain"),
        pytest.param(
            b"HTTP/1.1 100 Continue\r\n\r\n" + _response(b"ours"),
            True,
            id="interim response",
        ),
        pytest.param(
            _response(b"theirs", b"6") + _response(b"ours"),
            False,
            id="late response to another request first",
        ),
        pytest.param(
            _response(b"ours") + _response(b"ours"),
            False,
            id="duplicate response",
        ),
        pytest.param(
            _response(b"ours") + b"garbage", False, id="trailing bytes"
        ),
        pytest.param(
            _response(b"ours", extra=b"connection: close\r\n"),
            False,
            id="peer closes",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n"
            b"transfer-encoding: chunked\r\n\r\n2\r\nou\r\n2\r\nrs\r\n"
            b"0\r\n\r\n",
            True,
            id="chunks",
        ),
    ],
)
async def test_complete_response_is_received(
    answer: bytes, reusable: bool
) -> None:
    async with harness.scripted(answer, close=False) as peer:
        connection, body = await _request(peer.port)
        await asyncio.sleep(0.02)
        assert body == b"ours"
        assert connection.closed != reusable


async def test_response_without_length_ends_at_eof() -> None:
    answer = b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\r\nours"
    async with harness.scripted(answer) as peer:
        connection, body = await _request(peer.port)
    assert body == b"ours"
    assert connection.closed


@pytest.mark.parametrize(
    ("answer", "reset"),
    [
        pytest.param(_response(b"ours")[:-1], False, id="truncated body"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\r\nours",
            True,
            id="no length and reset",
        ),
        pytest.param(None, False, id="closed without a response"),
        pytest.param(b"nonsense\r\n\r\n", False, id="not HTTP"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n"
            b"transfer-encoding: chunked\r\n\r\n2\r\nou\r\n",
            False,
            id="no last chunk",
        ),
        pytest.param(
            _response(b"theirs", b"6"), False, id="response to another request"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
            False,
            id="success without a request id",
        ),
    ],
)
async def test_incomplete_response_is_broken(
    answer: bytes | None, reset: bool
) -> None:
    async with harness.scripted(answer, reset=reset) as peer:
        with pytest.raises(http1.IncompleteResponse):
            await _request(peer.port)


async def test_request_without_id_accepts_response_without_id() -> None:
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
    async with harness.scripted(answer, close=False) as peer:
        connection = await http1.connect("127.0.0.1", peer.port, 1.0, ID)
        connection.send(b"GET /report HTTP/1.1\r\nhost: h\r\n\r\n", b"")
        async with asyncio.timeout(1.0):
            await connection.head()
            assert await connection.body(10) == b"{}"


async def test_unsolicited_bytes_close_an_idle_connection() -> None:
    async with harness.scripted(_response(b"ours"), close=False) as peer:
        connection, _body = await _request(peer.port)
        assert not connection.closed
        peer.writers[0].write(_response(b"late"))
        await asyncio.sleep(0.05)
        assert connection.closed


async def test_pool_reuses_connections_within_its_limit() -> None:
    answers = [_response(b"ours")] * 3
    async with harness.scripted(*answers, close=False) as peer:
        pool = http1.Pool("127.0.0.1", peer.port, ID)
        pool.limit = 1
        for _ in range(3):
            connection = await pool.acquire(time.monotonic())
            with pytest.raises(http1.NotSent):
                await pool.acquire(time.monotonic())
            connection.send(REQUEST, b"", b"7")
            await connection.head()
            await connection.body(100)
            pool.release(connection, time.monotonic())
        assert pool.opened == 1
        assert pool.busy == 0
        pool.close_expired(time.monotonic() + 60.0)
        assert connection.closed


async def test_refused_connection_is_unsent() -> None:
    async with harness.scripted(None) as peer:
        port = peer.port
    with pytest.raises(http1.NotSent):
        await http1.connect("127.0.0.1", port, 0.5)

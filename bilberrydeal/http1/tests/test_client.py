"""What becomes of answers that are whole, broken or not ours."""

import asyncio
import time

import pytest

from ... import http1
from . import harness

ID = b"request-id"
ASK = b"GET / HTTP/1.1\r\nhost: h\r\nrequest-id: 7\r\n\r\n"


def _answer(
    body: bytes, request_id: bytes = b"7", extra: bytes = b""
) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\n%bcontent-length: %d\r\n\r\n%b"
        % (request_id, extra, len(body), body)
    )


async def _ask(port: int) -> tuple[http1.ClientConnection, bytes]:
    connection = await http1.connect("127.0.0.1", port, 1.0, ID)
    connection.send(ASK, b"", b"7")
    async with asyncio.timeout(2.0):
        await connection.head()
        return connection, await connection.body(10_000)


@pytest.mark.parametrize(
    ("answer", "reusable"),
    [
        pytest.param(_answer(b"ours"), True, id="plain"),
        pytest.param(
            b"HTTP/1.1 100 Continue\r\n\r\n" + _answer(b"ours"),
            True,
            id="interim answer",
        ),
        pytest.param(
            _answer(b"theirs", b"6") + _answer(b"ours"),
            False,
            id="late answer to another request first",
        ),
        pytest.param(
            _answer(b"ours") + _answer(b"ours"),
            False,
            id="a second copy after it",
        ),
        pytest.param(
            _answer(b"ours") + b"garbage", False, id="bytes after it"
        ),
        pytest.param(
            _answer(b"ours", extra=b"connection: close\r\n"),
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
async def test_an_answer_is_taken(answer: bytes, reusable: bool) -> None:
    async with harness.scripted(answer, close=False) as peer:
        connection, body = await _ask(peer.port)
        await asyncio.sleep(0.02)
        assert body == b"ours"
        assert connection.closed != reusable


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    answer = b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\r\nours"
    async with harness.scripted(answer) as peer:
        connection, body = await _ask(peer.port)
    assert body == b"ours"
    assert connection.closed


@pytest.mark.parametrize(
    ("answer", "reset"),
    [
        pytest.param(_answer(b"ours")[:-1], False, id="cut body"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\r\nours",
            True,
            id="no length and reset",
        ),
        pytest.param(None, False, id="closed without an answer"),
        pytest.param(b"nonsense\r\n\r\n", False, id="no answer at all"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n"
            b"transfer-encoding: chunked\r\n\r\n2\r\nou\r\n",
            False,
            id="no last chunk",
        ),
        pytest.param(_answer(b"theirs", b"6"), False, id="another's answer"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
            False,
            id="success that names no request",
        ),
    ],
)
async def test_an_answer_is_not_whole(
    answer: bytes | None, reset: bool
) -> None:
    async with harness.scripted(answer, reset=reset) as peer:
        with pytest.raises(http1.Broken):
            await _ask(peer.port)


async def test_a_call_without_an_id_takes_an_answer_without_one() -> None:
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
    async with harness.scripted(answer, close=False) as peer:
        connection = await http1.connect("127.0.0.1", peer.port, 1.0, ID)
        connection.send(b"GET /report HTTP/1.1\r\nhost: h\r\n\r\n", b"")
        async with asyncio.timeout(1.0):
            await connection.head()
            assert await connection.body(10) == b"{}"


async def test_unasked_bytes_end_an_idle_connection() -> None:
    async with harness.scripted(_answer(b"ours"), close=False) as peer:
        connection, _body = await _ask(peer.port)
        assert not connection.closed
        peer.writers[0].write(_answer(b"late"))
        await asyncio.sleep(0.05)
        assert connection.closed


async def test_a_pool_keeps_connections_and_its_limit() -> None:
    answers = [_answer(b"ours")] * 3
    async with harness.scripted(*answers, close=False) as peer:
        pool = http1.Pool("127.0.0.1", peer.port, ID)
        pool.limit = 1
        for _ in range(3):
            connection = await pool.take(time.monotonic())
            with pytest.raises(http1.Unsent):
                await pool.take(time.monotonic())
            connection.send(ASK, b"", b"7")
            await connection.head()
            await connection.body(100)
            pool.give_back(connection, time.monotonic())
        assert pool.opened == 1
        assert pool.busy == 0
        pool.sweep(time.monotonic() + 60.0)
        assert connection.closed


async def test_nobody_listens() -> None:
    async with harness.scripted(None) as peer:
        port = peer.port
    with pytest.raises(http1.Unsent):
        await http1.connect("127.0.0.1", port, 0.5)

"""Memory that a gateway uses for bytes without end."""

import asyncio
import tracemalloc

import pytest

from . import harness

SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
PIECE_BYTES = 65_536
#: Bytes that an endpoint sends in all, unless the gateway closes before.
ENDLESS_BYTES = 64_000_000
#: Bytes that one request may take: a head, a body or an event of the largest
#: size, its copies, and what the two ends of the connection buffer.
LIMIT_BYTES = 16_000_000
HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = HEAD + b"request-id: r1\r\nserver-signature: s\r\n"
CHUNKED = SIGNED + b"transfer-encoding: chunked\r\n\r\n"

ENDLESS = [
    pytest.param(b"", b"y" * PIECE_BYTES, id="status line"),
    pytest.param(HEAD, b"x-a: y\r\n" * 8_192, id="fields"),
    pytest.param(HEAD + b"x-a: ", b"y" * PIECE_BYTES, id="field"),
    pytest.param(
        b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_048, id="interim responses"
    ),
    pytest.param(
        b"",
        (HEAD + b"request-id: x\r\ncontent-length: 0\r\n\r\n") * 1_024,
        id="responses to other requests",
    ),
    pytest.param(SIGNED + b"\r\n", b"y" * PIECE_BYTES, id="body"),
    pytest.param(CHUNKED, harness.chunk(b"y" * PIECE_BYTES), id="chunks"),
    pytest.param(CHUNKED, harness.chunk(b"y") * 4_096, id="small chunks"),
    pytest.param(
        CHUNKED + b"1;", b"y" * PIECE_BYTES, id="extension of a chunk"
    ),
    pytest.param(CHUNKED + b"0\r\n", b"x-a: y\r\n" * 8_192, id="trailers"),
    pytest.param(
        CHUNKED,
        harness.chunk(b": no event\n" * 4_096),
        id="comments",
    ),
]


def _endless(start: bytes, piece: bytes) -> harness.Script:
    async def script(call: harness.Call) -> bytes:
        call.writer.write(start)
        for _ in range(ENDLESS_BYTES // len(piece)):
            call.writer.write(piece)
            await call.writer.drain()
        await asyncio.sleep(30.0)
        return b""

    return script


@pytest.mark.parametrize("path", ["/once/1", "/chat-long/1"])
@pytest.mark.parametrize(("start", "piece"), ENDLESS)
async def test_bytes_without_end_take_bounded_memory(
    start: bytes, piece: bytes, path: str
) -> None:
    script = _endless(start, piece)
    endpoints = [
        harness.plain("e1", script),
        harness.engine("d1", "decode", script),
    ]
    tracemalloc.start()
    try:
        async with harness.running(*endpoints) as running:
            reply = await running.stream(
                path, deadline_ms=9_000, wait_s=10.0, **SHORT
            )
        _now, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert reply.status in (200, 502, 504)
    assert reply.status != 200 or not reply.complete
    assert peak_bytes < LIMIT_BYTES


async def test_caller_that_reads_nothing_takes_bounded_memory() -> None:
    """The engine sends sound events without end."""
    event = b"id: 1\ndata: " + b"e" * 1_000 + b"\n\n"
    script = _endless(CHUNKED, harness.chunk(event * 64))
    tracemalloc.start()
    try:
        async with harness.running(
            harness.engine("d1", "decode", script)
        ) as running:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", running.server.port, limit=1_024
            )
            writer.write(
                b"POST /chat-one/1 HTTP/1.1\r\nhost: h.example\r\n"
                b"request-id: r1\r\nkey: k1\r\ndeadline-ms: 1500\r\n"
                b"token-usage: 120,10\r\nprefix-hash: aa:50,bb:70\r\n"
                b"content-length: 0\r\n\r\n"
            )
            await reader.readline()
            await asyncio.sleep(1.0)
            _now, peak_bytes = tracemalloc.get_traced_memory()
            writer.transport.abort()
    finally:
        tracemalloc.stop()
    assert peak_bytes < LIMIT_BYTES

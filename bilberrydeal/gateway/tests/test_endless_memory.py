"""Memory that a gateway uses for bytes without end."""

import asyncio
import time
import tracemalloc

import pytest

from . import harness
from . import scripted

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
    pytest.param(CHUNKED, scripted.chunk(b"y" * PIECE_BYTES), id="chunks"),
    pytest.param(CHUNKED, scripted.chunk(b"y") * 4_096, id="small chunks"),
    pytest.param(
        CHUNKED + b"1;", b"y" * PIECE_BYTES, id="extension of a chunk"
    ),
    pytest.param(CHUNKED + b"0\r\n", b"x-a: y\r\n" * 8_192, id="trailers"),
    pytest.param(
        CHUNKED,
        scripted.chunk(b": no event\n" * 4_096),
        id="comments",
    ),
]


def _endless(start: bytes, piece: bytes) -> scripted.Script:
    async def script(call: scripted.Call) -> bytes:
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
        scripted.plain("e1", script),
        scripted.engine("d1", "decode", script),
    ]
    tracemalloc.start()
    try:
        async with harness.running(*endpoints) as running:
            reply = await running.stream(
                path, deadline_ms=9_000, wait_s=60.0, **SHORT
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
    script = _endless(CHUNKED, scripted.chunk(event * 64))
    tracemalloc.start()
    try:
        async with harness.running(
            scripted.engine("d1", "decode", script)
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


#: Streams that faulty engines serve at once.
STREAMS = 96
#: Memory that the bytes of one channel may take: what a gateway of 300 MB has
#: left for each of the 370 channels of an engine.
CHANNEL_BYTES = 540_000


#: Interval between pieces that a faulty engine sends on a stream, in seconds.
PIECE_INTERVAL_S = 0.01
#: Longest time that a plain request may take beside it, in seconds.
PLAIN_LIMIT_S = 1.0


async def _no_events(call: scripted.Call) -> bytes:
    """Send bytes that are no events, until the caller closes."""
    call.writer.write(CHUNKED.replace(b"r1", call.request_id))
    piece = scripted.chunk(b"!\n" * 4_400)
    while True:
        call.writer.write(piece)
        await call.writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)


def _faulty_engines() -> list[scripted.Endpoint]:
    return [scripted.engine(f"d{n}", "decode", _no_events) for n in range(6)]


async def test_many_streams_without_events_leave_others_alone() -> None:
    """Guards against a process that a faulty engine fills, or keeps busy."""
    endpoints = [scripted.plain("e1", _sound), *_faulty_engines()]
    async with harness.running(*endpoints) as running:
        streams = [
            asyncio.ensure_future(
                running.stream("/chat-one/1", deadline_ms=4_000, **SHORT)
            )
            for _ in range(STREAMS)
        ]
        took_s = []
        while not all(stream.done() for stream in streams):
            began_s = time.monotonic()
            reply = await running.send("/once/1", deadline_ms=2_000)
            took_s.append(time.monotonic() - began_s)
            assert reply.status == 200
            await asyncio.sleep(0.05)
    assert max(took_s) < PLAIN_LIMIT_S
    replies = await asyncio.gather(*streams)
    assert not any(reply.complete and reply.body for reply in replies)


async def test_many_streams_without_events_take_bounded_memory() -> None:
    """Guards against a process that ends as a faulty engine fills it."""
    tracemalloc.start()
    try:
        async with harness.running(*_faulty_engines()) as running:
            streams = [
                running.stream("/chat-one/1", deadline_ms=30_000, **SHORT)
                for _ in range(STREAMS)
            ]
            replies = await asyncio.gather(*streams)
        _now, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert not any(reply.complete and reply.body for reply in replies)
    assert peak_bytes < STREAMS * CHANNEL_BYTES


async def _sound(call: scripted.Call) -> bytes:
    return scripted.signed_response(call)

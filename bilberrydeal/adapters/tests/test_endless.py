"""Bytes that are no answer and come without end."""

import asyncio
import collections.abc
import tracemalloc

import pytest

from ... import adapters
from ... import errors
from ... import ports
from . import peer

#: Timeout of a call; answers that are given up earlier are given up by size.
TIMEOUT_S = 20.0
#: Time within which bytes without end are given up.
GIVEN_UP_S = 10.0
#: Memory that one call may need: twice the largest body.
PEAK_LIMIT_BYTES = 128 * 1024 * 1024
PIECE_BYTES = 65_536
PLAIN_REQUEST = ports.PlainRequest("r", "PUT", "/x", "o", "text/plain", b"b")
ENGINE_REQUEST = ports.EngineRequest("r1", "m", "p", max_tokens=4)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


def _endless(start: bytes, piece: bytes) -> peer.Script:
    """Send bytes until the caller closes."""

    async def script(writer: asyncio.StreamWriter, _number: int) -> None:
        writer.write(start)
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()

    return script


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


ENDLESS = [
    pytest.param(HEAD + b"\r\n", b"x" * PIECE_BYTES, id="body"),
    pytest.param(CHUNKED, _chunk(b"x" * PIECE_BYTES), id="chunks"),
    pytest.param(CHUNKED, _chunk(b"x" * 1_024) * 64, id="small chunks"),
    pytest.param(
        HEAD + b"content-length: 99999999999\r\n\r\n",
        b"x" * PIECE_BYTES,
        id="huge length",
    ),
    pytest.param(HEAD, b"x-a: " + b"y" * 4_000 + b"\r\n", id="fields"),
    pytest.param(HEAD + b"x-a: ", b"y" * PIECE_BYTES, id="field"),
    pytest.param(b"", b"y" * PIECE_BYTES, id="status line"),
    pytest.param(CHUNKED + b"0\r\n", b"x-a: y\r\n" * 4_096, id="trailers"),
]


async def _bounded(
    call: collections.abc.Awaitable[object],
) -> tuple[float, int]:
    """Return how long a call takes and the memory that it needs at most."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tracemalloc.start()
    try:
        with pytest.raises(errors.BilberrydealError):
            await call
        _now, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return loop.time() - began_s, peak_bytes


async def _drained(
    events: collections.abc.AsyncIterator[ports.EngineEvent],
) -> None:
    async for _event in events:
        pass


@pytest.mark.parametrize(("start", "piece"), ENDLESS)
async def test_answer_without_end_is_given_up(
    start: bytes, piece: bytes
) -> None:
    script = _endless(start, piece)
    async with peer.serving(script) as (session, url):
        plain = adapters.PLAIN.get("http")(session, url)
        engine = adapters.ENGINES.get("openai_http")(session, url)
        objects = adapters.OBJECTS.get("http_json")(session, url)
        for call in (
            plain.call(PLAIN_REQUEST, TIMEOUT_S),
            engine.state(TIMEOUT_S),
            objects.get("a", TIMEOUT_S),
            _drained(engine.generate(ENGINE_REQUEST, TIMEOUT_S)),
        ):
            took_s, peak_bytes = await _bounded(call)
            assert took_s < GIVEN_UP_S
            assert peak_bytes < PEAK_LIMIT_BYTES


async def test_bytes_that_are_no_event_do_not_prolong_a_stream() -> None:
    async def script(writer: asyncio.StreamWriter, _number: int) -> None:
        writer.write(CHUNKED)
        while not writer.is_closing():
            writer.write(_chunk(b": still here\n\n") + _chunk(b"d"))
            await writer.drain()
            await asyncio.sleep(0.02)

    async with peer.serving(script) as (session, url):
        engine = adapters.ENGINES.get("openai_http")(session, url)
        events = engine.generate(ENGINE_REQUEST, 0.5)
        took_s, _peak_bytes = await _bounded(_drained(events))
    assert took_s < GIVEN_UP_S


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64, id="interim"),
        pytest.param(CHUNKED + b"1;", b"y" * PIECE_BYTES, id="extension"),
        pytest.param(CHUNKED, _chunk(b"x") * 4_096, id="single bytes"),
    ],
)
async def test_bytes_that_a_parser_skips_do_not_prolong_a_call(
    start: bytes, piece: bytes
) -> None:
    script = _endless(start, piece)
    async with peer.serving(script) as (session, url):
        plain = adapters.PLAIN.get("http")(session, url)
        took_s, peak_bytes = await _bounded(plain.call(PLAIN_REQUEST, 0.5))
    assert took_s < GIVEN_UP_S
    assert peak_bytes < PEAK_LIMIT_BYTES

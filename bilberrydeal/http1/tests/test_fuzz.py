"""Fuzz tests: no input stops the server or smuggles a request."""

import asyncio

import hypothesis
from hypothesis import strategies

from ... import http1
from . import harness

FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
PIECES = strategies.sampled_from(
    [
        b"GET /a HTTP/1.1\r\n",
        b"POST /b HTTP/1.1\r\n",
        b"host: h\r\n",
        b"content-length: 3\r\n",
        b"content-length: 0\r\n",
        b"content-length: 3, 4\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding: chunked, identity\r\n",
        b"connection: upgrade\r\nupgrade: x\r\n",
        b"\r\n",
        b"\n",
        b"abc",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n",
        b"\x00\xff",
        b" folded\r\n",
        b"x" * 500,
    ]
)


async def _send(pieces: list[bytes]) -> list[http1.Request]:
    """Send pieces one by one, then a valid request on a new connection."""
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        for piece in pieces:
            writer.write(piece)
        if writer.can_write_eof():
            writer.write_eof()
        async with asyncio.timeout(5.0):
            try:
                await reader.read()
            except ConnectionError:
                pass
        writer.close()
        good = b"GET /good HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        response = await harness.exchange(server.port, good)
        assert response.startswith(b"HTTP/1.1 200")
        await server.wait_closed(1.0)
        assert server.budget.used_bytes == 0
    return recorder.requests


@FUZZ
@hypothesis.given(pieces=strategies.lists(PIECES, max_size=12))
def test_server_survives_random_pieces(pieces: list[bytes]) -> None:
    asyncio.run(_send(pieces))


@FUZZ
@hypothesis.given(data=strategies.binary(max_size=300))
def test_server_survives_random_bytes(data: bytes) -> None:
    asyncio.run(_send([data]))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
@hypothesis.given(
    bodies=strategies.lists(strategies.binary(max_size=200), max_size=6),
    piece_bytes=strategies.integers(min_value=1, max_value=50),
)
def test_body_framing_survives_any_segmentation(
    bodies: list[bytes], piece_bytes: int
) -> None:
    """Bodies that look like requests are not parsed as requests."""
    data = b"".join(
        b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n%b"
        % (len(body), body)
        for body in bodies
    )
    pieces = [
        data[at : at + piece_bytes] for at in range(0, len(data), piece_bytes)
    ]
    requests = asyncio.run(_send(pieces))
    assert [each.body for each in requests[:-1]] == bodies[: len(requests) - 1]

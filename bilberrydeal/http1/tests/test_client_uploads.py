"""Responses without length that end while the request is being written."""

import asyncio
import collections.abc
import enum
import socket
import struct

import pytest
import uvloop

from ... import http1

ID = b"request-id"
#: Sizes that the buffers of two sockets hold in part, and not at all.
UPLOADS = [b"u" * 900_000, b"u" * 16_000_000]
HEAD = (
    b"POST / HTTP/1.1\r\nhost: h\r\nrequest-id: 7\r\n"
    b"content-length: %d\r\n\r\n"
)
ANSWER = b"HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\r\nours"
PAUSE_S = 0.05
#: Sizes of receive buffers that hold little and all of a request.
BUFFERS = [8_192, 4_000_000]

LoopFactory = collections.abc.Callable[[], asyncio.AbstractEventLoop]


class Ending(enum.Enum):
    """How a peer ends a connection whose request it hasn't read."""

    RESET = "reset"
    #: Closes its socket while bytes are unread, which resets as well.
    UNREAD = "unread"
    #: Ends its own direction, then closes its socket with bytes unread.
    ENDED_UNREAD = "ended, unread"
    #: Ends its own direction, then reads the rest.
    HALF_CLOSED = "half closed"
    READ_FIRST = "read first"


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    upload: bytes,
    ending: Ending,
    pause_s: float,
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    if ending is Ending.READ_FIRST:
        await reader.readexactly(len(upload))
    writer.write(ANSWER)
    await writer.drain()
    await asyncio.sleep(pause_s)
    if ending in (Ending.HALF_CLOSED, Ending.ENDED_UNREAD):
        writer.write_eof()
        await asyncio.sleep(pause_s)
    if ending is Ending.HALF_CLOSED:
        await reader.readexactly(len(upload))
    if ending is Ending.RESET:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def _exchange(
    upload: bytes,
    ending: Ending,
    pause_s: float,
    buffer_bytes: int = BUFFERS[0],
) -> bytes | None:
    """Return the body, ``None`` if the response is incomplete."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _serve(reader, writer, upload, ending, pause_s)

    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listening)
    port = server.sockets[0].getsockname()[1]
    connection = await http1.connect("127.0.0.1", port, 1.0, ID)
    try:
        connection.send(HEAD % len(upload), upload, b"7")
        async with asyncio.timeout(5.0):
            await connection.head()
            return await connection.body(10_000)
    except http1.IncompleteResponse:
        return None
    finally:
        connection.abort()
        server.close()


#: Event loops of a gateway.
LOOPS = pytest.mark.parametrize(
    "loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)
#: Endings, and what of the response counts.
ENDINGS = pytest.mark.parametrize(
    ("ending", "expected"),
    [
        (Ending.RESET, None),
        (Ending.UNREAD, None),
        (Ending.ENDED_UNREAD, None),
        (Ending.HALF_CLOSED, b"ours"),
        (Ending.READ_FIRST, b"ours"),
    ],
)


@LOOPS
@pytest.mark.parametrize("upload", UPLOADS, ids=len)
@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S])
@ENDINGS
def test_response_reset_while_its_request_is_written_is_not_whole(
    loop: LoopFactory,
    upload: bytes,
    pause_s: float,
    ending: Ending,
    expected: bytes | None,
) -> None:
    for _attempt in range(4):
        with asyncio.Runner(loop_factory=loop) as runner:
            assert runner.run(_exchange(upload, ending, pause_s)) == expected


@LOOPS
@pytest.mark.parametrize("buffer_bytes", BUFFERS)
@pytest.mark.parametrize("pause_s", [0.0, 0.005, PAUSE_S])
@ENDINGS
def test_response_reset_after_its_request_was_acknowledged_is_not_whole(
    loop: LoopFactory,
    buffer_bytes: int,
    pause_s: float,
    ending: Ending,
    expected: bytes | None,
) -> None:
    """A host acknowledges bytes that its process never reads."""
    for _attempt in range(4):
        with asyncio.Runner(loop_factory=loop) as runner:
            received = runner.run(
                _exchange(UPLOADS[0], ending, pause_s, buffer_bytes)
            )
            assert received == expected

"""Answers without length that end before their request was read."""

import asyncio
import collections.abc
import enum
import socket
import struct

import pytest
import uvloop

from ... import adapters
from ... import ports

TIMEOUT_S = 3.0
PAUSE_S = 0.05
UPLOADS = [b"u" * 300_000, b"u" * 900_000]
#: Sizes of receive buffers that hold little and all of a request.
BUFFERS = [8_192, 4_000_000]
ANSWER = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nours"

LoopFactory = collections.abc.Callable[[], asyncio.AbstractEventLoop]
LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


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
    size_bytes: int,
    ending: Ending,
    pause_s: float,
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    if ending is Ending.READ_FIRST:
        await reader.readexactly(size_bytes)
    writer.write(ANSWER)
    await writer.drain()
    await asyncio.sleep(pause_s)
    if ending in (Ending.HALF_CLOSED, Ending.ENDED_UNREAD):
        writer.write_eof()
        await asyncio.sleep(pause_s)
    if ending is Ending.HALF_CLOSED:
        await reader.readexactly(size_bytes)
    if ending is Ending.RESET:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def _call(
    upload: bytes, buffer_bytes: int, ending: Ending, pause_s: float
) -> bytes | None:
    """Return the body of an answer, ``None`` if it was not complete."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _serve(reader, writer, len(upload), ending, pause_s)

    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listening)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    request = ports.PlainRequest("r", "PUT", "/x", "o", "text/plain", upload)
    try:
        async with adapters.open_session(connection_limit=0) as session:
            client = adapters.PLAIN.get("http")(session, url)
            return (await client.call(request, TIMEOUT_S)).body
    except ports.PlainFailure as error:
        if not error.started:
            raise
        return None
    finally:
        server.close()


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("upload", UPLOADS, ids=len)
@pytest.mark.parametrize("buffer_bytes", BUFFERS)
@pytest.mark.parametrize("pause_s", [0.0, 0.005, PAUSE_S])
@pytest.mark.parametrize(
    ("ending", "expected"),
    [
        (Ending.RESET, None),
        (Ending.UNREAD, None),
        (Ending.ENDED_UNREAD, None),
        (Ending.HALF_CLOSED, b"ours"),
        (Ending.READ_FIRST, b"ours"),
    ],
)
def test_answer_that_ends_before_its_request_was_read_is_not_whole(
    loop: LoopFactory,
    upload: bytes,
    buffer_bytes: int,
    pause_s: float,
    ending: Ending,
    expected: bytes | None,
) -> None:
    with asyncio.Runner(loop_factory=loop) as runner:
        answer = runner.run(_call(upload, buffer_bytes, ending, pause_s))
    assert answer == expected

"""Endpoints that end a connection while or after a caller uploads slowly."""

import asyncio
import collections.abc
import enum
import re
import socket
import struct

import pytest
import uvloop

from . import configurations
from . import harness
from . import scripted

SIZE_BYTES = 800_000
PIECE_BYTES = 20_000
PIECE_PAUSE_S = 0.005
PAUSE_S = 0.05
#: Longer than a reset is waited for after an end, in seconds.
LATE_S = 0.15
#: Bytes at the end of a request that each receive buffer holds.
TAIL_BYTES = 2_000
READ_BYTES = 1_000
EVENTS = b"".join(scripted.event(n) for n in range(1, 200))
#: Sizes of receive buffers: the default, little, and all of a request.
BUFFERS = [0, 8_192, 4_000_000]
#: Those that hold a part of a request only, so that it is sent on for as long
#: as the endpoint reads.
SMALL_BUFFERS = [0, 8_192]

LoopFactory = collections.abc.Callable[[], asyncio.AbstractEventLoop]
LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


class Ending(enum.Enum):
    """How an endpoint ends a connection after its response."""

    #: Closes its socket with bytes unread, which resets the connection.
    UNREAD = "unread"
    RESET = "reset"
    #: Ends its own direction, then closes its socket with bytes unread.
    ENDED_UNREAD = "ended, unread"
    #: Ends its own direction, then reads the rest.
    HALF_CLOSED = "half closed"
    READ_FIRST = "read first"


WHOLE = {Ending.HALF_CLOSED, Ending.READ_FIRST}


class Worker:
    """Answers one request after its first bytes, without a length."""

    def __init__(self, ending: Ending, buffer_bytes: int) -> None:
        self._ending = ending
        #: Bytes of the request that are not read.
        self._unread_bytes = SIZE_BYTES
        self._listening = socket.socket()
        if buffer_bytes:
            self._listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes
            )
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen()
        self._listening.setblocking(False)
        self.port = self._listening.getsockname()[1]
        #: Whether a gateway has connected.
        self.reached = False

    async def serve(self) -> None:
        """Serve one connection."""
        loop = asyncio.get_running_loop()
        sock, _address = await loop.sock_accept(self._listening)
        self.reached = True
        sock.setblocking(False)
        head = await self._read(sock)
        self._unread_bytes += head.index(b"\r\n\r\n") + 4
        if self._ending is Ending.READ_FIRST:
            await self._read_rest(sock)
        await loop.sock_sendall(sock, _response(head))
        await asyncio.sleep(PAUSE_S)
        await self._end(sock)

    async def _end(self, sock: socket.socket) -> None:
        if self._ending in (Ending.ENDED_UNREAD, Ending.HALF_CLOSED):
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(PAUSE_S)
        if self._ending is Ending.HALF_CLOSED:
            await self._read_rest(sock)
        if self._ending is Ending.RESET:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        sock.close()

    async def _read(self, sock: socket.socket) -> bytes:
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(sock, READ_BYTES)
        self._unread_bytes -= len(data)
        return data

    async def _read_rest(
        self, sock: socket.socket, left_bytes: int = 0
    ) -> None:
        while self._unread_bytes > left_bytes and await self._read(sock):
            pass

    def close(self) -> None:
        """Stop listening."""
        self._listening.close()


class LateWorker(Worker):
    """Ends its direction, reads on late, and closes before the last bytes."""

    def __init__(self, buffer_bytes: int) -> None:
        super().__init__(Ending.ENDED_UNREAD, buffer_bytes)

    async def _end(self, sock: socket.socket) -> None:
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(LATE_S)
        await self._read_rest(sock, TAIL_BYTES)
        await asyncio.sleep(PAUSE_S)
        sock.close()


def _response(head: bytes) -> bytes:
    found = re.search(rb"(?mi)^request-id: ?([^\r\n]*)", head)
    assert found
    return (
        b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\nserver-signature: s.e1\r\n\r\n"
        % found.group(1)
    ) + EVENTS


async def _upload(path: str, worker: Worker) -> harness.Reply:
    """Send a request through a gateway to a worker."""
    endpoint = scripted.plain("e1", _unused)
    if path.startswith("/chat"):
        endpoint = scripted.engine("e1", "decode", _unused)
    async with harness.running(endpoint) as running:
        endpoint.port = worker.port
        running.cluster.set_endpoint(configurations.registration(endpoint))
        serving = asyncio.ensure_future(worker.serve())
        reply = await running.send(
            path,
            body=b"u" * SIZE_BYTES,
            piece_bytes=PIECE_BYTES,
            pause_s=PIECE_PAUSE_S,
            token_usage="120,10",
            prefix_hash="aa:50,bb:70",
        )
        await serving
    worker.close()
    return reply


async def _unused(_call: scripted.Call) -> bytes | None:
    raise NotImplementedError


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("buffer_bytes", BUFFERS)
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("path", ["/once/1", "/chat-one/1"])
def test_response_to_an_unread_upload_in_pieces_is_not_whole(
    path: str, ending: Ending, buffer_bytes: int, loop: LoopFactory
) -> None:
    worker = Worker(ending, buffer_bytes)
    with asyncio.Runner(loop_factory=loop) as runner:
        reply = runner.run(_upload(path, worker))
    if ending in WHOLE:
        assert (reply.status, reply.body) == (200, EVENTS)
        assert reply.complete
    else:
        _assert_not_whole(reply, path)


def _assert_not_whole(reply: harness.Reply, path: str) -> None:
    if path == "/once/1":
        assert (reply.status, reply.body) == (502, b"")
    else:
        assert not reply.complete


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("buffer_bytes", SMALL_BUFFERS)
@pytest.mark.parametrize("path", ["/once/1", "/chat-one/1"])
def test_response_reset_when_an_upload_outlasts_its_end_is_not_whole(
    path: str, buffer_bytes: int, loop: LoopFactory
) -> None:
    worker = LateWorker(buffer_bytes)
    with asyncio.Runner(loop_factory=loop) as runner:
        reply = runner.run(_upload(path, worker))
    _assert_not_whole(reply, path)


HEAD = (
    b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\nrequest-id: r1\r\n"
    b"key: k1\r\ndeadline-ms: 2000\r\nconnection: close\r\n%b\r\n\r\n"
)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize(
    ("fields", "before", "piece", "after"),
    [
        (b"content-length: 800000", b"", b"%b", b""),
        (
            b"content-length: 800000\r\nexpect: 100-continue",
            b"",
            b"%b",
            b"",
        ),
        (b"transfer-encoding: chunked", b"4e20\r\n", b"%b\r\n", b"0\r\n\r\n"),
    ],
    ids=["length", "continue", "chunked"],
)
def test_endpoint_is_not_reached_before_the_upload_is_read(
    fields: bytes, before: bytes, piece: bytes, after: bytes, loop: LoopFactory
) -> None:
    """No response can come while the request is not known in full."""

    async def exchange() -> tuple[bool, bool]:
        worker = Worker(Ending.READ_FIRST, 0)
        endpoint = scripted.plain("e1", _unused)
        async with harness.running(endpoint) as running:
            endpoint.port = worker.port
            running.cluster.set_endpoint(configurations.registration(endpoint))
            serving = asyncio.ensure_future(worker.serve())
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", running.server.port
            )
            writer.write(HEAD % fields)
            for number in range(SIZE_BYTES // PIECE_BYTES):
                if number:
                    writer.write(before + piece % (b"u" * PIECE_BYTES))
                    await asyncio.sleep(PIECE_PAUSE_S)
            early = worker.reached
            writer.write(before + piece % (b"u" * PIECE_BYTES) + after)
            received = await reader.read()
            writer.close()
            await serving
        worker.close()
        return early, received.endswith(EVENTS)

    with asyncio.Runner(loop_factory=loop) as runner:
        assert runner.run(exchange()) == (False, True)

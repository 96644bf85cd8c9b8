"""Peers that read nothing for some seconds, then go on."""

import asyncio
import socket

import attrs

from ... import http1
from . import harness

#: Longer than the time after which an unresponsive endpoint is given up.
PAUSE_S = 3.0
#: More than the buffers of a connection hold.
SIZE_BYTES = 8_000_000
SMALL_BUFFER_BYTES = 16_384


async def _large(_request: http1.Request, responder: http1.Responder) -> None:
    responder.send(200, [], b"b" * SIZE_BYTES)


def _small_socket() -> socket.socket:
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    found.setblocking(False)
    return found


async def test_caller_that_reads_slowly_gets_its_whole_answer() -> None:
    limits = attrs.evolve(harness.LIMITS, idle_timeout_s=15.0)
    async with harness.serving(_large, limits) as server:
        sock = _small_socket()
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", server.port))
        await loop.sock_sendall(
            sock, b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        )
        await asyncio.sleep(PAUSE_S)
        received = 0
        while data := await loop.sock_recv(sock, 1_000_000):
            received += len(data)
        sock.close()
    assert received > SIZE_BYTES


async def test_endpoint_that_reads_slowly_gets_the_whole_request() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for length in (0, SIZE_BYTES):
            await reader.readuntil(b"\r\n\r\n")
            if length:
                await asyncio.sleep(PAUSE_S)
            await reader.readexactly(length)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        writer.close()

    listening = _small_socket()
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listening)
    connection = await http1.connect(
        "127.0.0.1", listening.getsockname()[1], 1.0
    )
    head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
    for body in (b"", b"b" * SIZE_BYTES):
        connection.send(head % len(body), body)
        async with asyncio.timeout(10.0):
            await connection.head()
            assert await connection.body(10) == b"ok"
    connection.close()
    server.close()

"""Servers and clients on the loopback interface for tests."""

import asyncio
import collections.abc
import contextlib
import enum
import socket
import struct
import time
import typing

import attrs

from ... import http1

LIMITS = http1.ServerLimits(
    header_bytes=2_000,
    body_bytes=1_000,
    header_timeout_s=0.15,
    idle_timeout_s=0.6,
)


@attrs.define
class Recorder:
    """Serves requests by echoing target and body, and records them."""

    requests: list[http1.Request] = attrs.field(factory=list)
    cancelled: int = 0
    #: Requests whose path has this prefix wait for :attr:`release`.
    slow_path: bytes = b"/slow"
    release: asyncio.Event = attrs.field(factory=asyncio.Event)
    started: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(
        self, request: http1.Request, responder: http1.Responder
    ) -> None:
        """Respond to a request."""
        self.requests.append(request)
        self.started.set()
        if request.path.startswith(self.slow_path):
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        responder.send(200, [], request.target + b"|" + request.body)


@contextlib.asynccontextmanager
async def serving(
    handler: typing.Any, limits: http1.ServerLimits = LIMITS
) -> collections.abc.AsyncIterator[http1.HttpServer]:
    """Run a server that checks its timeouts often."""
    server = http1.HttpServer(handler, lambda: limits, time.monotonic)
    await server.listen("127.0.0.1", 0)

    async def enforce_timeouts() -> None:
        while True:
            await asyncio.sleep(0.02)
            server.enforce_timeouts(time.monotonic())

    task = asyncio.create_task(enforce_timeouts())
    try:
        yield server
    finally:
        task.cancel()
        server.stop_accepting()
        server.abort()


async def exchange(port: int, data: bytes, wait_s: float = 2.0) -> bytes:
    """Send bytes and return everything received until the server closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(wait_s):
            return await reader.read()
    finally:
        writer.close()


class Ending(enum.Enum):
    """How a peer ends a connection."""

    #: With a FIN.
    CLOSE = "close"
    #: With a RST.
    RESET = "reset"


@contextlib.asynccontextmanager
async def scripted(
    *responses: bytes | None,
    close: bool = True,
    reset: bool = False,
    ending: Ending = Ending.CLOSE,
    pause_s: float = 0.0,
) -> collections.abc.AsyncIterator["ScriptedPeer"]:
    """Run a peer that responds to each request with the next response."""
    reset = reset or ending is Ending.RESET
    peer = ScriptedPeer(list(responses), close, reset, pause_s)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    peer.port = server.sockets[0].getsockname()[1]
    try:
        yield peer
    finally:
        server.close()
        for writer in peer.writers:
            writer.transport.abort()


@attrs.define
class ScriptedPeer:
    """Responds to requests with fixed bytes; ``None`` ends the connection."""

    responses: list[bytes | None]
    close: bool
    reset: bool
    #: Silence before the connection is ended.
    pause_s: float = 0.0
    port: int = 0
    received: list[bytes] = attrs.field(factory=list)
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.append(writer)
        while self.responses:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.received.append(head)
            response = self.responses.pop(0)
            if response is None:
                break
            writer.write(response)
            await writer.drain()
        await asyncio.sleep(self.pause_s)
        if self.reset:
            # Closing with a linger time of 0 sends a reset.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        elif self.close:
            writer.close()

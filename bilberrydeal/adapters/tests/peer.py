"""A peer that answers each request with scripted bytes."""

import asyncio
import collections.abc
import contextlib
import re
import socket
import struct

import aiohttp

from ... import adapters

Script = collections.abc.Callable[
    [asyncio.StreamWriter, int], collections.abc.Awaitable[None]
]


@contextlib.asynccontextmanager
async def serving(
    script: Script,
) -> collections.abc.AsyncIterator[tuple[aiohttp.ClientSession, str]]:
    """Serve requests, each with the script's answer and its number from 1.

    A script may close the connection or leave it open for the next request.
    """
    count = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal count
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(length.group(1)) if length else 0)
                count += 1
                await script(writer, count)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        async with adapters.open_session(connection_limit=0) as session:
            yield session, f"http://127.0.0.1:{port}"
    finally:
        server.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()

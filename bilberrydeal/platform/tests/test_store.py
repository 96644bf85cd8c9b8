"""Calls to the store over a connection that delivers slowly."""

import asyncio

import pytest

from ... import errors
from ... import ports
from .. import _store

POSITION = ports.StoreVersion(5)


async def _serve_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer a poll over 1.4 s, as a narrow link delivers large rows."""
    await reader.readuntil(b"\r\n\r\n")
    body = b'{"row_version": 7, "now_ms": 1000, "rows": []}'
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    try:
        writer.write(head + body[:10])
        await asyncio.sleep(1.4)
        writer.write(body[10:])
        await writer.drain()
    finally:
        writer.close()


@pytest.mark.parametrize(("wait_s", "received"), [(0.0, True), (0.2, False)])
async def test_poll_without_a_wait_has_time_for_large_rows(
    wait_s: float, received: bool
) -> None:
    """Gateways on narrow links once never got a large configuration.

    A poll without a wait ended after 0.7 s, and was made again for ever.
    """
    server = await asyncio.start_server(_serve_slowly, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        client = _store.PlatformStore("127.0.0.1", port)
        if received:
            changes = await client.changes("op", POSITION, wait_s)
            assert changes.version == ports.StoreVersion(7)
        else:
            with pytest.raises(errors.StoreUnavailable):
                await client.changes("op", POSITION, wait_s)

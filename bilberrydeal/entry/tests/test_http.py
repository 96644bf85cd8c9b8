import asyncio
import collections.abc
import contextlib
import itertools
import socket
import types
import typing

import msgspec
import pytest
import sanic
from sanic import response

from bilberrydeal import errors
from bilberrydeal import settings
from bilberrydeal.entry.http_api import _http

#: Large enough that a response does not fit the buffers of a connection.
BODY_BYTES = 8_000_000
_NUMBERS = itertools.count()
KEYED = {"idempotency-key": "order-17"}


@pytest.mark.parametrize(
    ("headers", "covers_key", "executed"),
    [
        ({}, False, "no"),
        (KEYED, False, "unknown"),
        (KEYED, True, "no"),
    ],
)
def test_not_run_with_a_key_must_cover_all_its_requests(
    headers: dict[str, str], covers_key: bool, executed: str
) -> None:
    request: typing.Any = types.SimpleNamespace(headers=headers)
    refusal = errors.Refusal(
        reason=errors.ErrorCode.SHUTTING_DOWN,
        message="Use another.",
        status=503,
        retry_after_s=0.2,
        covers_key=covers_key,
    )
    answer = _http.refusal_response(request, refusal)
    body = msgspec.json.decode(answer.body or b"")
    assert body["error"]["executed"] == executed
    assert answer.headers["Retry-After"] == "1"


async def _slow(_request: sanic.Request) -> response.HTTPResponse:
    await asyncio.sleep(0.2)
    return response.HTTPResponse(b"x" * BODY_BYTES)


@contextlib.asynccontextmanager
async def _serving() -> collections.abc.AsyncIterator[typing.Any]:
    http_settings = settings.HttpSettings(port=0)
    app = _http.new_app(f"test-{next(_NUMBERS)}", http_settings)
    _http.add_route(app, "/slow", ["POST"], _slow, 5.0)
    # Sanic rewrites its classes for the first application of a process.
    app.config.TOUCHUP = False
    listening = socket.create_server(("127.0.0.1", 0))
    server = await app.create_server(
        sock=listening, return_asyncio_server=True
    )
    await server.startup()
    await server.start_serving()
    yield server


async def _connect(
    server: typing.Any, data: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    port = server.server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    await asyncio.sleep(0.1)
    return reader, writer


HEAD = b"POST /slow HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n"


@pytest.mark.parametrize(
    ("before", "after"),
    [
        pytest.param(HEAD + b"body", b"", id="running"),
        pytest.param(HEAD + b"bo", b"dy", id="in its body"),
        pytest.param(HEAD[:-4], b"\r\n\r\nbody", id="in its head"),
    ],
)
async def test_accepted_request_is_answered_before_the_server_closes(
    before: bytes, after: bytes
) -> None:
    async with _serving() as server:
        reader, writer = await _connect(server, before)
        closing = asyncio.create_task(_http.close_server(server, 5.0))
        await asyncio.sleep(0.1)
        writer.write(after)
        async with asyncio.timeout(5.0):
            answer = await reader.read()
        await closing
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"x" * BODY_BYTES)


async def test_idle_connections_do_not_delay_the_end() -> None:
    loop = asyncio.get_running_loop()
    async with _serving() as server:
        reader, _writer = await _connect(server, b"")
        began_s = loop.time()
        await _http.close_server(server, 5.0)
        assert loop.time() - began_s < 2.0
        assert await reader.read() == b""


async def test_caller_that_sends_no_more_does_not_hold_the_end() -> None:
    loop = asyncio.get_running_loop()
    async with _serving() as server:
        await _connect(server, HEAD + b"bo")
        began_s = loop.time()
        await _http.close_server(server, 0.3)
        assert loop.time() - began_s < 2.0


async def _exchange(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        async with asyncio.timeout(20.0):
            return await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.close()


async def _until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


async def test_bodies_of_all_callers_together_are_limited() -> None:
    """Guards against an entry that unfinished bodies fill."""
    async with _serving() as server:
        app = server.app
        port = server.server.sockets[0].getsockname()[1]
        app.ctx.bodies.limit_bytes = 150_000
        head = b"POST /slow HTTP/1.1\r\nhost: h\r\n"
        _reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head + b"content-length: 100000\r\n\r\n" + b"x" * 99_000)
        await _until(lambda: app.ctx.bodies.used_bytes >= 99_000)
        length = b"content-length: 60000\r\nconnection: close\r\n\r\n"
        refused = await _exchange(port, head + length + b"x" * 60_000)
        small = await _exchange(
            port,
            head
            + b"transfer-encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 1_000
            + b"0\r\n\r\n",
        )
        writer.close()
        await _until(lambda: not app.ctx.bodies.used_bytes)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert small.startswith(b"HTTP/1.1 200 ")

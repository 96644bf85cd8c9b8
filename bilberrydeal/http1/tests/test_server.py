"""Tests the server's parsing, limits, timeouts and shutdown."""

import asyncio
import contextlib
import re

import pytest

from ... import http1
from .. import _connection
from .. import _fields
from .. import _request_reader
from . import harness

GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
LAST = b"GET /z HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


def _status(response: bytes) -> list[bytes]:
    return re.findall(rb"HTTP/1\.1 (\d+)", response)


async def test_pipelined_requests_are_answered_in_order() -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        response = await harness.exchange(server.port, GET * 20 + LAST)
    assert _status(response) == [b"200"] * 21
    assert response.index(b"/a|") < response.index(b"/z|")


async def test_chunked_body_is_decoded() -> None:
    recorder = harness.Recorder()
    data = (
        b"POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
        b"connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    async with harness.serving(recorder.handle) as server:
        response = await harness.exchange(server.port, data)
    assert response.endswith(b"/c|abcde")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(
            b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled",
            b"400",
            id="length and chunks",
        ),
        pytest.param(
            b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
            b"content-length: 5\r\n\r\nabcde",
            b"400",
            id="two lengths",
        ),
        pytest.param(
            b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: +4\r\n\r\nabcd",
            b"400",
            id="length with a sign",
        ),
        pytest.param(
            b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: xchunked\r\n"
            b"\r\n0\r\n\r\n",
            b"400",
            id="unknown coding",
        ),
        pytest.param(
            b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
            b"\r\nzz\r\nabc\r\n0\r\n\r\n",
            b"400",
            id="bad chunk size",
        ),
        pytest.param(
            b"GET /x HTTP/1.1\r\nhost: h\r\na: b\r\n c\r\n\r\n",
            b"400",
            id="folded field",
        ),
        pytest.param(
            b"GET /x HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * 3000,
            None,
            id="unfinished head below the limit",
        ),
        pytest.param(
            b"GET /x HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * 9000,
            b"431",
            id="unfinished head above the limit",
        ),
        pytest.param(
            b"GET /x HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * 2500 + b"\r\n\r\n",
            b"431",
            id="large head",
        ),
        pytest.param(
            b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 1001\r\n\r\n",
            b"413",
            id="large body by its length",
        ),
        pytest.param(
            b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
            b"\r\n3e9\r\n" + b"x" * 1001 + b"\r\n",
            b"413",
            id="large body in chunks",
        ),
        pytest.param(b"GET /x HTTP/1.1\r\nhost", b"408", id="slow head"),
    ],
)
async def test_invalid_request_is_rejected(
    data: bytes, status: bytes | None
) -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        response = await harness.exchange(server.port, data)
    # An unfinished head below the size limit runs into the timeout.
    assert _status(response) == [status or b"408"]
    assert b"connection: close" in response
    assert recorder.requests == []


async def test_valid_requests_before_an_invalid_one_are_served() -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        response = await harness.exchange(
            server.port, GET * 3 + b"NONSENSE\r\n\r\n"
        )
    assert _status(response) == [b"200", b"200", b"200", b"400"]


async def test_disconnect_cancels_the_request() -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        _reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(GET.replace(b"/a", b"/slow"))
        await recorder.started.wait()
        writer.close()
        async with asyncio.timeout(2.0):
            assert await server.wait_idle(2.0)
    assert recorder.cancelled == 1


async def test_idle_timeout_is_announced_and_enforced() -> None:
    recorder = harness.Recorder()
    limits = http1.ServerLimits(2_000, 1_000, 0.5, 1.0)
    async with harness.serving(recorder.handle, limits) as server:
        response = await harness.exchange(server.port, GET)
    assert b"keep-alive: timeout=1" in response


async def test_connection_is_kept_as_long_as_its_caller_was_told() -> None:
    """A shorter timeout comes into force after the response."""
    recorder = harness.Recorder()
    announced = http1.ServerLimits(2_000, 1_000, 0.5, 1.0)
    shorter = http1.ServerLimits(2_000, 1_000, 0.5, 0.1)
    async with harness.serving(recorder.handle, announced) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(GET)
        async with asyncio.timeout(2.0):
            head = await reader.readuntil(b"\r\n\r\n")
        server.limits = lambda: shorter
        await asyncio.sleep(0.5)
        writer.write(LAST)
        async with asyncio.timeout(2.0):
            response = await reader.read()
        writer.close()
    assert b"keep-alive: timeout=1" in head
    assert b"/z|" in response


async def test_unexpected_error_is_answered() -> None:
    """A reset would leave the caller without any response."""

    async def fail(
        _request: http1.Request, _responder: http1.Responder
    ) -> None:
        raise KeyError("endpoint")

    async with harness.serving(fail) as server:
        response = await harness.exchange(server.port, GET)
    assert _status(response) == [b"500"]
    assert b"connection: close" in response
    assert b"content-length: 0" in response


async def test_unexpected_error_within_a_response_leaves_it_incomplete() -> (
    None
):
    async def fail(
        _request: http1.Request, responder: http1.Responder
    ) -> None:
        responder.start(200, [], None)
        await responder.write_chunk(b"x")
        raise KeyError("endpoint")

    response = b""
    async with harness.serving(fail) as server:
        with contextlib.suppress(ConnectionResetError):
            response = await harness.exchange(server.port, GET)
    assert not response.endswith(b"0\r\n\r\n")
    assert len(_status(response)) <= 1


async def test_draining_server_asks_callers_to_close() -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        server.draining = True
        response = await harness.exchange(server.port, GET)
    assert b"connection: close" in response


async def test_body_bytes_are_released() -> None:
    recorder = harness.Recorder()
    data = b"POST /p HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nabcde"
    async with harness.serving(recorder.handle) as server:
        await harness.exchange(server.port, data)
        await harness.exchange(server.port, data[:-2])
        await server.wait_idle(1.0)
        assert server.budget.used_bytes == 0


async def test_connections_and_memory_are_limited() -> None:
    """One request of 6,700 bytes fits in, and a second one doesn't."""
    recorder = harness.Recorder()
    limits = http1.ServerLimits(2_000, 1_000, 3.0, 30.0, 3, 9_000)
    post = (
        b"POST /slow HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
        b"content-length: 900\r\n\r\n"
    )
    async with harness.serving(recorder.handle, limits) as server:
        first = asyncio.create_task(
            harness.exchange(server.port, post + b"x" * 900)
        )
        await recorder.started.wait()
        response = await harness.exchange(server.port, post + b"x" * 900)
        assert _status(response) == [b"503"]
        open_connections = [
            await asyncio.open_connection("127.0.0.1", server.port)
            for _ in range(2)
        ]
        with contextlib.suppress(ConnectionError):
            assert await harness.exchange(server.port, GET) == b""
        for _reader, writer in open_connections:
            writer.close()
        recorder.release.set()
        assert b"200" in await first


#: Event loop iterations in which a cancelled task ends and its callbacks run.
LOOP_ITERATIONS = 5


class _Transport(asyncio.Transport):
    """A transport that discards writes and ignores close and abort."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drop what is sent."""

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


async def test_disconnect_before_the_handler_starts_releases_the_body() -> (
    None
):
    """A task cancelled before its first step must release its body's bytes."""
    recorder = harness.Recorder()
    post = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nabcde"
    async with harness.serving(recorder.handle) as server:
        connection = _connection.Connection(server)
        connection.connection_made(_Transport())
        server.read_buffer[: len(post)] = post
        connection.buffer_updated(len(post))
        fields_bytes = 2 * _fields.PAIR_BYTES
        body_bytes = 5 * _request_reader.BODY_COPIES
        assert server.budget.used_bytes == (
            _request_reader.REQUEST_BYTES
            + len(post)
            + fields_bytes
            + body_bytes
        )
        connection.connection_lost(None)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        assert server.budget.used_bytes == 0


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET /slow HTTP/1.1\r\nhost: h\r\n"
        b"connection: upgrade\r\nupgrade: h2c\r\n\r\n",
        b"POST /slow HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n"
        b"connection: upgrade\r\nupgrade: h2c\r\n\r\n",
        b"CONNECT /slow HTTP/1.1\r\nhost: h\r\n\r\n",
    ],
)
async def test_request_for_another_protocol_is_answered_in_this_one(
    request_bytes: bytes,
) -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        response = asyncio.create_task(
            harness.exchange(server.port, GET + request_bytes + GET)
        )
        await recorder.started.wait()
        await asyncio.sleep(0.1)
        recorder.release.set()
        received = await response
    assert recorder.cancelled == 0
    assert _status(received) == [b"200"] * 2
    assert received.lower().count(b"connection: close") == 1
    assert len(recorder.requests) == 2


@pytest.mark.parametrize(
    "framing",
    [
        b"content-length: 2\r\n\r\nab",
        b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    ],
)
async def test_body_for_another_protocol_is_not_passed_on_as_empty(
    framing: bytes,
) -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle) as server:
        received = await harness.exchange(
            server.port,
            b"POST /a HTTP/1.1\r\nhost: h\r\n"
            b"connection: upgrade\r\nupgrade: h2c\r\n" + framing,
        )
    assert _status(received) == [b"501"]
    assert recorder.requests == []


async def test_requests_that_were_read_are_answered_when_draining_begins() -> (
    None
):
    recorder = harness.Recorder()
    slow = b"GET /slow HTTP/1.1\r\nhost: h\r\n\r\n"
    async with harness.serving(recorder.handle) as server:
        response = asyncio.create_task(
            harness.exchange(server.port, slow + GET * 3)
        )
        await recorder.started.wait()
        server.draining = True
        recorder.release.set()
        received = await response
    assert _status(received) == [b"200"] * 4
    last = received.rpartition(b"HTTP/1.1")[2]
    assert b"connection: close" in last
    assert received.count(b"connection: close") == 1

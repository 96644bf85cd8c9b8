"""Shutdown completes requests and accepts none that it could not finish."""

import asyncio

import pytest

from ... import http1
from ...http1.tests import harness as http
from .. import _shutdown
from .. import core
from . import harness
from . import scripted

#: Longest time of what takes moments, in seconds.
WAIT_S = 20.0
TIMES = _shutdown.ShutdownTimes(accept_s=0.2, total_s=1.5)
GET = b"GET %b HTTP/1.1\r\nhost: h\r\n\r\n"
LIMITS = http1.ServerLimits(2_000, 1_000, 3.0, 30.0)


async def _shut_down(
    server: http1.HttpServer, times: _shutdown.ShutdownTimes = TIMES
) -> bool:
    return await _shutdown.shut_down(server, core.ShutdownState(), times)


async def test_running_request_is_completed() -> None:
    recorder = http.Recorder()
    async with http.serving(recorder.handle, LIMITS) as server:
        request = asyncio.create_task(
            http.exchange(server.port, GET % b"/slow")
        )
        await recorder.started.wait()
        shutdown = asyncio.create_task(_shut_down(server))
        await asyncio.sleep(0.4)
        recorder.release.set()
        assert b"200 OK" in await request
        assert await shutdown


async def test_idle_connection_is_closed_after_the_accept_phase() -> None:
    """Guards against a stream accepted 4.8 s after SIGTERM, then aborted."""
    recorder = http.Recorder()
    async with http.serving(recorder.handle, LIMITS) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(GET % b"/a")
        await reader.readuntil(b"/a|")
        async with asyncio.timeout(1.0):
            assert await _shut_down(server)
        async with asyncio.timeout(0.2):
            assert await reader.read() == b""
        writer.close()
    assert len(recorder.requests) == 1


async def test_endless_request_is_aborted_in_time() -> None:
    recorder = http.Recorder()
    times = _shutdown.ShutdownTimes(accept_s=0.1, total_s=0.3)
    async with http.serving(recorder.handle, LIMITS) as server:
        request = asyncio.create_task(
            http.exchange(server.port, GET % b"/slow")
        )
        await recorder.started.wait()
        async with asyncio.timeout(1.0):
            assert not await _shut_down(server, times)
        request.cancel()


#: A request of which the last byte of the body is missing.
UNFINISHED = (
    b"POST /once/1 HTTP/1.1\r\nhost: h.example\r\nrequest-id: r1\r\n"
    b"key: k1\r\ndeadline-ms: 30000\r\ncontent-length: 2\r\n\r\nb"
)
WHOLE = UNFINISHED + b"b"
LATE = _shutdown.ShutdownTimes(accept_s=0.1, total_s=600.0)


async def _never(_call: scripted.Call) -> bytes:
    await asyncio.sleep(600.0)
    return b""


async def _sound(call: scripted.Call) -> bytes:
    return scripted.signed_response(call)


async def _until_refusing(running: harness.RequestPath) -> None:
    for _ in range(100):
        if running.shutdown.refusing:
            return
        await asyncio.sleep(0.01)


def _statuses(received: bytes) -> list[int]:
    """Return the statuses of complete responses without a body."""
    assert received.endswith((b"\r\n\r\n", b"ok"))
    return [int(head.split()[0]) for head in received.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize("begun", [UNFINISHED[:20], UNFINISHED])
async def test_request_that_is_complete_late_is_refused(begun: bytes) -> None:
    """Guards against requests that are passed on and then cut."""
    endpoint = scripted.plain("e1", _sound)
    async with harness.running(endpoint) as running:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.server.port
        )
        writer.write(begun)
        await asyncio.sleep(0.05)
        ending = asyncio.ensure_future(
            _shutdown.shut_down(running.server, running.shutdown, LATE)
        )
        await _until_refusing(running)
        writer.write(WHOLE[len(begun) :])
        received = await asyncio.wait_for(reader.read(), WAIT_S)
        assert _statuses(received) == [503]
        assert b"retry-after: " in received
        assert await asyncio.wait_for(ending, WAIT_S)
        writer.transport.abort()
    assert endpoint.calls == []


async def test_pipelined_request_that_begins_late_is_refused() -> None:
    """Guards against requests that are passed on and then cut."""
    release = asyncio.Event()

    async def slow(call: scripted.Call) -> bytes:
        await release.wait()
        return scripted.signed_response(call)

    endpoint = scripted.plain("e1", slow)
    async with harness.running(endpoint) as running:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.server.port
        )
        writer.write(WHOLE + WHOLE)
        await endpoint.arrived.wait()
        ending = asyncio.ensure_future(
            _shutdown.shut_down(running.server, running.shutdown, LATE)
        )
        await _until_refusing(running)
        release.set()
        received = await asyncio.wait_for(reader.read(), WAIT_S)
        assert _statuses(received) == [200, 503]
        assert await asyncio.wait_for(ending, WAIT_S)
        writer.transport.abort()
    assert len(endpoint.calls) == 1


async def test_request_in_flight_at_the_end_is_answered() -> None:
    """Guards against a channel that ends without an answer."""
    endpoint = scripted.plain("e1", _never)
    times = _shutdown.ShutdownTimes(accept_s=0.1, total_s=0.3)
    async with harness.running(endpoint) as running:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.server.port
        )
        writer.write(WHOLE)
        await endpoint.arrived.wait()
        async with asyncio.timeout(WAIT_S):
            assert not await _shutdown.shut_down(
                running.server, running.shutdown, times
            )
            # It may have run: 503 would promise that it has not.
            assert _statuses(await reader.read()) == [504]
            await endpoint.disconnected.wait()
        writer.transport.abort()


async def test_answer_that_the_caller_has_not_read_is_not_cut() -> None:
    """Guards against a process that ends while it still holds the answer."""
    body = b"x" * 20_000_000

    async def large(
        _request: http1.Request, responder: http1.Responder
    ) -> None:
        responder.send(200, [], body)

    times = _shutdown.ShutdownTimes(accept_s=0.1, total_s=600.0)
    async with http.serving(large, LIMITS) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(GET % b"/a")
        await reader.readuntil(b"\r\n\r\n")
        ending = asyncio.ensure_future(_shut_down(server, times))
        await asyncio.sleep(0.5)
        assert not ending.done()
        received = reader.readexactly(len(body))
        assert await asyncio.wait_for(received, WAIT_S) == body
        assert await asyncio.wait_for(ending, WAIT_S)
        writer.close()

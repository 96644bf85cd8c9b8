"""Tests what callers can make a server hold and do."""

import asyncio
import collections.abc
import contextlib
import re

import hypothesis
from hypothesis import strategies
import pytest

from ... import http1
from .. import _budget
from .. import _fields
from .. import _headers
from .. import _work_queue
from . import harness

LIMITS = http1.ServerLimits(16_384, 100_000, 3.0, 30.0)
START = b"POST /p HTTP/1.1\r\nhost: h\r\n"
CHUNKED = START + b"transfer-encoding: chunked\r\n\r\n"
LAST = b"GET /z HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
NAMES = strategies.sampled_from([b"a", b"b", b"A-c", b"!"])
VALUES = strategies.binary(max_size=5).map(
    lambda value: value.replace(b"\n", b"").replace(b"\r", b"")
)


def _status(response: bytes) -> list[bytes]:
    return re.findall(rb"HTTP/1\.1 (\d+)", response)


@FUZZ
@hypothesis.given(
    pairs=strategies.lists(strategies.tuples(NAMES, VALUES), max_size=300),
    step=strategies.integers(min_value=1, max_value=100),
)
def test_packed_fields_equal_the_pairs(
    pairs: list[http1.Header], step: int
) -> None:
    """Guards against fields that are lost or mixed up as they are packed."""
    collector = _fields.FieldCollector()
    for start in range(0, len(pairs), step):
        collector.pairs.extend(pairs[start : start + step])
        collector.pack()
    size_bytes = collector.size_bytes()
    fields = collector.fields()
    assert size_bytes == sum(len(name + value) + 3 for name, value in pairs)
    assert tuple(fields) == tuple(pairs)
    assert len(fields) == len(pairs)
    for name in (b"a", b"b", b"A-c", b"!", b"x"):
        found = [value for other, value in pairs if other == name]
        expected = found[0] if found else None
        assert _headers.first_value(fields, name) == expected
        assert _headers.count_name(fields, name) == len(found)


async def test_head_of_many_fields_is_served_whole() -> None:
    recorder = harness.Recorder()
    lines = b"".join(b"n%d:%d\r\n" % (n, n) for n in range(1_400))
    data = START + lines + b"content-length: 2\r\n\r\nab" + LAST
    async with harness.serving(recorder.handle, LIMITS) as server:
        response = await harness.exchange(server.port, data)
    assert _status(response) == [b"200", b"200"]
    request = recorder.requests[0]
    assert request.body == b"ab"
    assert request.header(b"n1399") == b"1399"
    assert request.count(b"content-length") == 1
    expected = [(b"n%d" % n, b"%d" % n) for n in range(1_400)]
    assert list(request.headers)[1:-1] == expected


async def test_trailers_are_dropped() -> None:
    """Guards against trailers that pass for fields of the head."""
    recorder = harness.Recorder()
    data = CHUNKED + b"1\r\nx\r\n0\r\nkey: k\r\nhost: other\r\n\r\n" + LAST
    async with harness.serving(recorder.handle, LIMITS) as server:
        response = await harness.exchange(server.port, data)
    assert _status(response) == [b"200", b"200"]
    request = recorder.requests[0]
    assert request.header(b"key") is None
    assert request.count(b"host") == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(
            CHUNKED + b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * 5_000,
            b"431",
            id="many trailers",
        ),
        pytest.param(
            CHUNKED + b"1\r\nx\r\n0\r\na: " + b"b" * 30_000,
            b"413",
            id="one long trailer",
        ),
        pytest.param(
            CHUNKED + b"1;" + b"e" * 30_000, b"413", id="a long extension"
        ),
        pytest.param(
            CHUNKED + (b"1;" + b"e" * 500 + b"\r\nx\r\n") * 60,
            b"413",
            id="extensions of many chunks",
        ),
    ],
)
async def test_framing_of_a_body_is_bounded(
    data: bytes, status: bytes
) -> None:
    recorder = harness.Recorder()
    async with harness.serving(recorder.handle, LIMITS) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(data)
        async with asyncio.timeout(5.0):
            response = await reader.readline()
        writer.close()
    assert _status(response) == [status]
    assert recorder.requests == []


async def test_response_to_a_rejected_request_is_not_lost() -> None:
    """Guards against a reset in place of the response.

    The caller only reads once it has sent more than the server reads.
    """
    recorder = harness.Recorder()
    data = START + b"content-length: 900000\r\n\r\n" + b"x" * 890_000
    async with harness.serving(recorder.handle, LIMITS) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.2)
        async with asyncio.timeout(5.0):
            response = await reader.read()
        await _wait_for(lambda: not server.connections)
        writer.close()
    assert _status(response) == [b"413"]


async def test_small_chunks_up_to_the_limit_are_served() -> None:
    recorder = harness.Recorder()
    data = CHUNKED + b"0001\r\nx\r\n" * 100_000 + b"0\r\n\r\n" + LAST
    async with harness.serving(recorder.handle, LIMITS) as server:
        response = await harness.exchange(server.port, data, 30.0)
    assert _status(response) == [b"200", b"200"]
    assert recorder.requests[0].body == b"x" * 100_000


async def _unfinished(
    server: http1.HttpServer, body_bytes: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send all of a body but its last byte."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(START + b"content-length: %d\r\n\r\n" % body_bytes)
    writer.write(b"x" * (body_bytes - 1))
    await writer.drain()
    return reader, writer


async def test_largest_holder_is_refused_for_a_small_request() -> None:
    """Guards against ordinary callers that find no room."""
    recorder = harness.Recorder()
    limits = http1.ServerLimits(
        16_384, 100_000, 3.0, 30.0, memory_bytes=500_000
    )
    async with harness.serving(recorder.handle, limits) as server:
        held = [await _unfinished(server, 40_000 + 9_000 * n) for n in (0, 6)]
        await _wait_for(lambda: server.budget.used_bytes > 260_000)
        # 188,000 bytes come on top of the 274,000 that are held.
        more = await _unfinished(server, 92_000)
        async with asyncio.timeout(5.0):
            response = await held[1][0].read()
        small = await harness.exchange(server.port, LAST)
        assert server.budget.refused == {_budget.Reason.MEMORY: 1}
        held[0][1].write(b"x")
        async with asyncio.timeout(5.0):
            kept = await held[0][0].readline()
        for _reader, writer in (*held, more):
            writer.close()
        await server.wait_closed(2.0)
        assert server.budget.used_bytes == 0
    assert _status(response) == [b"503"]
    assert b"retry-after" in response
    assert _status(small) == _status(kept) == [b"200"]


async def test_next_request_waits_until_the_response_is_read() -> None:
    """Guards against responses that pile up for a caller who reads none."""
    served = 0

    async def respond(
        _request: http1.Request, responder: http1.Responder
    ) -> None:
        nonlocal served
        served += 1
        responder.send(200, [], b"r" * 8_000_000)

    async with harness.serving(respond, LIMITS) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port, limit=1_024
        )
        writer.write(LAST.replace(b"close", b"keep-alive") * 2 + LAST)
        await _wait_for(lambda: served > 0)
        await asyncio.sleep(0.3)
        assert served == 1
        assert server.budget.used_bytes < 8_100_000
        async with asyncio.timeout(20.0):
            response = await reader.read()
        writer.close()
    assert served == 3
    assert _status(response) == [b"200"] * 3
    assert len(response) > 24_000_000


async def test_caller_that_reads_nothing_is_reset() -> None:
    """Guards against responses that are kept for as long as callers like."""

    async def respond(
        _request: http1.Request, responder: http1.Responder
    ) -> None:
        responder.send(200, [], b"r" * 8_000_000)

    limits = http1.ServerLimits(16_384, 1_000, 3.0, 0.3)
    async with harness.serving(respond, limits) as server:
        _reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port, limit=1_024
        )
        writer.write(LAST.replace(b"close", b"keep-alive"))
        await _wait_for(lambda: server.budget.used_bytes > 1_000_000)
        await _wait_for(lambda: not server.connections)
        assert server.budget.used_bytes == 0
        writer.close()


async def test_slowest_head_makes_room_for_a_new_connection() -> None:
    """Guards against slow heads that take all connections."""
    recorder = harness.Recorder()
    limits = http1.ServerLimits(16_384, 1_000, 30.0, 30.0, connections=3)
    async with harness.serving(recorder.handle, limits) as server:
        slow = []
        for _ in range(3):
            slow.append(
                await asyncio.open_connection("127.0.0.1", server.port)
            )
            slow[-1][1].write(b"GET")
            await asyncio.sleep(0.3)
        response = await harness.exchange(server.port, LAST)
        async with asyncio.timeout(2.0):
            closed = await slow[0][0].read()
        for _reader, writer in slow:
            writer.close()
    assert _status(response) == [b"200"]
    assert _status(closed) == [b"408"]


class _Endless:
    """A connection that always has more to parse."""

    slices = 0

    def parse_slice(self) -> bool:
        """Take some time."""
        self.slices += 1
        return True


async def test_queue_of_work_leaves_the_event_loop_to_others() -> None:
    """Guards against connections that starve others."""
    now_s = 0.0

    def clock() -> float:
        nonlocal now_s
        now_s += 0.001
        return now_s

    queue = _work_queue.WorkQueue(clock)
    workers = [_Endless() for _ in range(50)]
    for worker in workers:
        queue.add(worker)
    for _ in range(100):
        await asyncio.sleep(0)
    slices = [worker.slices for worker in workers]
    assert 100 <= sum(slices) <= 400
    assert max(slices) - min(slices) <= 1


async def test_refusals_are_logged_in_few_lines(
    capsys: pytest.CaptureFixture[str],
) -> None:
    recorder = harness.Recorder()
    limits = http1.ServerLimits(16_384, 1_000, 3.0, 30.0, memory_bytes=100)
    async with harness.serving(recorder.handle, limits) as server:
        for _ in range(20):
            with contextlib.suppress(ConnectionError):
                await harness.exchange(server.port, LAST)
        await asyncio.sleep(0.1)
        assert server.budget.refused == {_budget.Reason.MEMORY: 20}
    captured = capsys.readouterr()
    assert (captured.out + captured.err).count("Callers refused.") == 1


async def _wait_for(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


async def test_queued_requests_before_a_malformed_one_can_be_refused() -> None:
    """Guards against memory that is held until a slow request ends."""
    recorder = harness.Recorder()
    limits = http1.ServerLimits(
        16_384, 400_000, 3.0, 30.0, memory_bytes=1_000_000
    )
    body = START + b"content-length: 150000\r\n\r\n" + b"x" * 150_000
    async with harness.serving(recorder.handle, limits) as server:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(b"GET /slow HTTP/1.1\r\nhost: h\r\n\r\n" + 2 * body)
        writer.write(b"malformed\r\n\r\n")
        await _wait_for(lambda: server.budget.used_bytes > 600_000)
        other = await _unfinished(server, 100_000)
        await _wait_for(lambda: server.budget.refused.total() > 0)
        await _wait_for(lambda: server.budget.used_bytes < 400_000)
        recorder.release.set()
        async with asyncio.timeout(5.0):
            response = await reader.read()
        for each in (writer, other[1]):
            each.close()
    assert _status(response)[0] == b"200"
    assert len(recorder.requests) == 1

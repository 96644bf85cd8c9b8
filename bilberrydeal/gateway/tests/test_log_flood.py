"""Serving during a flood of refused requests with a stalled log reader."""

import asyncio
import collections.abc
import os

import pytest
import structlog

from ... import telemetry
from ..serving import _request_handler
from . import harness
from . import scripted

#: Requests in the flood.
FLOOD = 600
#: Concurrent requests of the flood.
CONCURRENCY = 20
#: Longest response time of other requests during the flood, in seconds.
RESPONSE_LIMIT_S = 1.0


async def _ok(call: scripted.Call) -> bytes:
    return scripted.signed_response(call)


@pytest.fixture
def stalled_log(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[telemetry.BoundedStream]:
    """Write the request log to a full pipe that nobody reads."""
    reader, writer = os.pipe()
    stream = telemetry.BoundedStream(writer)
    try:
        while os.write(writer, b"x" * 65_536):
            pass
    except BlockingIOError:
        pass
    log = structlog.wrap_logger(
        structlog.PrintLogger(stream),  # type: ignore[arg-type]
        processors=[structlog.processors.JSONRenderer()],
    )
    monkeypatch.setattr(_request_handler, "LOG", log)
    yield stream
    os.close(writer)
    os.close(reader)


async def test_refusal_flood_with_a_stalled_log_reader_delays_no_requests(
    stalled_log: telemetry.BoundedStream,
) -> None:
    shop = scripted.plain("e1", _ok)
    async with harness.running(shop) as running:
        slots = asyncio.Semaphore(CONCURRENCY)

        async def refused() -> int:
            async with slots:
                return (await running.send(path="/nowhere/1")).status

        flood = [asyncio.create_task(refused()) for _ in range(FLOOD)]
        for _ in range(10):
            async with asyncio.timeout(RESPONSE_LIMIT_S):
                assert (await running.send()).status == 200
        assert set(await asyncio.gather(*flood)) == {404}
        # Nothing was written: the buffer is bounded, and the rest is counted.
        logged = stalled_log.dropped + stalled_log._pending.count(b"\n")
        assert logged == FLOOD + 10

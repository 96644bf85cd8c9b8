"""Service while a flood of refused requests meets a stalled log reader."""

import asyncio
import collections.abc
import os

import pytest
import structlog

from ... import telemetry
from .. import _request_handler
from . import harness

#: Requests of the flood.
FLOOD = 600
#: Requests of it that are under way at once.
AT_ONCE = 20
#: Most time that a request may take beside the flood, in seconds.
SERVED_S = 1.0


async def _answer(call: harness.Call) -> bytes:
    return harness.answer(call)


@pytest.fixture
def stalled(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[telemetry.BoundedStream]:
    """Send the log of requests into a full pipe that nobody reads."""
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


async def test_a_flood_of_refusals_with_a_stalled_reader_harms_nobody(
    stalled: telemetry.BoundedStream,
) -> None:
    shop = harness.plain("e1", _answer)
    async with harness.running(shop) as running:
        room = asyncio.Semaphore(AT_ONCE)

        async def refused() -> int:
            async with room:
                return (await running.ask(path="/nowhere/1")).status

        flood = [asyncio.create_task(refused()) for _ in range(FLOOD)]
        for _ in range(10):
            async with asyncio.timeout(SERVED_S):
                assert (await running.ask()).status == 200
        assert set(await asyncio.gather(*flood)) == {404}
        # Nothing of it was written; what waits is bounded, the rest counted.
        logged = stalled.dropped + stalled._pending.count(b"\n")
        assert logged == FLOOD + 10

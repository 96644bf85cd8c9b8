"""Log lines under a flood, before readers that stall or are gone."""

import collections.abc
import json
import os

import pytest

from .. import _sink

LINE = json.dumps({"event": "x" * 200})


@pytest.fixture
def pipe() -> collections.abc.Iterator[tuple[int, int]]:
    """Return both ends of a pipe that nobody reads yet."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(writer)
    os.close(reader)


def read(reader: int) -> bytes:
    """Return what waits in a pipe."""
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def test_a_stalled_reader_costs_lines_and_no_time(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A blocked write would hang here; what waits is bounded."""
    monkeypatch.setattr(_sink, "LINES_BURST", 1e9)
    monkeypatch.setattr(_sink, "LINES_PER_S", 1e9)
    reader, writer = pipe
    stream = _sink.BoundedStream(writer)
    for _ in range(20_000):
        stream.write(LINE)
    assert stream.dropped > 0
    assert len(stream._pending) <= _sink.PENDING_LIMIT_BYTES + len(LINE) + 1
    data = read(reader)
    while stream._pending:
        stream.flush()
        data += read(reader)
    stream.write(LINE)
    data += read(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    (told,) = [line for line in lines if "count" in line]
    assert told["count"] == stream.dropped
    assert len(lines) == 20_000 - stream.dropped + 2


def test_a_flood_is_bounded_and_counted(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    stream = _sink.BoundedStream(writer)
    for _ in range(5_000):
        stream.write(LINE)
        # A reader that keeps up: only the rate bounds what passes.
        if stream._pending:
            read(reader)
            stream.flush()
    assert stream.dropped >= 5_000 - _sink.LINES_BURST * 2


def test_a_reader_that_is_gone_costs_nothing() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    stream = _sink.BoundedStream(writer)
    try:
        for _ in range(100):
            stream.write(LINE)
        assert stream._pending == b""
    finally:
        os.close(writer)

"""Tests log output under overload and with stalled or closed readers."""

import collections.abc
import json
import os

import pytest

from .. import _sink

LINE = json.dumps({"event": "x" * 200})


@pytest.fixture
def pipe() -> collections.abc.Iterator[tuple[int, int]]:
    """Return the read end and the write end of a pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(writer)
    os.close(reader)


def read(reader: int) -> bytes:
    """Return all bytes available in a pipe."""
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def test_stalled_reader_drops_lines_without_blocking(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A blocking write would hang the test; the buffer stays bounded."""
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
    (summary,) = [line for line in lines if "count" in line]
    assert summary["count"] == stream.dropped
    assert len(lines) == 20_000 - stream.dropped + 2


def test_rate_limit_drops_and_counts_lines(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    stream = _sink.BoundedStream(writer)
    for _ in range(5_000):
        stream.write(LINE)
        # The reader keeps up, so only the rate limit drops lines.
        if stream._pending:
            read(reader)
            stream.flush()
    assert stream.dropped >= 5_000 - _sink.LINES_BURST * 2


def test_closed_reader_leaves_the_buffer_empty() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    stream = _sink.BoundedStream(writer)
    try:
        for _ in range(100):
            stream.write(LINE)
        assert stream._pending == b""
    finally:
        os.close(writer)

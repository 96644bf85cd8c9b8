"""Which of two engines has a stream if both send at the same moment."""

import asyncio
from unittest import mock

import pytest

from ..streams import _continuation
from ..streams import _stream_reader


def _reader() -> _stream_reader.StreamReader:
    parts = [mock.Mock() for _ in range(4)]
    return _stream_reader.StreamReader(*parts)


@pytest.mark.parametrize("turns", range(10))
async def test_event_is_dropped_if_another_engine_takes_over_beside_it(
    turns: int,
) -> None:
    async def attempt(continuation: _continuation.Continuation) -> None:
        for _ in range(turns):
            await asyncio.sleep(0)
        continuation.take_over()

    async def chunk() -> bytes:
        await asyncio.sleep(0)
        return b"id: 2\ndata: e2\n\n"

    continuation = _continuation.Continuation(attempt, mock.Mock())
    stream = mock.Mock(continuation=continuation)
    exchange = mock.Mock()
    exchange.connection.chunk = chunk
    data: bytes | None = b""
    try:
        data = await _reader()._chunk_or_continuation(
            stream, continuation, exchange
        )
    except _continuation.Continued:
        assert continuation.took_over
    else:
        assert data
        assert not continuation.took_over
    await continuation.cancel()


async def test_stream_is_not_taken_over_once_its_engine_has_gone_on() -> None:
    silent = mock.Mock()

    async def attempt(continuation: _continuation.Continuation) -> None:
        try:
            await asyncio.sleep(30.0)
        finally:
            await asyncio.sleep(0)
            continuation.take_over()

    continuation = _continuation.Continuation(attempt, silent)
    await asyncio.sleep(0)
    await continuation.cancel()
    assert not continuation.took_over
    silent.assert_not_called()

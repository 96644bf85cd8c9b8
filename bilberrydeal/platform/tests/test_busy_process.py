"""Responses that arrive in time while this process is busy."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from .. import _calls

#: Longest time to the response, or between two parts of it, in seconds.
LIMIT_S = 0.3
#: Time for which the process is busy, in seconds.
BUSY_S = 0.5
#: Time after which the peer sends each part, in seconds.
PART_S = 0.05
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


def _serve(listening: socket.socket, parts: list[bytes]) -> None:
    """Respond to one call part by part."""
    with contextlib.closing(listening.accept()[0]) as connection:
        connection.recv(65_536)
        for part in parts:
            time.sleep(PART_S)
            connection.sendall(part)
        connection.recv(1)


def _work() -> None:
    time.sleep(BUSY_S)


async def _call(
    parts: list[bytes], stall_s: float | None, busy_after_s: float
) -> bytes:
    """Return the body of a call in which this process becomes busy."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        serving = threading.Thread(target=_serve, args=(listening, parts))
        serving.start()
        host, port = listening.getsockname()
        pool = _calls.pool(host, port, 1)
        call = asyncio.ensure_future(
            _calls.call(pool, b"GET", b"/", None, LIMIT_S, stall_s=stall_s)
        )
        await asyncio.sleep(busy_after_s)
        _work()
        try:
            return (await call).body
        finally:
            pool.close()
            await asyncio.to_thread(serving.join)


@pytest.mark.parametrize("name", LOOPS)
@pytest.mark.parametrize(
    ("parts", "stall_s", "busy_after_s"),
    [
        pytest.param([HEAD + b"body"], None, 0.02, id="response"),
        pytest.param([HEAD + b"body"], LIMIT_S, 0.02, id="head"),
        pytest.param([HEAD + b"bo", b"dy"], LIMIT_S, 0.07, id="body"),
    ],
)
def test_busy_process_reads_what_arrived_in_time(
    parts: list[bytes], stall_s: float | None, busy_after_s: float, name: str
) -> None:
    with asyncio.Runner(loop_factory=LOOPS[name]) as runner:
        body = runner.run(_call(parts, stall_s, busy_after_s))
    assert body == b"body"


@pytest.mark.parametrize("name", LOOPS)
def test_response_that_does_not_come_is_given_up(name: str) -> None:
    with (
        asyncio.Runner(loop_factory=LOOPS[name]) as runner,
        pytest.raises(_calls.NoResponse),
    ):
        runner.run(_call([], None, 0.0))

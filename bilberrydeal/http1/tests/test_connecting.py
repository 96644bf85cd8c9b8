"""A connection is given up for what the peer didn't do in time."""

import asyncio
import contextlib
import socket
import time

import pytest
import uvloop

from .. import _client

#: Time for which an attempt may last, in seconds.
LIMIT_S = 0.1
#: Time for which the process is busy with something else, in seconds.
BUSY_S = 0.4
#: Connections that fill the queue of a socket that accepts none.
QUEUED = 2
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    writer.close()


async def _connect_beside_work(passes: int) -> bool:
    """Return whether a connection was made although the process was busy."""
    listening = await asyncio.start_server(_serve, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    attempt = asyncio.ensure_future(
        _client.connect("127.0.0.1", port, LIMIT_S)
    )
    for _ in range(passes):
        await asyncio.sleep(0)
    _work()
    try:
        connection = await attempt
    except _client.NotSent:
        return False
    finally:
        listening.close()
    connection.close()
    return True


def _work() -> None:
    time.sleep(BUSY_S)


@pytest.mark.parametrize("passes", range(5))
@pytest.mark.parametrize("name", LOOPS)
def test_busy_process_gives_up_no_connection_that_its_peer_accepted(
    name: str, passes: int
) -> None:
    with asyncio.Runner(loop_factory=LOOPS[name]) as runner:
        assert runner.run(_connect_beside_work(passes))


async def test_connection_that_nobody_accepts_is_given_up_in_time() -> None:
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind(("127.0.0.1", 0))
        # The kernel answers no attempt that finds the queue full.
        listening.listen(0)
        host, port = listening.getsockname()
        for _ in range(QUEUED):
            queued = stack.enter_context(socket.socket())
            queued.setblocking(False)
            queued.connect_ex((host, port))
        began_s = time.monotonic()
        with pytest.raises(_client.NotSent):
            await _client.connect(host, port, LIMIT_S)
        assert time.monotonic() - began_s >= LIMIT_S

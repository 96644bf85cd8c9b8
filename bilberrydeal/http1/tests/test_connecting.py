"""A connection is given up for what the peer didn't do in time."""

import asyncio
import collections.abc
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from .. import _client

#: Time for which an attempt may last, in seconds.
LIMIT_S = 0.1
#: Time for which the process is busy with something else, in seconds.
BUSY_S = 0.4
#: Longest time that an attempt takes on a busy machine, in seconds; less than
#: the kernel's own limit.
GIVEN_UP_S = 30.0
#: The kernel asks again after this time if its first packet was ignored, in
#: seconds.
ASKS_AGAIN_S = 1.0
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}

each_loop = pytest.mark.parametrize("name", LOOPS)


def _run(name: str, work: collections.abc.Coroutine[None, None, bool]) -> bool:
    with asyncio.Runner(loop_factory=LOOPS[name]) as runner:
        return runner.run(work)


def _work(busy_s: float) -> None:
    time.sleep(busy_s)


async def _is_made(attempt: "asyncio.Task[_client.ClientConnection]") -> bool:
    """Return whether an attempt succeeds."""
    try:
        connection = await attempt
    except _client.NotSent:
        return False
    connection.close()
    return True


async def _connect_beside_work(passes: int) -> bool:
    """Return whether a connection was made although the process was busy."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        attempt = asyncio.ensure_future(
            _client.connect(*_address(listening), LIMIT_S)
        )
        for _ in range(passes):
            await asyncio.sleep(0)
        _work(BUSY_S)
        return await _is_made(attempt)


def _address(listening: socket.socket) -> tuple[str, int]:
    host, port = listening.getsockname()
    return host, port


@each_loop
@pytest.mark.parametrize("passes", range(5))
def test_busy_process_gives_up_no_connection_that_its_peer_accepted(
    name: str, passes: int
) -> None:
    assert _run(name, _connect_beside_work(passes))


@contextlib.contextmanager
def _full_queue() -> collections.abc.Iterator[socket.socket]:
    """Return a socket whose kernel answers no attempt."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        queued = stack.enter_context(socket.socket())
        queued.connect(listening.getsockname())
        yield listening


async def _connect_late_beside_work() -> bool:
    """Return whether a connection was made that was accepted during work."""
    with _full_queue() as listening:
        began_s = time.monotonic()
        attempt = asyncio.ensure_future(
            _client.connect(*_address(listening), ASKS_AGAIN_S + 0.3)
        )
        await asyncio.sleep(0.5)
        accepting = threading.Thread(target=lambda: listening.accept()[0])
        accepting.start()
        await asyncio.sleep(began_s + ASKS_AGAIN_S - 0.2 - time.monotonic())
        _work(2 * BUSY_S)
        made = await _is_made(attempt)
        accepting.join()
        return made


@each_loop
def test_busy_process_gives_up_no_connection_that_was_accepted_meanwhile(
    name: str,
) -> None:
    assert _run(name, _connect_late_beside_work())


async def _connect_in_vain() -> bool:
    with _full_queue() as listening:
        return await _is_made(
            asyncio.ensure_future(
                _client.connect(*_address(listening), LIMIT_S)
            )
        )


@each_loop
def test_connection_that_nobody_accepts_is_given_up_in_time(name: str) -> None:
    began_s = time.monotonic()
    assert not _run(name, _connect_in_vain())
    assert LIMIT_S <= time.monotonic() - began_s < GIVEN_UP_S

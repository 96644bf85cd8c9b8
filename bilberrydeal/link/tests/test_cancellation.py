"""A task cancelled at the moment that nng completes its call must end."""

import asyncio
import collections.abc
import threading
import time

import pynng
import pytest

from bilberrydeal.link import _requests
from bilberrydeal.link import _transport

from . import freeports
from . import harness

#: Time by which the peer's bytes have arrived on loopback.
ARRIVES_S = 0.3


class Peer:
    """Sends one message from its own thread on demand."""

    def __init__(self, socket: pynng.Socket, waits_for_request: bool) -> None:
        self._socket = socket
        self._waits_for_request = waits_for_request
        #: Set when the peer is ready to send.
        self.ready = threading.Event()
        #: Set to make the peer send.
        self.go = threading.Event()
        self._sent = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        if self._waits_for_request:
            self._socket.recv()
        self.ready.set()
        self.go.wait(harness.TIMEOUT_S)
        self._socket.send(b"answer")
        self._sent.set()

    def send(self) -> None:
        """Send while the event loop of the test is blocked."""
        self.go.set()
        assert self._sent.wait(harness.TIMEOUT_S)
        time.sleep(ARRIVES_S)

    def close(self) -> None:
        """Stop the thread and close the socket."""
        self.go.set()
        self._thread.join(harness.TIMEOUT_S)
        self._socket.close()


async def check_cancelled_on_arrival(
    peer: Peer, call: collections.abc.Coroutine[object, object, bytes]
) -> None:
    task = asyncio.create_task(call)
    ready = await asyncio.to_thread(peer.ready.wait, harness.TIMEOUT_S)
    assert ready
    # By now the call is waiting for the peer's message.
    await asyncio.sleep(ARRIVES_S)
    peer.send()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_cancelled_request_ends_when_reply_just_arrived() -> None:
    port = freeports.allocate_ports()
    socket = pynng.Rep0(listen=f"tcp://{harness.ADDRESS}:{port}")
    peer = Peer(socket, waits_for_request=True)
    try:
        await check_cancelled_on_arrival(
            peer,
            _requests.send_request(
                harness.ADDRESS, port, b"?", harness.TIMEOUT_S
            ),
        )
    finally:
        peer.close()


async def test_cancelled_receive_ends_when_frame_just_arrived() -> None:
    port = freeports.allocate_ports()
    socket = pynng.Pair0(listen=f"tcp://{harness.ADDRESS}:{port}")
    peer = Peer(socket, waits_for_request=False)
    pair = _transport.PairSocket(harness.TIMEOUT_S)
    pair.dial(harness.ADDRESS, port)
    try:
        await check_cancelled_on_arrival(peer, pair.receive())
    finally:
        pair.close()
        peer.close()

"""The pair socket that carries one session of a link."""

import asyncio
import typing

import pynng

from . import _nng


class PairSocket:
    """A pair socket that carries one connection and is then closed.

    After a broken connection, nng would redial or accept again on its own
    and silently lose the frames in between. So the end of the first pipe
    ends the socket.
    """

    def __init__(self, send_timeout_s: float) -> None:
        _nng.limit_threads()
        self._loop = asyncio.get_running_loop()
        self._pipe_count = 0
        #: Set when the connection has ended.
        self.ended = asyncio.Event()
        self._socket = pynng.Pair0(
            send_timeout=round(send_timeout_s * _nng.MS_PER_S),
            recv_max_size=_nng.MESSAGE_LIMIT_BYTES,
            reconnect_time_min=_nng.NEVER_MS,
            reconnect_time_max=_nng.NEVER_MS,
        )
        self._socket.add_pre_pipe_connect_cb(self._keep_first_pipe)
        self._socket.add_post_pipe_remove_cb(self._pipe_removed)

    def listen(self, address: str, port: int) -> None:
        """Listen for one connection, or raise :class:`OSError`."""
        try:
            self._socket.listen(_nng.url(address, port))
        except pynng.NNGException as error:
            self.close()
            raise OSError(str(error)) from error

    def dial(self, address: str, port: int) -> None:
        """Connect in the background."""
        self._socket.dial(_nng.url(address, port), block=False)

    async def send(self, frame: bytes) -> None:
        """Send one frame, or raise :class:`ConnectionError`."""
        try:
            await _nng.await_call(self._socket.asend(frame))
        except pynng.NNGException as error:
            raise ConnectionError(str(error)) from error

    async def receive(self) -> bytes:
        """Return the next frame, or raise :class:`ConnectionError`."""
        try:
            frame = await _nng.await_call(self._socket.arecv())
            return typing.cast(bytes, frame)
        except pynng.NNGException as error:
            raise ConnectionError(str(error)) from error

    def close(self) -> None:
        """Close the connection; pending calls raise."""
        self.ended.set()
        self._socket.close()

    def _keep_first_pipe(self, pipe: pynng.Pipe) -> None:
        """Close every pipe after the first; runs in an nng thread."""
        self._pipe_count += 1
        if self._pipe_count > 1:
            pipe.close()

    def _pipe_removed(self, pipe: pynng.Pipe) -> None:
        """Signal the end to the event loop; runs in an nng thread."""
        try:
            self._loop.call_soon_threadsafe(self.ended.set)
        except RuntimeError:
            pass  # The loop is closed, so nothing waits for the event.

"""Sockets of the link, over nng.

The rest of the package sees one pair socket for each session and one
request-reply exchange for each hello; all knowledge of nng stays here.
"""

import asyncio
import collections.abc
import typing

import msgspec
import pynng
from pynng import _nng

from . import _failures
from . import _messages

MS_PER_S = 1000
#: Longer than any process lives here: a socket never sends by itself.
NEVER_MS = 2**31 - 1
#: Time between two dials for one hello. A hello may arrive twice: the
#: session that nobody dials ends by its silence.
HELLO_RECONNECT_MS = 50
#: Frames larger than this are taken for a broken peer.
FRAME_LIMIT_BYTES = 64 * 1024 * 1024
#: Threads of nng that run callbacks; fewer than two is not allowed.
TASK_THREADS = 2
#: Threads of nng that poll sockets, expire timers and resolve names.
OTHER_THREADS = 1

_HELLO_ENCODER = msgspec.msgpack.Encoder()
_HELLO = msgspec.msgpack.Decoder(_messages.Hello)
_HELLO_REPLY = msgspec.msgpack.Decoder(_messages.HelloReply)


def limit_threads() -> None:
    """Keep nng from starting threads by the number of cores.

    It counts only before the first socket of the process; calling it again
    changes nothing.
    """
    lib = _nng.lib
    for name, count in (
        ("NUM_TASK", TASK_THREADS),
        ("MAX_TASK", TASK_THREADS),
        ("NUM_EXPIRE", OTHER_THREADS),
        ("MAX_EXPIRE", OTHER_THREADS),
        ("NUM_POLLER", OTHER_THREADS),
        ("MAX_POLLER", OTHER_THREADS),
        ("NUM_RESOLVER", OTHER_THREADS),
    ):
        parameter = getattr(lib, f"NNG_INIT_{name}_THREADS")
        lib.nng_init_set_parameter(parameter, count)


def url(address: str, port: int) -> str:
    """Return the nng address of an IP number and port.

    Example::

        >>> url("::1", 7000)
        'tcp://[::1]:7000'
    """
    host = f"[{address}]" if ":" in address else address
    return f"tcp://{host}:{port}"


class PairSocket:
    """One pair socket that carries one connection and then is closed.

    nng would dial and accept again by itself after a cut, with the frames
    in between lost without a trace. So the end of the first pipe ends the
    socket.
    """

    def __init__(self, send_timeout_s: float) -> None:
        limit_threads()
        self._loop = asyncio.get_running_loop()
        self._pipes = 0
        #: Set when the connection has ended.
        self.ended = asyncio.Event()
        self._socket = pynng.Pair0(
            send_timeout=round(send_timeout_s * MS_PER_S),
            recv_max_size=FRAME_LIMIT_BYTES,
            reconnect_time_min=NEVER_MS,
            reconnect_time_max=NEVER_MS,
        )
        self._socket.add_pre_pipe_connect_cb(self._admit)
        self._socket.add_post_pipe_remove_cb(self._removed)

    def listen(self, address: str, port: int) -> None:
        """Wait for one connection, or raise :class:`OSError`."""
        try:
            self._socket.listen(url(address, port))
        except pynng.NNGException as error:
            self.close()
            raise OSError(str(error)) from error

    def dial(self, address: str, port: int) -> None:
        """Connect in the background."""
        self._socket.dial(url(address, port), block=False)

    async def send(self, frame: bytes) -> None:
        """Send one frame, or raise :class:`ConnectionError`."""
        try:
            await self._socket.asend(frame)
        except pynng.NNGException as error:
            raise ConnectionError(str(error)) from error

    async def receive(self) -> bytes:
        """Return the next frame, or raise :class:`ConnectionError`."""
        try:
            return typing.cast(bytes, await self._socket.arecv())
        except pynng.NNGException as error:
            raise ConnectionError(str(error)) from error

    def close(self) -> None:
        """End the connection; calls that wait raise."""
        self.ended.set()
        self._socket.close()

    def _admit(self, pipe: pynng.Pipe) -> None:
        """Close each pipe but the first; runs in a thread of nng."""
        self._pipes += 1
        if self._pipes > 1:
            pipe.close()

    def _removed(self, pipe: pynng.Pipe) -> None:
        """Pass the end on to the loop; runs in a thread of nng."""
        try:
            self._loop.call_soon_threadsafe(self.ended.set)
        except RuntimeError:
            pass  # The loop is closed: nobody waits.


async def ask(
    address: str, port: int, hello: _messages.Hello, timeout_s: float
) -> _messages.HelloReply:
    """Send a hello on a connection of its own and return the answer.

    Raises :class:`HelloFailed` when none comes in time.
    """
    limit_threads()
    timeout_ms = max(1, round(timeout_s * MS_PER_S))
    try:
        with pynng.Req0(
            send_timeout=timeout_ms,
            recv_timeout=timeout_ms,
            resend_time=NEVER_MS,
            reconnect_time_min=HELLO_RECONNECT_MS,
            reconnect_time_max=HELLO_RECONNECT_MS,
        ) as socket:
            socket.dial(url(address, port), block=False)
            await socket.asend(_HELLO_ENCODER.encode(hello))
            return _HELLO_REPLY.decode(await socket.arecv())
    except (pynng.NNGException, msgspec.MsgspecError) as error:
        raise _failures.HelloFailed(detail=str(error)) from error


class ControlSocket:
    """Answers hellos on the control port."""

    def __init__(self, address: str, port: int) -> None:
        limit_threads()
        self._socket = pynng.Rep0(recv_max_size=FRAME_LIMIT_BYTES)
        try:
            self._socket.listen(url(address, port))
        except pynng.NNGException as error:
            self._socket.close()
            raise OSError(str(error)) from error

    async def serve(
        self,
        answer: collections.abc.Callable[
            [_messages.Hello], _messages.HelloReply
        ],
    ) -> None:
        """Answer hellos until :meth:`close`; ``answer`` must not raise."""
        while True:
            try:
                await self._serve_one(answer)
            except pynng.Closed:
                return
            except (pynng.NNGException, msgspec.MsgspecError):
                continue  # One bad peer; the next hello is served.

    async def _serve_one(
        self,
        answer: collections.abc.Callable[
            [_messages.Hello], _messages.HelloReply
        ],
    ) -> None:
        hello = _HELLO.decode(await self._socket.arecv())
        await self._socket.asend(_HELLO_ENCODER.encode(answer(hello)))

    def close(self) -> None:
        """Stop answering."""
        self._socket.close()

"""Addresses, limits, thread settings and call handling shared by sockets."""

import asyncio
import collections.abc
import typing

from pynng import _nng

Result = typing.TypeVar("Result")

MS_PER_S = 1000
#: Longer than any process runs, so that nng never resends or redials.
NEVER_MS = 2**31 - 1
#: A larger message counts as a protocol error of the peer.
MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024
#: Threads of nng that run callbacks; nng requires at least two.
TASK_THREADS = 2
#: Threads of nng for each of polling, timers and name resolution.
OTHER_THREADS = 1


def limit_threads() -> None:
    """Keep nng from scaling its thread count with the number of cores.

    Only effective before the process opens its first socket; later calls
    have no effect.
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
    """Return the nng URL of an IP address and port.

    Example::

        >>> url("::1", 7000)
        'tcp://[::1]:7000'
    """
    host = f"[{address}]" if ":" in address else address
    return f"tcp://{host}:{port}"


async def await_call(call: collections.abc.Awaitable[Result]) -> Result:
    """Await a call of the nng library and return its result.

    pynng treats a cancellation as a request only: if the call completes or
    fails at the same moment, pynng ignores the cancellation and the task
    would never end. This function raises the cancellation in that case; the
    result of the call is lost.

    Example::

        frame = await await_call(socket.arecv())
    """
    task = asyncio.current_task()
    assert task is not None
    before = task.cancelling()
    try:
        return await call
    finally:
        if task.cancelling() > before:
            raise asyncio.CancelledError

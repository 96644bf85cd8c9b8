"""What all sockets share: addresses, threads and bounds of nng."""

from pynng import _nng

MS_PER_S = 1000
#: Longer than any process lives here: a socket never sends by itself.
NEVER_MS = 2**31 - 1
#: Larger messages are taken for a broken peer.
MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024
#: Threads of nng that run callbacks; fewer than two is not allowed.
TASK_THREADS = 2
#: Threads of nng that poll sockets, expire timers and resolve names.
OTHER_THREADS = 1


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

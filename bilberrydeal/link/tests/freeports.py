"""Ports on loopback that no other running test process uses.

A port that was free a moment ago may be another process's a moment later, so
each process reserves a block by a bound socket that it holds to its end.
"""

import contextlib
import errno
import functools
import itertools
import os
import socket

#: Addresses that tests listen on; a port is given if it is free on all.
ADDRESSES = ("127.0.0.1", "127.0.0.2")
#: Nothing but the sockets that hold blocks is bound here.
_HOLDING_ADDRESS = "127.0.0.3"
#: Below the ports that the kernel hands out to those who dial.
_FIRST_PORT = 10_000
_BLOCK_PORTS = 400
_BLOCKS = 25


def take(count: int = 1) -> int:
    """Return the first of some ports that follow each other."""
    block = _block()
    for _ in range(2 * _BLOCK_PORTS):
        offset = next(block.offsets)
        ports = range(block.first + offset, block.first + offset + count)
        if offset + count <= _BLOCK_PORTS and all(map(_is_free, ports)):
            for _ in range(count - 1):
                next(block.offsets)
            return ports[0]
    raise OSError(errno.EADDRINUSE, "no port of the block is free")


class _Block:
    """The ports of this process, given in turn."""

    def __init__(self, first: int, holder: socket.socket) -> None:
        self.first = first
        self.holder = holder
        self.offsets = itertools.cycle(range(_BLOCK_PORTS))


@functools.cache
def _block() -> _Block:
    """Reserve a block; the look begins at a place of this process's own."""
    for candidate in range(os.getpid(), os.getpid() + _BLOCKS):
        first = _FIRST_PORT + candidate % _BLOCKS * _BLOCK_PORTS
        holder = bound(_HOLDING_ADDRESS, first)
        if holder is not None:
            return _Block(first, holder)
    raise OSError(errno.EADDRINUSE, "all blocks are taken")


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as probes:
        for address in ADDRESSES:
            probe = bound(address, port)
            if probe is None:
                return False
            probes.enter_context(probe)
    return True


def bound(address: str, port: int) -> socket.socket | None:
    """Return a socket that holds a port, or ``None`` if it is taken."""
    probe = socket.socket()
    try:
        probe.bind((address, port))
    except OSError:
        probe.close()
        return None
    return probe

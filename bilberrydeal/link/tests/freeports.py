"""Ports on loopback that no other running test process uses.

A port that was free a moment ago may since have been bound by another
process, so each process reserves a block of ports. It binds a socket for the
block and keeps it until it exits.
"""

import contextlib
import errno
import functools
import itertools
import os
import socket

#: Addresses that tests listen on; a port must be free on all of them.
ADDRESSES = ("127.0.0.1", "127.0.0.2")
#: Address on which blocks are reserved; nothing else binds to it.
_RESERVATION_ADDRESS = "127.0.0.3"
#: Below the kernel's range of ephemeral ports.
_FIRST_PORT = 10_000
_BLOCK_PORTS = 400
_BLOCKS = 25


def allocate_ports(count: int = 1) -> int:
    """Return the first of ``count`` consecutive free ports."""
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
    """The block of ports reserved by this process, used in rotation."""

    def __init__(self, first: int, reservation: socket.socket) -> None:
        self.first = first
        self.reservation = reservation
        self.offsets = itertools.cycle(range(_BLOCK_PORTS))


@functools.cache
def _block() -> _Block:
    """Reserve a block, starting the search at a process-specific place."""
    for candidate in range(os.getpid(), os.getpid() + _BLOCKS):
        first = _FIRST_PORT + candidate % _BLOCKS * _BLOCK_PORTS
        reservation = bind_if_free(_RESERVATION_ADDRESS, first)
        if reservation is not None:
            return _Block(first, reservation)
    raise OSError(errno.EADDRINUSE, "all blocks are taken")


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as probes:
        for address in ADDRESSES:
            probe = bind_if_free(address, port)
            if probe is None:
                return False
            probes.enter_context(probe)
    return True


def bind_if_free(address: str, port: int) -> socket.socket | None:
    """Return a socket bound to a port, or ``None`` if the port is in use."""
    probe = socket.socket()
    try:
        probe.bind((address, port))
    except OSError:
        probe.close()
        return None
    return probe

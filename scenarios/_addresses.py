"""Allocates loopback addresses and ports to fleets.

Every host has its own address and all hosts use the same ports. Two fleets on
one machine share no address.
"""

import errno
import os
import socket

import attrs

from bilberrydeal.link.tests import freeports

PLATFORM_PORT = 20_000
HTTP_PORT = 20_010
PEER_PORT = 20_011
CONTROL_PORT = 20_020
METRICS_PORT = 20_021
LINK_PORTS_FROM = 20_030
LINK_PORTS = 8
ENDPOINT_PORT = 20_050

ENTRY_PORTS = (HTTP_PORT, PEER_PORT)
AGENT_PORTS = (
    CONTROL_PORT,
    ENDPOINT_PORT,
    *range(LINK_PORTS_FROM, LINK_PORTS_FROM + LINK_PORTS),
)

#: Guard ports are bound on the address that all hosts share.
_GUARD_ADDRESS = "127.0.0.1"
_GUARD_PORTS_FROM = 21_000
_GUARD_PORTS_PER_FLEET = 12
#: Guard ports of a fleet plus the port that reserves its block.
_BLOCK_PORTS = _GUARD_PORTS_PER_FLEET + 1
#: Number of blocks that fit below the kernel's ephemeral ports.
_BLOCK_COUNT = 900
#: Distance between the blocks at which processes start to search.
_BLOCKS_PER_PROCESS = 8
#: Added to a host's number for the address of its front proxy.
_FRONT_OFFSET = 80
#: Added to a host's number for the address of its store proxy.
_STORE_OFFSET = 160

_used_guard_ports: set[int] = set()
#: Bound sockets that reserve the blocks until this process exits.
_reserved: list[socket.socket] = []


@attrs.frozen
class Addresses:
    """Addresses of one fleet."""

    #: Unique number of the fleet, also of its block of guard ports.
    number: int

    def address(self, host: int) -> str:
        """Return the address on which a host's processes listen."""
        return f"127.{128 + (self.number >> 8)}.{self.number & 255}.{host}"

    def front(self, host: int) -> str:
        """Return the address of the proxy in front of a host."""
        return self.address(host + _FRONT_OFFSET)

    def store(self, host: int) -> str:
        """Return the address of a host's proxy to the platform."""
        return self.address(host + _STORE_OFFSET)

    def guard_port(self, host: int) -> int:
        """Return a free guard port for a host's agent."""
        port = _first_port(self.number) + host % _GUARD_PORTS_PER_FLEET
        while port in _used_guard_ports or not _is_free(port):
            port += 1
        _used_guard_ports.add(port)
        return port


def reserve() -> Addresses:
    """Reserve addresses that no other fleet on this machine uses.

    A bound port reserves them until this process exits. The process id alone
    would not separate the fleets of two long-running test processes.
    """
    first = os.getpid() * _BLOCKS_PER_PROCESS
    for candidate in range(first, first + _BLOCK_COUNT):
        number = candidate % _BLOCK_COUNT
        reservation = freeports.bind_if_free(
            _GUARD_ADDRESS, _first_port(number) + _GUARD_PORTS_PER_FLEET
        )
        if reservation is not None:
            _reserved.append(reservation)
            return Addresses(number)
    raise OSError(errno.EADDRINUSE, "all address blocks are in use")


def _first_port(number: int) -> int:
    return _GUARD_PORTS_FROM + number * _BLOCK_PORTS


def _is_free(port: int) -> bool:
    probe = freeports.bind_if_free(_GUARD_ADDRESS, port)
    if probe is None:
        return False
    probe.close()
    return True

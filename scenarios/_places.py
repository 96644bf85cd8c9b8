"""Addresses and ports of a fleet on loopback.

Every host has an address of its own, all hosts use the same ports, and two
fleets on one machine share no address.
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

#: Guards are on the one address that all hosts of a test share.
_GUARD_ADDRESS = "127.0.0.1"
_GUARD_PORTS_FROM = 21_000
_GUARD_PORTS_PER_FLEET = 12
#: The guards of a fleet and the port that reserves its block.
_BLOCK_PORTS = _GUARD_PORTS_PER_FLEET + 1
#: Fleets whose blocks fit below the ports that the kernel hands out.
_BLOCK_COUNT = 900
#: Distance between the blocks where two test processes begin to look.
_BLOCKS_PER_PROCESS = 8
#: Added to a host's number for the address that others reach it at.
_FRONT_OFFSET = 80
#: Added to a host's number for the address that it reaches the platform at.
_STORE_OFFSET = 160

_used_guard_ports: set[int] = set()
#: Keeps the blocks of this process reserved until it ends.
_reserved: list[socket.socket] = []


@attrs.frozen
class Places:
    """Addresses of one fleet."""

    #: Tells fleets apart; also the block of their guards.
    number: int

    def address(self, host: int) -> str:
        """Return where a host's processes listen."""
        return f"127.{128 + (self.number >> 8)}.{self.number & 255}.{host}"

    def front(self, host: int) -> str:
        """Return where others reach a host."""
        return self.address(host + _FRONT_OFFSET)

    def store(self, host: int) -> str:
        """Return where a host reaches the platform."""
        return self.address(host + _STORE_OFFSET)

    def guard_port(self, host: int) -> int:
        """Return a free port for the guard of a host's agent."""
        port = _first_port(self.number) + host % _GUARD_PORTS_PER_FLEET
        while port in _used_guard_ports or not _is_free(port):
            port += 1
        _used_guard_ports.add(port)
        return port


def reserve() -> Places:
    """Return addresses that no other fleet of this machine uses.

    A bound port reserves them until this process ends: a process number
    alone would not tell the fleets of two long test processes apart.
    """
    first = os.getpid() * _BLOCKS_PER_PROCESS
    for candidate in range(first, first + _BLOCK_COUNT):
        number = candidate % _BLOCK_COUNT
        reservation = freeports.bound(
            _GUARD_ADDRESS, _first_port(number) + _GUARD_PORTS_PER_FLEET
        )
        if reservation is not None:
            _reserved.append(reservation)
            return Places(number)
    raise OSError(errno.EADDRINUSE, "all fleets are taken")


def _first_port(number: int) -> int:
    return _GUARD_PORTS_FROM + number * _BLOCK_PORTS


def _is_free(port: int) -> bool:
    probe = freeports.bound(_GUARD_ADDRESS, port)
    if probe is None:
        return False
    probe.close()
    return True

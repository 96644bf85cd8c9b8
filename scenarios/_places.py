"""Addresses and ports of a fleet on loopback.

Every host has an address of its own, all hosts use the same ports, and two
fleets on one machine share no address.
"""

import itertools
import os
import socket

import attrs

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
_GUARDS_FROM = 21_000
_GUARDS_A_FLEET = 12
#: Fleets whose guards fit below the ports that the kernel hands out.
_GUARD_BLOCKS = 900
#: Fleets that can be told apart.
_FLEETS = 1 << 15
#: Fleets that one test process may start before addresses come again.
_FLEETS_A_PROCESS = 8
#: Added to a host's number for the address that others reach it at.
_FRONT = 80
#: Added to a host's number for the address that it reaches the platform at.
_STORE = 160

_started = itertools.count()
_given: set[int] = set()


@attrs.frozen
class Places:
    """Addresses of one fleet."""

    #: Tells fleets apart.
    number: int

    def address(self, host: int) -> str:
        """Return where a host's processes listen."""
        return f"127.{128 + (self.number >> 8)}.{self.number & 255}.{host}"

    def front(self, host: int) -> str:
        """Return where others reach a host."""
        return self.address(host + _FRONT)

    def store(self, host: int) -> str:
        """Return where a host reaches the platform."""
        return self.address(host + _STORE)

    def guard_port(self, host: int) -> int:
        """Return a free port for the guard of a host's agent."""
        block = self.number % _GUARD_BLOCKS * _GUARDS_A_FLEET
        port = _GUARDS_FROM + block + host % _GUARDS_A_FLEET
        while port in _given or not _is_free(port):
            port += 1
        _given.add(port)
        return port


def take() -> Places:
    """Return addresses that no other fleet of this machine uses."""
    number = os.getpid() * _FLEETS_A_PROCESS + next(_started)
    return Places(number % _FLEETS)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True

"""Socket options and states that tell of a peer."""

import asyncio
import fcntl
import socket
import struct
import termios

#: Time after which unacknowledged bytes end a connection, in milliseconds.
USER_TIMEOUT_MS = 1500
#: Idle time before the first keep-alive probe, in seconds.
PROBE_IDLE_S = 1
#: Time between two keep-alive probes, in seconds.
PROBE_INTERVAL_S = 1
#: Number of unanswered probes after which a connection ends.
PROBE_COUNT = 2


def enable_peer_timeouts(transport: asyncio.BaseTransport) -> None:
    """Make the kernel end the connection if its peer stops responding."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)


def was_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has reset the connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the bytes written that the peer's host has not acknowledged."""
    waiting_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return waiting_bytes
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not a socket that tells it: what this process holds has to do.
        return waiting_bytes
    (sent_bytes,) = struct.unpack("i", found)
    return waiting_bytes + int(sent_bytes)

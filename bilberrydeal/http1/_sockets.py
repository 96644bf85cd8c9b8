"""Socket options that tell of a peer."""

import asyncio
import socket
import typing

from .. import endings

#: Time after which unacknowledged bytes end a connection to an endpoint, in
#: milliseconds. It also ends one whose peer reads nothing for so long.
USER_TIMEOUT_MS = 1500
#: The same while a large request is written, which may take longer to read.
LARGE_USER_TIMEOUT_MS = 10_000
#: Idle time before the first keep-alive probe, in seconds.
PROBE_IDLE_S = 1
#: Time between two keep-alive probes, in seconds.
PROBE_INTERVAL_S = 1
#: Number of unanswered probes after which a connection ends.
PROBE_COUNT = 2


def enable_keep_alive(transport: asyncio.BaseTransport) -> None:
    """Make the kernel end an idle connection whose peer is gone.

    While bytes are unread nothing ends it here: a peer may read slowly.
    """
    sock = _tcp_socket(transport)
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)


def limit_unacknowledged(
    transport: asyncio.BaseTransport, size_bytes: int
) -> None:
    """Make the kernel end a connection that acknowledges nothing.

    ``size_bytes`` is the size of what is written next.
    """
    sock = _tcp_socket(transport)
    if sock is None:
        return
    limit_ms = USER_TIMEOUT_MS
    if size_bytes >= endings.LARGE_BYTES:
        limit_ms = LARGE_USER_TIMEOUT_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def _tcp_socket(transport: asyncio.BaseTransport) -> socket.socket | None:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return None
    return typing.cast(socket.socket, sock)

"""Options of sockets that reveal a peer that went silent."""

import asyncio
import socket

#: Unacknowledged bytes end a connection after so long, in milliseconds.
USER_TIMEOUT_MS = 1500
#: Quiet time before the first keep-alive probe, in seconds.
PROBE_IDLE_S = 1
#: Time between two probes, in seconds.
PROBE_INTERVAL_S = 1
#: Unanswered probes that end a connection.
PROBES = 2


def watch_peer(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end the connection when its peer stays silent."""
    found = transport.get_extra_info("socket")
    if found is None or found.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    found.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    found.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    found.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    found.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)

"""States of a socket that tell how far its peer has come."""

import asyncio
import fcntl
import socket
import struct
import termios


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

"""Watches a connection after its peer has ended its own direction."""

import asyncio
import collections.abc

from . import _transports

#: Interval between two checks, in seconds.
CHECK_INTERVAL_S = 0.005
#: Time for which a reset counts after the end and the last acknowledgement:
#: the peer's host may hold bytes that the peer has not read, and resets the
#: connection as the peer closes it. In seconds, if a body was sent.
RESET_GRACE_S = 0.02
#: The same for large bodies, which are more often left unread, in seconds.
LARGE_RESET_GRACE_S = 0.1
#: Size from which on a body is large: smaller ones fit into the receive buffer
#: of a peer, in bytes.
LARGE_BYTES = 65_536

Callback = collections.abc.Callable[[], None]


class EndWatch:
    """Tells whether an ended connection is sound.

    It is once the peer's host has acknowledged all that was written, and no
    reset has followed for a while: a peer that ends a connection before it
    has read what was sent resets it as more arrives, or as it closes its
    socket. The transport has to stay open meanwhile.

    Example::

        def eof_received(self) -> bool:
            watch = EndWatch(transport, body_bytes, self.whole, self.broken)
            return watch.start()
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        body_bytes: int,
        on_sound: Callback,
        on_reset: Callback,
    ) -> None:
        self._transport = transport
        self._on_sound = on_sound
        self._on_reset = on_reset
        self._loop = asyncio.get_running_loop()
        #: Checks without a reset that are due once all is acknowledged.
        #: Counted rather than timed, as a loop that stands still sees nothing.
        self._checks = round(_grace_s(body_bytes) / CHECK_INTERVAL_S)
        self._checks_left = self._checks

    def start(self) -> bool:
        """Begin to watch; return whether the transport has to stay open.

        One of the callbacks may be called at once.
        """
        return self._check()

    def _check(self) -> bool:
        if self._transport.is_closing():
            # A failed write drops what it could not send; the loss of the
            # connection is still to be reported.
            return False
        if _transports.was_reset(self._transport):
            self._on_reset()
            return False
        if self._unacknowledged:
            self._checks_left = self._checks
        elif self._checks_left > 0:
            self._checks_left -= 1
        else:
            self._on_sound()
            return False
        self._loop.call_later(CHECK_INTERVAL_S, self._check)
        return True

    @property
    def _unacknowledged(self) -> bool:
        return _transports.unacknowledged_bytes(self._transport) > 0


def _grace_s(body_bytes: int) -> float:
    if body_bytes >= LARGE_BYTES:
        return LARGE_RESET_GRACE_S
    return RESET_GRACE_S if body_bytes else 0.0

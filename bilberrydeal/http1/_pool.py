"""Connections to one address that are kept for further requests."""

from . import _client

#: Idle connections are given up so long before the peer closes them.
KEEP_MARGIN_S = 0.4
#: Idle time of a connection whose peer names no timeout, in seconds.
KEEP_DEFAULT_S = 4.0
#: Longest wait for a new connection, in seconds.
CONNECT_TIMEOUT_S = 0.4


class Pool:
    """Keeps connections to one address, the last used first.

    Example::

        connection = await pool.take(now_s)
        try:
            ...
        finally:
            pool.give_back(connection, now_s)
    """

    def __init__(self, host: str, port: int, id_header: bytes = b"") -> None:
        self.host = host
        self.port = port
        #: Most connections that are open at once.
        self.limit = 1
        #: Connections that carry a request or are being opened.
        self.busy = 0
        #: Connections opened so far.
        self.opened = 0
        self._id_header = id_header
        self._idle: list[_client.ClientConnection] = []

    @property
    def full(self) -> bool:
        """Return whether no further request can be carried."""
        return self.busy >= self.limit

    def fits(self, connection: _client.ClientConnection, now_s: float) -> bool:
        """Return whether an idle connection is surely still open."""
        if connection.closed:
            return False
        keep_s = connection.keep_s
        bound_s = KEEP_DEFAULT_S if keep_s is None else keep_s - KEEP_MARGIN_S
        return now_s - connection.used_s < bound_s

    async def take(
        self, now_s: float, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> _client.ClientConnection:
        """Return a connection; raises ``Unsent`` where none can be had."""
        if self.full:
            raise _client.Unsent("all connections are busy")
        self.busy += 1
        while self._idle:
            connection = self._idle.pop()
            if self.fits(connection, now_s):
                return connection
            connection.close()
        try:
            connection = await _client.connect(
                self.host, self.port, timeout_s, self._id_header
            )
        except BaseException:
            self.busy -= 1
            raise
        self.opened += 1
        return connection

    def give_back(
        self, connection: _client.ClientConnection, now_s: float
    ) -> None:
        """Keep a connection whose answer is whole; reset any other."""
        self.busy -= 1
        connection.used_s = now_s
        if not connection.done:
            connection.abort()
        elif connection.closed:
            connection.close()
        else:
            self._idle.append(connection)

    def sweep(self, now_s: float) -> None:
        """Close idle connections that the peer is about to close."""
        kept = []
        for connection in self._idle:
            if self.fits(connection, now_s):
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle = []

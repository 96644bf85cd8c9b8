"""A pool of reusable connections to one address."""

from . import _client

#: Idle connections are closed this long before the peer would close them,
#: in seconds.
KEEP_ALIVE_MARGIN_S = 0.4
#: Idle time allowed if the peer announces no timeout, in seconds.
DEFAULT_KEEP_ALIVE_S = 4.0
#: Timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 0.4


class Pool:
    """Pools connections to one address and reuses the last used one first.

    Example::

        connection = await pool.acquire(now_s)
        try:
            ...
        finally:
            pool.release(connection, now_s)
    """

    def __init__(self, host: str, port: int, id_header: bytes = b"") -> None:
        self.host = host
        self.port = port
        #: Maximum number of open connections.
        self.limit = 1
        #: Number of connections that carry a request or are being opened.
        self.busy = 0
        #: Number of connections opened so far.
        self.opened = 0
        self._id_header = id_header
        self._idle: list[_client.ClientConnection] = []

    @property
    def exhausted(self) -> bool:
        """Return whether all connections are in use."""
        return self.busy >= self.limit

    def is_usable(
        self, connection: _client.ClientConnection, now_s: float
    ) -> bool:
        """Return whether the peer certainly keeps a connection open."""
        if connection.closed:
            return False
        keep_alive_s = connection.keep_alive_s
        max_idle_s = (
            DEFAULT_KEEP_ALIVE_S
            if keep_alive_s is None
            else keep_alive_s - KEEP_ALIVE_MARGIN_S
        )
        return now_s - connection.last_used_s < max_idle_s

    async def acquire(
        self, now_s: float, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> _client.ClientConnection:
        """Return a connection; raises ``NotSent`` if none is available."""
        if self.exhausted:
            raise _client.NotSent("connection pool exhausted")
        self.busy += 1
        while self._idle:
            connection = self._idle.pop()
            if self.is_usable(connection, now_s):
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

    def release(
        self, connection: _client.ClientConnection, now_s: float
    ) -> None:
        """Reuse a connection whose response is complete; reset any other.

        One whose request is not read yet sends the rest before it is closed;
        another request would wait behind it.
        """
        self.busy -= 1
        connection.last_used_s = now_s
        if not connection.done:
            connection.abort()
        elif connection.closed or connection.sending:
            connection.close()
        else:
            self._idle.append(connection)

    def close_expired(self, now_s: float) -> None:
        """Close idle connections whose keep-alive time is over."""
        usable = []
        for connection in self._idle:
            if self.is_usable(connection, now_s):
                usable.append(connection)
            else:
                connection.close()
        self._idle = usable

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle = []

"""HTTP/1.1 server: accepts connections and closes them."""

import asyncio
import collections
import collections.abc
import contextlib
import math
import operator

from .. import telemetry
from . import _budget
from . import _connection
from . import _limits
from . import _request_task
from . import _work_queue

LOG = telemetry.logger("http")
#: Shortest time between two log lines about refused callers, in seconds.
REFUSALS_LOG_INTERVAL_S = 10.0
#: Bytes that are read from a connection at a time. More would be held for
#: every connection whose bytes wait to be parsed.
READ_BYTES = 16_384
#: Time within a head, or without a request, after which a connection may be
#: closed in favour of a new one, in seconds.
EVICTABLE_AFTER_S = 0.5


class HttpServer:
    """Accepts callers' connections on one port.

    Example::

        server = HttpServer(handler, lambda: limits, clock)
        await server.listen("127.0.0.1", 8080)
    """

    def __init__(
        self,
        handler: _request_task.Handler,
        limits: collections.abc.Callable[[], _limits.ServerLimits],
        clock: _connection.Clock,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.clock = clock
        #: Whether responses ask callers to close the connection.
        self.draining = False
        self.connections: set[_connection.Connection] = set()
        #: Memory held for all connections.
        self.budget = _budget.MemoryBudget()
        #: Connections whose bytes wait to be parsed.
        self.work = _work_queue.WorkQueue(clock)
        #: Buffer that all connections read into, one after the other.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        #: Refusals that were logged, and when, monotonic seconds.
        self._logged: collections.Counter[str] = collections.Counter()
        self._logged_s = -math.inf
        self._server: asyncio.Server | None = None
        self._request_ended = asyncio.Event()

    async def listen(self, host: str, port: int, backlog: int = 1024) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _connection.Connection(self), host, port, backlog=backlog
        )

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def requests_open(self) -> int:
        """Return the number of connections that read or serve a request."""
        return sum(not connection.idle for connection in self.connections)

    def enforce_timeouts(self, now_s: float) -> None:
        """Enforce the timeouts on all connections."""
        limits = self.limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(limits, now_s)
        self._log_refusals(limits, now_s)

    def _log_refusals(
        self, limits: _limits.ServerLimits, now_s: float
    ) -> None:
        """Log how many callers were refused, in one line for all."""
        refused = self.budget.refused - self._logged
        if not refused or now_s - self._logged_s < REFUSALS_LOG_INTERVAL_S:
            return
        self._logged = self.budget.refused.copy()
        self._logged_s = now_s
        LOG.warning(
            "Callers refused.",
            port=self.port,
            refused=dict(refused),
            held_bytes=self.budget.used_bytes,
            memory_bytes=limits.memory_bytes,
            connections=len(self.connections),
        )

    def make_room(self, now_s: float) -> bool:
        """Make room for a new connection; return whether there is any.

        If too many are open, the one goes that takes longest with its head or
        its first request.
        """
        if len(self.connections) < self.limits().connections:
            return True
        self.budget.refused[_budget.Reason.CONNECTIONS] += 1
        oldest = min(
            (each for each in self.connections if each.evictable),
            key=operator.attrgetter("stage_started_s"),
            default=None,
        )
        if oldest is None:
            return False
        if now_s - oldest.stage_started_s < EVICTABLE_AFTER_S:
            return False
        oldest.evict()
        return True

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is open; return ``False`` on a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(timeout_s, 0.0)):
                while self.requests_open:
                    self._request_ended.clear()
                    await self._request_ended.wait()
        return not self.requests_open

    async def wait_closed(self, timeout_s: float) -> bool:
        """Wait until all connections have ended; ``False`` on a timeout.

        A connection ends once the peer has taken all that was sent.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(timeout_s, 0.0)):
                while self.connections:
                    self._request_ended.clear()
                    await self._request_ended.wait()
        return not self.connections

    def cancel_requests(self) -> None:
        """Cancel the requests that are being served."""
        for connection in list(self.connections):
            connection.cancel_request()

    def notify_request_ended(self) -> None:
        """Wake waiters after a request ended or a connection was lost."""
        self._request_ended.set()

    def close_idle(self) -> None:
        """Close idle connections."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def abort(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()

"""A limit of time for what a peer does."""

import asyncio
import types

#: Passes of the event loop in which what a peer did reaches those who wait
#: for it.
LOOP_PASSES = 3


class PeerTimeout:
    """Ends a block of which the peer's part isn't done in time.

    If this process was busy meanwhile, its event loop first handles what the
    peer did in time; with :func:`asyncio.timeout` the timer would win. Raises
    ``TimeoutError``.

    Example::

        async with PeerTimeout(0.5):
            head = await connection.head()
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.Handle

    async def __aenter__(self) -> "PeerTimeout":
        await self._timeout.__aenter__()
        self._start_timer(self._limit_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._timer.cancel()
        await self._timeout.__aexit__(kind, error, trace)

    def extend(self, limit_s: float) -> None:
        """Let the block take so long from now on."""
        self._timer.cancel()
        self._start_timer(limit_s)

    def _start_timer(self, limit_s: float) -> None:
        self._timer = self._loop.call_later(limit_s, self._expire, LOOP_PASSES)

    def _expire(self, passes: int) -> None:
        if passes:
            self._timer = self._loop.call_soon(self._expire, passes - 1)
        else:
            self._timeout.reschedule(self._loop.time())

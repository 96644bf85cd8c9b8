"""Continues a stream at another engine while its own engine is silent."""

import asyncio
import collections.abc
import typing

Attempt = collections.abc.Callable[
    ["Continuation"], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Continued(Exception):
    """Another engine has taken over a stream from a silent one."""

    def __init__(self, continuation: "Continuation") -> None:
        super().__init__()
        #: The attempt that has the stream now.
        self.continuation = continuation


class Continuation:
    """An attempt to continue a stream at another engine.

    The silent engine keeps its connection until the other engine has sent an
    event: it may only have paused, and the other one may refuse the request or
    fail. Whichever sends an event first has the stream.

    Example::

        continuation = Continuation(attempt, connection.abort)
        await asyncio.wait([continuation.task, chunk])
        if continuation.took_over:
            raise Continued(continuation)
    """

    def __init__(
        self,
        attempt: Attempt,
        abort_silent: collections.abc.Callable[[], None],
    ) -> None:
        self._abort_silent = abort_silent
        self._cancelled = False
        #: Whether the other engine has the stream.
        self.took_over = False
        loop = asyncio.get_running_loop()
        self._taken_over: asyncio.Future[None] = loop.create_future()
        self.task = loop.create_task(attempt(self))

    def take_over(self) -> None:
        """Cancel the run of the silent engine; called before each event.

        Raises ``CancelledError`` if that engine has gone on meanwhile.
        """
        if self.took_over:
            return
        if self._cancelled:
            raise asyncio.CancelledError
        self._abort_silent()
        self.took_over = True
        self._taken_over.set_result(None)

    async def decided(self) -> None:
        """Wait until the other engine has the stream, or has failed."""
        await asyncio.wait(
            [self.task, self._taken_over],
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def failure(self) -> BaseException | None:
        """Wait for the end; return why it failed, or ``None``."""
        await asyncio.wait([self.task])
        if self.task.cancelled():
            return asyncio.CancelledError()
        return self.task.exception()

    async def cancel(self) -> None:
        """Cancel the attempt and wait until its connection is released."""
        self._cancelled = True
        self.task.cancel()
        await asyncio.wait([self.task])

"""Calls whose result several tasks wait for."""

import asyncio
import collections.abc

from ... import errors
from ... import telemetry

LOG = telemetry.logger("origins")

Call = collections.abc.Callable[
    [], collections.abc.Coroutine[object, object, None]
]


class SharedCalls:
    """Runs one call at a time for each key, for all that wait for it.

    A call goes on when a waiter is cancelled, also if no other is left: what
    it reads is of use to the next one.

    Example::

        await calls.run("stream", lambda: rows.read("stream"))
    """

    def __init__(self) -> None:
        self._running: dict[str, asyncio.Task[None]] = {}
        #: Whether the call that ended last failed, so that the next ones
        #: will probably fail too.
        self.failing = False

    async def run(self, key: str, call: Call) -> None:
        """Wait for the running call of a key, or for a new one."""
        task = self._running.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(call())
            self._running[key] = task
            task.add_done_callback(lambda done: self._finish(key, done))
        await asyncio.shield(task)

    def _finish(self, key: str, task: asyncio.Task[None]) -> None:
        del self._running[key]
        if task.cancelled():
            return
        error = task.exception()
        self.failing = error is not None
        if error is None:
            return
        if isinstance(error, errors.BilberrydealError):
            LOG.debug("Shared call failed.", key=key, reason=str(error))
            return
        LOG.error("Shared call failed.", key=key, exc_info=error)

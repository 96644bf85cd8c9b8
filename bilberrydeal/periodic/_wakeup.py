"""Ends the pause of a loop early."""

import asyncio
import contextlib


class Wakeup:
    """Lets a loop do its work before its pause is over.

    Example::

        wakeup = Wakeup()
        loop = run_periodically("w", lambda: 4.0, work, wakeup.sleep)
        wakeup.wake_in(0.2)
    """

    def __init__(self) -> None:
        #: Loop time at which the work is due, infinite if it is not.
        self._due_s = float("inf")
        self._changed = asyncio.Event()

    def wake_in(self, delay_s: float) -> None:
        """Let the work be done after a delay, unless it is due already.

        While the work is being done, it is done once more.
        """
        if self._due_s == float("inf"):
            self._due_s = asyncio.get_running_loop().time() + delay_s
            self._changed.set()

    async def sleep(self, pause_s: float) -> None:
        """Wait for a pause, or until the work is due."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + pause_s
        while (left_s := min(until_s, self._due_s) - loop.time()) > 0.0:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
        self._due_s = float("inf")

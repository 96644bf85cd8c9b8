"""An event loop on virtual time."""

import asyncio
import collections.abc
import selectors
import typing

Result = typing.TypeVar("Result")


class _NonBlockingSelector(selectors.DefaultSelector):
    """A selector that never blocks, because time is virtual."""

    def select(self, timeout: float | None = None) -> typing.Any:
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs ready tasks and advances virtual time over all sleeps."""

    def __init__(self) -> None:
        super().__init__(_NonBlockingSelector())
        self.now_s = 1_000.0

    def time(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def run(
        self, work: collections.abc.Coroutine[object, object, Result]
    ) -> Result:
        """Run to completion, advancing the time from timer to timer."""
        task = self.create_task(work)
        while not task.done():
            self._run_ready()
            if not task.done():
                self.now_s = max(self.now_s, self._next_timer_s())
        return task.result()

    def advance(self, seconds: float) -> None:
        """Advance the virtual time and run all timers that become due."""
        target_s = self.now_s + seconds
        self._run_ready()
        while self._next_timer_s() <= target_s:
            self.now_s = max(self.now_s, self._next_timer_s())
            self._run_ready()
        self.now_s = target_s
        self._run_ready()

    def _next_timer_s(self) -> float:
        scheduled = self._scheduled  # type: ignore[attr-defined]
        times = [t.when() for t in scheduled if not t.cancelled()]
        return min(times, default=float("inf"))

    def _run_ready(self) -> None:
        while True:
            self.call_soon(self.stop)
            self.run_forever()
            if not self._ready:  # type: ignore[attr-defined]
                return

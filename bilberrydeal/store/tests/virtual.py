"""An event loop with a clock of the test's own."""

import asyncio
import collections.abc
import selectors
import typing

Result = typing.TypeVar("Result")


class _Ready(selectors.DefaultSelector):
    """Never waits, since time passes only when the test says so."""

    def select(self, timeout: float | None = None) -> typing.Any:
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks at once and jumps over all sleeps."""

    def __init__(self) -> None:
        super().__init__(_Ready())
        self.now_s = 1_000.0

    def time(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def run(
        self, work: collections.abc.Coroutine[object, object, Result]
    ) -> Result:
        """Run to completion, jumping from timer to timer."""
        task = self.create_task(work)
        while not task.done():
            self._settle()
            if not task.done():
                self.now_s = max(self.now_s, self._next_s())
        return task.result()

    def advance(self, seconds: float) -> None:
        """Let time pass for all tasks."""
        target_s = self.now_s + seconds
        self._settle()
        while self._next_s() <= target_s:
            self.now_s = max(self.now_s, self._next_s())
            self._settle()
        self.now_s = target_s
        self._settle()

    def _next_s(self) -> float:
        scheduled = self._scheduled  # type: ignore[attr-defined]
        times = [t.when() for t in scheduled if not t.cancelled()]
        return min(times, default=float("inf"))

    def _settle(self) -> None:
        while True:
            self.call_soon(self.stop)
            self.run_forever()
            if not self._ready:  # type: ignore[attr-defined]
                return

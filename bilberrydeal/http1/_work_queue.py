"""Shares the event loop between connections with much to parse."""

import asyncio
import collections
import collections.abc
import typing

#: Time in one iteration of the event loop after which the next connection
#: waits for another iteration, in seconds.
TURN_S = 0.002


class Worker(typing.Protocol):
    """Interface of a connection that the queue uses."""

    def parse_slice(self) -> bool:
        """Parse a bounded number of bytes; return whether there are more."""


class WorkQueue:
    """Lets connections parse in turn, for a short time in each iteration.

    Events of other connections are handled between two iterations, so a
    connection with little to parse never waits for those that have much.
    """

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._workers: collections.deque[Worker] = collections.deque()
        self._scheduled = False

    def add(self, worker: Worker) -> None:
        """Add a connection that is not in the queue."""
        self._workers.append(worker)
        self._schedule()

    def _schedule(self) -> None:
        if self._workers and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        end_s = self._clock() + TURN_S
        while self._workers:
            worker = self._workers.popleft()
            if worker.parse_slice():
                self._workers.append(worker)
            if self._clock() > end_s:
                break
        self._schedule()

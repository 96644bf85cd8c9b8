"""Reads of the same rows of which the first response counts."""

import asyncio
import collections.abc

import attrs

from ... import errors
from ... import http1
from ... import ports


@attrs.frozen
class Answer:
    """What the store responded to a read."""

    found: ports.Changes
    #: From when on it may be outdated, monotonic seconds.
    sent_s: float
    #: Time that its head took beyond the wait, in seconds, as far as that is
    #: known.
    delay_s: float = 0.0


#: Reads until there is an answer; tells when rows begin to arrive.
Read = collections.abc.Callable[
    [ports.OnRows], collections.abc.Coroutine[None, None, Answer]
]


class ConcurrentReads:
    """Runs reads side by side, the later ones beside those that are late.

    Once rows arrive for one of them the others are cancelled, so that they
    take no part of the link.

    Example::

        reads = ConcurrentReads()
        reads.start(read)
        if not await reads.responded_within(0.5):
            reads.start(read_on_another_connection)
        answer = await reads.first()
        await reads.stop()
    """

    def __init__(self) -> None:
        #: Reads that count, in the order in which they were started.
        self._tasks: list[asyncio.Task[Answer]] = []
        #: Reads that do not count any more.
        self._cancelled: set[asyncio.Task[Answer]] = set()
        #: Set once rows arrive, or there is an answer or no read that goes on.
        self._responded = asyncio.Event()

    @property
    def running(self) -> bool:
        """Return whether there are reads whose answers are not taken yet."""
        return bool(self._tasks)

    def start(self, read: Read) -> asyncio.Task[Answer]:
        """Start a read, and return its task."""
        task: asyncio.Task[Answer] = asyncio.create_task(
            read(lambda: self._note_rows(task))
        )
        task.add_done_callback(self._note_end)
        self._tasks.append(task)
        return task

    async def responded_within(self, limit_s: float) -> bool:
        """Return whether a response begins within a time."""
        if self._responded.is_set():
            return True
        try:
            async with http1.PeerTimeout(limit_s):
                await self._responded.wait()
        except TimeoutError:
            return False
        return True

    async def first(self) -> Answer:
        """Return the first answer, or raise what ended the last read.

        Reads that were started before that one are cancelled: what they tell
        is no newer.
        """
        while True:
            await asyncio.wait(
                self._tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in self._tasks:
                if task.done():
                    return self._take(task)

    def cancel(self) -> None:
        """Cancel all reads, and with them their connections."""
        self._cancel(self._tasks)
        self._tasks = []
        self._responded.clear()

    async def stop(self) -> None:
        """Cancel all reads, and wait for their end."""
        self.cancel()
        await asyncio.gather(*self._cancelled, return_exceptions=True)

    def _take(self, task: asyncio.Task[Answer]) -> Answer:
        """Return the answer of a read, or raise what ended it."""
        number = self._tasks.index(task)
        self._cancel(self._tasks[:number])
        self._tasks = self._tasks[number + 1 :]
        if not any(other.done() for other in self._tasks):
            self._responded.clear()
        return task.result()

    def _cancel(
        self, tasks: collections.abc.Iterable[asyncio.Task[Answer]]
    ) -> None:
        for task in tasks:
            if task.cancel():
                self._cancelled.add(task)
                task.add_done_callback(self._cancelled.discard)

    def _note_rows(self, task: asyncio.Task[Answer]) -> None:
        """Leave the link to the read whose rows arrive."""
        if task not in self._tasks:
            return
        self._cancel(other for other in self._tasks if other is not task)
        self._tasks = [task]
        self._responded.set()

    def _note_end(self, task: asyncio.Task[Answer]) -> None:
        if task not in self._tasks:
            if not task.cancelled():
                # Else asyncio reports the error of a read that does not count.
                task.exception()
        elif _has_no_response(task) and len(self._tasks) > 1:
            # Those beside it may succeed.
            self._tasks.remove(task)
        else:
            self._responded.set()


def _has_no_response(task: asyncio.Task[Answer]) -> bool:
    if task.cancelled():
        return True
    return isinstance(task.exception(), errors.StoreUnavailable)

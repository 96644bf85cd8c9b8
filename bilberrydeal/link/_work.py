"""One request as the agent sees it."""

import asyncio
import collections
import collections.abc
import typing

from .. import errors
from . import _messages

#: Parts of one answer that the agent keeps until they are acknowledged;
#: one that has more waits, and so does the engine behind it.
UNACKNOWLEDGED_LIMIT = 1024

Part = _messages.Chunk | _messages.Finished | _messages.Refused


class Work:
    """A request handed to the executor, and the answer it makes.

    The executor calls :meth:`start` when any part of the request may run
    from then on, :meth:`emit` for each part and one of :meth:`finish` and
    :meth:`refuse` in the end.
    """

    def __init__(
        self,
        submit: _messages.Submit,
        arrived_at_s: float,
        publish: collections.abc.Callable[["Work", Part], None],
        taken: _messages.TakeOver | None = None,
    ) -> None:
        #: What was asked.
        self.submit = submit
        #: When it arrived, monotonic seconds.
        self.arrived_at_s = arrived_at_s
        #: When it has to have ended, monotonic seconds.
        self.deadline_s = arrived_at_s + submit.time_left_s
        #: How far a predecessor of this agent had come, if it had this.
        self.taken = taken
        #: Whether any part of it may have run.
        self.started = taken is not None
        #: Whether its answer is complete.
        self.ended = False
        #: The last part, when it has ended.
        self.last: _messages.Finished | _messages.Refused | None = None
        #: Whether parts may be sent on the present session.
        self.attached = False
        #: Whether nobody will ask for the answer any more.
        self.discarded = False
        self._publish = publish
        self._parts: collections.deque[Part] = collections.deque()
        self._count = taken.chunk if taken else 0
        self._room = asyncio.Event()
        self._room.set()

    @property
    def sequence(self) -> int:
        """Sequence of the request at its entry."""
        return self.submit.number.sequence

    @property
    def acknowledged(self) -> bool:
        """Whether the whole answer has been acknowledged."""
        return self.ended and not self._parts

    def start(self) -> None:
        """Say that a part of the request may run from now on."""
        self.started = True

    async def emit(self, text: str, tokens: int) -> None:
        """Add a part to the answer; waits while too many are not taken."""
        if self.ended:
            return
        self._add(
            _messages.Chunk(
                sequence=self.sequence,
                chunk=self._count + 1,
                text=text,
                tokens=tokens,
            )
        )
        if len(self._parts) >= UNACKNOWLEDGED_LIMIT:
            self._room.clear()
            await self._room.wait()

    def finish(self, status: int, **fields: typing.Any) -> None:
        """End the answer; ``fields`` are those of :class:`Finished`."""
        if self.ended:
            return
        self._end(
            _messages.Finished(
                sequence=self.sequence,
                chunk=self._count + 1,
                status=status,
                **fields,
            )
        )

    def refuse(
        self, reason: errors.ErrorCode, retry_after_s: float = 0.0
    ) -> None:
        """End without an answer; says whether any part may have run."""
        if self.ended:
            return
        self._end(
            _messages.Refused(
                sequence=self.sequence,
                chunk=self._count + 1,
                reason=reason.value,
                started=self.started,
                retry_after_s=retry_after_s,
            )
        )

    def forget(self, chunk: int) -> None:
        """Drop the parts up to an acknowledged one."""
        while self._parts and self._parts[0].chunk <= chunk:
            self._parts.popleft()
        if len(self._parts) < UNACKNOWLEDGED_LIMIT:
            self._room.set()

    def past(self, chunk: int) -> list[Part]:
        """Return the parts after one that arrived."""
        return [part for part in self._parts if part.chunk > chunk]

    def covers(self, chunk: int) -> bool:
        """Whether all parts after one that arrived are still there."""
        return self._count - len(self._parts) <= chunk

    def discard(self) -> None:
        """Drop all parts, kept and to come: nobody will ask for them."""
        self.discarded = True
        self.forget(self._count)

    def _end(self, last: _messages.Finished | _messages.Refused) -> None:
        self.ended = True
        self.last = last
        self._room.set()
        self._add(last)

    def _add(self, part: Part) -> None:
        self._count = part.chunk
        self._parts.append(part)
        self._publish(self, part)


class Executor(typing.Protocol):
    """Runs requests; calls return at once."""

    def submit(self, work: Work) -> None:
        """Queue a request, or refuse it."""

    def cancel(self, work: Work) -> None:
        """End a request that waits or runs.

        One that waits is refused as not started. One that runs ends soon,
        unless it cannot be stopped: then it runs to its end.
        """

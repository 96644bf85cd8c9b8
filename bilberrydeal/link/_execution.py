"""A request on the agent's side of the link."""

import asyncio
import collections
import collections.abc
import typing

from .. import errors
from . import _messages

#: Maximum unacknowledged parts of one answer. At the limit, the answer and
#: the engine that generates it are blocked until the entry acknowledges.
UNACKNOWLEDGED_PARTS_LIMIT = 1024

Part = _messages.Chunk | _messages.Finished | _messages.Refused


class RequestExecution:
    """A request passed to the executor, and its answer.

    The executor calls :meth:`start` once any part of the request may run,
    :meth:`emit` for each part of the answer, and either :meth:`finish` or
    :meth:`refuse` at the end.
    """

    def __init__(
        self,
        submit: _messages.Submit,
        arrived_at_s: float,
        publish: collections.abc.Callable[["RequestExecution", Part], None],
        takeover: _messages.TakeOver | None = None,
    ) -> None:
        #: The submitted request.
        self.submit = submit
        #: When the request arrived, on the monotonic clock.
        self.arrived_at_s = arrived_at_s
        #: Deadline of the request, on the monotonic clock.
        self.deadline_s = arrived_at_s + submit.time_left_s
        #: Progress under the agent's predecessor, if it ran this request.
        self.takeover = takeover
        #: Whether any part of the request may have run.
        self.started = takeover is not None
        #: Whether the answer is complete.
        self.ended = False
        #: The last part of the answer, once it is complete.
        self.last: _messages.Finished | _messages.Refused | None = None
        #: Whether parts may be sent on the current session.
        self.attached = False
        #: Whether the answer will not be requested any more.
        self.discarded = False
        self._publish = publish
        self._parts: collections.deque[Part] = collections.deque()
        self._last_chunk = takeover.chunk if takeover else 0
        self._below_limit = asyncio.Event()
        self._below_limit.set()

    @property
    def sequence(self) -> int:
        """Sequence number of the request at its entry."""
        return self.submit.number.sequence

    @property
    def acknowledged(self) -> bool:
        """Whether the entry has acknowledged the whole answer."""
        return self.ended and not self._parts

    def start(self) -> None:
        """Record that a part of the request may run from now on."""
        self.started = True

    async def emit(self, text: str, tokens: int) -> None:
        """Add a part; blocks while too many parts are unacknowledged."""
        if self.ended:
            return
        self._add(
            _messages.Chunk(
                sequence=self.sequence,
                chunk=self._last_chunk + 1,
                text=text,
                tokens=tokens,
            )
        )
        if len(self._parts) >= UNACKNOWLEDGED_PARTS_LIMIT:
            self._below_limit.clear()
            await self._below_limit.wait()

    def finish(self, status: int, **fields: typing.Any) -> None:
        """Complete the answer with the fields of :class:`Finished`."""
        if self.ended:
            return
        self._end(
            _messages.Finished(
                sequence=self.sequence,
                chunk=self._last_chunk + 1,
                status=status,
                **fields,
            )
        )

    def refuse(
        self, reason: errors.ErrorCode, retry_after_s: float = 0.0
    ) -> None:
        """Fail the request and report whether any part may have run."""
        if self.ended:
            return
        self._end(
            _messages.Refused(
                sequence=self.sequence,
                chunk=self._last_chunk + 1,
                reason=reason.value,
                started=self.started,
                retry_after_s=retry_after_s,
            )
        )

    def drop_parts_through(self, chunk: int) -> None:
        """Drop the parts up to and including an acknowledged one."""
        while self._parts and self._parts[0].chunk <= chunk:
            self._parts.popleft()
        if len(self._parts) < UNACKNOWLEDGED_PARTS_LIMIT:
            self._below_limit.set()

    def parts_after(self, chunk: int) -> list[Part]:
        """Return the stored parts after a received one."""
        return [part for part in self._parts if part.chunk > chunk]

    def can_resume_after(self, chunk: int) -> bool:
        """Return whether all parts after a received one are stored."""
        return self._last_chunk - len(self._parts) <= chunk

    def discard(self) -> None:
        """Drop all present and future parts of an unwanted answer."""
        self.discarded = True
        self.drop_parts_through(self._last_chunk)

    def _end(self, last: _messages.Finished | _messages.Refused) -> None:
        self.ended = True
        self.last = last
        self._below_limit.set()
        self._add(last)

    def _add(self, part: Part) -> None:
        self._last_chunk = part.chunk
        self._parts.append(part)
        self._publish(self, part)


class Executor(typing.Protocol):
    """Runs requests; its methods do not block."""

    def submit(self, execution: RequestExecution) -> None:
        """Queue or refuse a request."""

    def cancel(self, execution: RequestExecution) -> None:
        """Cancel a queued or running request.

        A queued request is refused as not started. A running request ends
        soon, unless it cannot be stopped; then it runs to completion.
        """

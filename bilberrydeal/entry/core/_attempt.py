"""One try of a request at one endpoint."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs

from ... import errors
from ... import link
from . import _work

#: Longest wait for an agent to say whether a request had begun.
CANCEL_TIMEOUT_S = 0.5
#: Time between two looks at a link that no part has come over.
WATCH_S = 0.25
#: Callers that meet an overloaded endpoint are told to come back after this.
OVERLOAD_RETRY_S = 1.0


@attrs.frozen
class Restarted:
    """The answer begins anew: the parts before this are not of it."""


Event = link.Chunk | link.Finished
#: What all tries of a request give.
Part = Event | Restarted


@attrs.define(slots=False, eq=False)
class AttemptFailed(errors.BilberrydealError):
    """One try did not end with an answer."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: Why, for the caller.
    reason: errors.ErrorCode
    #: Whether any part of the request may have run; ``False`` is proved.
    started: bool
    #: When the endpoint asks to be tried again, in seconds; 0 for never.
    retry_after_s: float = 0.0


class Attempt:
    """One try at one endpoint: its parts, deadline and doubts."""

    def __init__(
        self,
        agent_link: link.AgentLink,
        call: link.Call,
        work: _work.Work,
        elsewhere: collections.abc.Callable[[], bool],
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """``elsewhere`` tells whether another endpoint could answer."""
        self._elsewhere = elsewhere
        self._silent = False
        self._watcher: asyncio.TimerHandle | None = None
        self._link = agent_link
        self._call = call
        self._work = work
        self._clock = clock
        self._ended = False
        #: Tokens that came.
        self.tokens = 0

    async def events(self) -> collections.abc.AsyncGenerator[Event, None]:
        """Yield the parts; a try that fails raises ``AttemptFailed``."""
        left_s = self._work.deadline_s - self._clock()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, left_s), self._call.expire)
        if self._work.idempotent:
            self._watch()
        try:
            async with contextlib.aclosing(self._call.events()) as parts:
                while not self._ended:
                    event = await self._next(parts)
                    self._stop_watching()
                    self._ended = isinstance(event, link.Finished)
                    if isinstance(event, link.Chunk):
                        self.tokens += event.tokens
                    yield event
        finally:
            timer.cancel()
            self._stop_watching()
            if not self._ended and self._work.idempotent:
                self._end_at_agent()

    async def _next(
        self, parts: collections.abc.AsyncGenerator[typing.Any, None]
    ) -> Event:
        try:
            event = await anext(parts)
        except link.CallExpired:
            if self._silent:
                raise AttemptFailed(
                    reason=errors.ErrorCode.ENDPOINT_FAILED, started=True
                ) from None
            raise await self._past_deadline() from None
        except link.CallLost as lost:
            self._ended = True
            raise AttemptFailed(
                reason=errors.ErrorCode.ENDPOINT_FAILED, started=lost.started
            ) from lost
        if isinstance(event, link.Refused):
            self._ended = True
            raise AttemptFailed(
                reason=errors.ErrorCode(event.reason),
                started=event.started,
                retry_after_s=event.retry_after_s,
            )
        return typing.cast(Event, event)

    def _watch(self) -> None:
        """Give up a silent link before the first part has come.

        A link may be dialled anew and the answer resumed, but where another
        endpoint can answer, a caller need not wait for that.
        """
        if not self._link.connected and self._elsewhere():
            self._silent = True
            self._call.expire()
            return
        loop = asyncio.get_running_loop()
        self._watcher = loop.call_later(WATCH_S, self._watch)

    def _stop_watching(self) -> None:
        if self._watcher is not None:
            self._watcher.cancel()
            self._watcher = None

    async def _past_deadline(self) -> AttemptFailed:
        """Ask the agent whether the request had begun."""
        self._ended = True
        outcome = await self._link.cancel(
            self._call.sequence, CANCEL_TIMEOUT_S
        )
        return AttemptFailed(
            reason=errors.ErrorCode.DEADLINE_EXCEEDED,
            started=outcome is not link.CancelOutcome.NOT_STARTED,
        )

    def _end_at_agent(self) -> None:
        """Free the endpoint of a request that nobody waits for."""
        task = asyncio.create_task(
            self._link.cancel(self._call.sequence, CANCEL_TIMEOUT_S)
        )
        _BACKGROUND.add(task)
        task.add_done_callback(_BACKGROUND.discard)


#: Keeps tasks that nobody awaits from being collected.
_BACKGROUND: set[asyncio.Task[typing.Any]] = set()

_STATUSES = {
    errors.ErrorCode.DEADLINE_EXCEEDED: 504,
    errors.ErrorCode.ENDPOINT_FAILED: 502,
    errors.ErrorCode.BAD_REQUEST: 400,
}


def refusal(work: _work.Work, failed: AttemptFailed) -> errors.Refusal:
    """Return what a caller is told of a request that is given up."""
    executed = errors.Executed.UNKNOWN
    if not failed.started:
        executed = errors.Executed.NO
    retry_after_s = None
    if executed is errors.Executed.NO or work.idempotent:
        retry_after_s = failed.retry_after_s or OVERLOAD_RETRY_S
    return errors.Refusal(
        reason=failed.reason,
        sentence=f"The request to {work.service} got no answer.",
        status=_STATUSES.get(failed.reason, 503),
        executed=executed,
        retry_after_s=retry_after_s,
    )

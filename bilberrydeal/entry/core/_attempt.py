"""One attempt to run a request on one endpoint."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs

from ... import errors
from ... import link
from . import _request

#: Timeout for asking an agent whether a request had started.
CANCEL_TIMEOUT_S = 0.5
#: Interval between connection checks until the first event arrives.
LINK_CHECK_INTERVAL_S = 0.25
#: Retry-After sent to callers when the endpoint names no delay.
OVERLOAD_RETRY_S = 1.0


@attrs.frozen
class Restarted:
    """The answer restarts: discard all events received before this one."""


Event = link.Chunk | link.Finished
#: What running a request yields, over all attempts.
ResponseEvent = Event | Restarted


@attrs.define(slots=False, eq=False)
class AttemptFailed(errors.BilberrydealError):
    """An attempt ended without an answer."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: Error code reported to the caller.
    reason: errors.ErrorCode
    #: Whether any part of the request may have run; ``False`` is certain.
    started: bool
    #: Delay that the endpoint asks for before a retry; 0 if it names none.
    retry_after_s: float = 0.0


class Attempt:
    """Runs a request on one endpoint within its deadline."""

    def __init__(
        self,
        agent_link: link.AgentLink,
        call: link.Call,
        request: _request.AdmittedRequest,
        has_alternative: collections.abc.Callable[[], bool],
        clock: collections.abc.Callable[[], float],
    ) -> None:
        """``has_alternative`` tells whether another endpoint could answer."""
        self._has_alternative = has_alternative
        self._abandoned = False
        self._link_timer: asyncio.TimerHandle | None = None
        self._link = agent_link
        self._call = call
        self._request = request
        self._clock = clock
        self._ended = False
        #: Tokens received so far.
        self.tokens = 0

    async def events(self) -> collections.abc.AsyncGenerator[Event, None]:
        """Yield the events, or raise ``AttemptFailed``."""
        remaining_s = self._request.deadline_s - self._clock()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, remaining_s), self._call.expire)
        if self._request.idempotent:
            self._check_link()
        try:
            async with contextlib.aclosing(self._call.events()) as parts:
                while not self._ended:
                    event = await self._next_event(parts)
                    self._stop_link_checks()
                    self._ended = isinstance(event, link.Finished)
                    if isinstance(event, link.Chunk):
                        self.tokens += event.tokens
                    yield event
        finally:
            timer.cancel()
            self._stop_link_checks()
            if not self._ended and self._request.idempotent:
                self._cancel_at_agent()

    async def _next_event(
        self, parts: collections.abc.AsyncGenerator[typing.Any, None]
    ) -> Event:
        try:
            event = await anext(parts)
        except link.CallExpired:
            if self._abandoned:
                raise AttemptFailed(
                    reason=errors.ErrorCode.ENDPOINT_FAILED, started=True
                ) from None
            raise await self._deadline_failure() from None
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

    def _check_link(self) -> None:
        """Abandon a disconnected link before the first event arrives.

        The link may reconnect and resume the answer, but if another endpoint
        can answer, the caller need not wait for that.
        """
        if not self._link.connected and self._has_alternative():
            self._abandoned = True
            self._call.expire()
            return
        loop = asyncio.get_running_loop()
        self._link_timer = loop.call_later(
            LINK_CHECK_INTERVAL_S, self._check_link
        )

    def _stop_link_checks(self) -> None:
        if self._link_timer is not None:
            self._link_timer.cancel()
            self._link_timer = None

    async def _deadline_failure(self) -> AttemptFailed:
        """Cancel at the agent and learn whether the request had started."""
        self._ended = True
        outcome = await self._link.cancel(
            self._call.sequence, CANCEL_TIMEOUT_S
        )
        return AttemptFailed(
            reason=errors.ErrorCode.DEADLINE_EXCEEDED,
            started=outcome is not link.CancelOutcome.NOT_STARTED,
        )

    def _cancel_at_agent(self) -> None:
        """Cancel the request at the agent in the background.

        This frees the endpoint of a request that nobody waits for.
        """
        task = asyncio.create_task(
            self._link.cancel(self._call.sequence, CANCEL_TIMEOUT_S)
        )
        _BACKGROUND_TASKS.add(task)
        task.add_done_callback(_BACKGROUND_TASKS.discard)


#: References that keep unawaited tasks from being garbage-collected.
_BACKGROUND_TASKS: set[asyncio.Task[typing.Any]] = set()

_STATUSES = {
    errors.ErrorCode.DEADLINE_EXCEEDED: 504,
    errors.ErrorCode.ENDPOINT_FAILED: 502,
    errors.ErrorCode.BAD_REQUEST: 400,
}


def refusal(
    request: _request.AdmittedRequest, failed: AttemptFailed
) -> errors.Refusal:
    """Return the refusal for a request that is not retried any more."""
    executed = errors.Executed.UNKNOWN
    if not failed.started:
        executed = errors.Executed.NO
    retry_after_s = None
    if executed is errors.Executed.NO or request.idempotent:
        retry_after_s = failed.retry_after_s or OVERLOAD_RETRY_S
    return errors.Refusal(
        reason=failed.reason,
        message=f"The request to {request.service} failed.",
        status=_STATUSES.get(failed.reason, 503),
        executed=executed,
        retry_after_s=retry_after_s,
    )

"""Carries an admitted request to an endpoint, with retries."""

import asyncio
import collections.abc
import contextlib
import functools
import itertools
import typing

import attrs

from ... import claims
from ... import errors
from ... import link
from ... import systems
from ... import telemetry
from ...systems import health
from ...systems import retries
from . import _attempt
from . import _bills
from . import _handover
from . import _journal
from . import _policies
from . import _pool
from . import _work

LOG = telemetry.logger("dispatch")
#: Refusals of agents that say nothing about their health.
LOAD_REASONS = frozenset(
    [
        errors.ErrorCode.BAD_REQUEST,
        errors.ErrorCode.DEADLINE_EXCEEDED,
        errors.ErrorCode.DEADLINE_HOPELESS,
        errors.ErrorCode.ENDPOINT_LEAVING,
        errors.ErrorCode.OVERLOADED,
        errors.ErrorCode.SHUTTING_DOWN,
    ]
)
#: Time between two tokens that slowness is measured in; only how endpoints
#: compare with each other counts.
USUAL_TOKEN_S = 0.03
#: Callers that find no endpoint are told to come back after this time.
NO_ENDPOINT_RETRY_S = 1.0


class Placement(typing.Protocol):
    """Learns where a request goes before it is sent there."""

    async def placed(self, dispatch: claims.Dispatch) -> None:
        """Record the place, or raise: then nothing is sent."""


class Dispatcher:
    """Runs requests on endpoints."""

    def __init__(
        self,
        pool: _pool.LinkPool,
        tables: systems.Tables,
        policies: _policies.Policies,
        next_number: collections.abc.Callable[[], link.RequestNumber],
        bills: _bills.Bills,
        journal: _journal.Journal,
        tracing: telemetry.Tracing,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._bills = bills
        self._journal = journal
        self._tracing = tracing
        self._next_number = next_number
        self._pool = pool
        self._tables = tables
        self._pending = tables.of(systems.PendingRequest)
        self._policies = policies
        self._clock = clock

    async def run(
        self, work: _work.Work, placement: Placement | None = None
    ) -> collections.abc.AsyncGenerator[_attempt.Part, None]:
        """Yield the parts of the answer, or raise a refusal.

        A request that is idempotent is tried again within its deadline and
        the retry budget, until its first part has gone to the caller; where
        parts came that have not, ``Restarted`` comes before those of the
        next try. Any other is tried again only where it is proved that
        nothing ran.
        """
        tried: frozenset[str] = frozenset()
        ran = False
        for number in itertools.count(1):
            begun = False
            pending = self._route(work, tried, ran)
            first_s = 0.0
            try:
                attempt = self._try(work, pending, placement)
                async with contextlib.aclosing(attempt) as events:
                    async for event in events:
                        if not begun:
                            begun = True
                            first_s = self._clock()
                            self._began(work, pending)
                        if isinstance(event, link.Finished):
                            # The consumer takes no part after the last.
                            self._succeeded(work, pending, event, first_s)
                        yield event
                return
            except _attempt.AttemptFailed as failed:
                tried |= {pending.endpoint_id}
                # "Not run" is about all tries, and about a prefill.
                ran |= failed.started or bool(pending.prefill_endpoint_id)
                failed.started = ran
                await self._back_off(work, pending, failed, number, begun)
                if begun:
                    yield _attempt.Restarted()
            finally:
                self._policies.router.finished(
                    self._tables, pending, self._clock()
                )

    def _route(
        self, work: _work.Work, tried: frozenset[str], ran: bool
    ) -> systems.PendingRequest:
        """Return the request with an endpoint, or raise a refusal.

        ``ran`` tells whether a try before this one may have run.
        """
        for excluded in (tried, frozenset[str]()):
            pending = work.pending(excluded)
            self._pending.put(pending)
            self._policies.router.run(self._tables, self._clock())
            self._pending.remove(pending.key)
            if pending.endpoint_id:
                self._note(work, f"routed to {pending.endpoint_id}")
                return pending
        raise errors.Refusal(
            reason=errors.ErrorCode.NO_ENDPOINT,
            sentence=f"No endpoint of {work.service} takes work now.",
            status=503,
            executed=errors.Executed.UNKNOWN if ran else errors.Executed.NO,
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )

    async def _back_off(
        self,
        work: _work.Work,
        pending: systems.PendingRequest,
        failed: _attempt.AttemptFailed,
        number: int,
        begun: bool,
    ) -> None:
        """Wait before the next try, or raise a refusal for the caller."""
        started = "may have run" if failed.started else "not run"
        self._note(work, f"failed: {failed.reason.value}, {started}")
        now_s = self._clock()
        delay_s = None
        if not begun or not work.streamed:
            attempt = retries.Attempt(
                route=work.route,
                endpoint_id=pending.endpoint_id,
                number=number,
                started=failed.started,
                idempotent=work.idempotent,
                deadline_s=work.deadline_s,
            )
            delay_s = self._policies.retrier.delay_s(attempt, now_s)
        if delay_s is None:
            raise _attempt.refusal(work, failed) from failed
        LOG.info(
            "Trying again.",
            request=str(work.number),
            endpoint=pending.endpoint_id,
            reason=failed.reason.value,
        )
        await asyncio.sleep(delay_s)

    async def _try(
        self,
        work: _work.Work,
        pending: systems.PendingRequest,
        placement: Placement | None,
    ) -> collections.abc.AsyncGenerator[_attempt.Event, None]:
        agent_link = self._pool.get(pending.endpoint_id)
        if agent_link is None or not agent_link.connected:
            raise _attempt.AttemptFailed(
                reason=errors.ErrorCode.NO_ENDPOINT, started=False
            )
        # An agent takes a number once, so each try has one of its own.
        number = self._next_number()
        self._note(work, f"sent as {number}")
        if placement is not None:
            await placement.placed(
                claims.Dispatch(number, pending.endpoint_id, agent_link.agent)
            )
        with self._tracing.span("link", work.traceparent) as span:
            traced = attrs.evolve(work, traceparent=span.traceparent)
            prefilled = await self._prefilled(traced, pending)
            submit = self._submission(traced, pending, number, prefilled)
            try:
                call = agent_link.submit(submit)
            except (link.LinkDown, link.LinkFull) as error:
                raise _attempt.AttemptFailed(
                    reason=error.code, started=False
                ) from error
            answer = _attempt.Attempt(
                agent_link,
                call,
                traced,
                functools.partial(self._elsewhere, work, pending.endpoint_id),
                self._clock,
            )
            try:
                async with contextlib.aclosing(answer.events()) as events:
                    async for event in events:
                        if isinstance(event, link.Finished):
                            # As its agent counts it, not as callers see it.
                            self._bills.answered(
                                _bills.answered(
                                    submit, agent_link, event, self._clock()
                                )
                            )
                        yield prefilled.counted(event)
            except _attempt.AttemptFailed as failed:
                self._take_failure(submit, pending, answer, failed)
                raise

    async def _prefilled(
        self, work: _work.Work, pending: systems.PendingRequest
    ) -> _handover.Prefilled:
        """Have the prompt computed elsewhere, where that was chosen."""
        if not pending.prefill_endpoint_id:
            return _handover.Prefilled()
        self._note(work, f"prefill at {pending.prefill_endpoint_id}")
        return await _handover.prefill(
            self._pool, work, pending, self._next_number(), self._clock()
        )

    def _submission(
        self,
        work: _work.Work,
        pending: systems.PendingRequest,
        number: link.RequestNumber,
        prefilled: _handover.Prefilled,
    ) -> link.Submit:
        """Return what to send."""
        return attrs.evolve(
            work.submit(self._clock()),
            number=number,
            weight=work.weight * pending.weight_factor,
            cached_tokens=pending.cached_tokens,
            kv_handle=prefilled.kv_handle,
        )

    def _take_failure(
        self,
        submit: link.Submit,
        pending: systems.PendingRequest,
        answer: _attempt.Attempt,
        failed: _attempt.AttemptFailed,
    ) -> None:
        """Bill what a lost agent may not, and count the failure."""
        lost = failed.__cause__
        if isinstance(lost, link.CallLost) and answer.tokens:
            self._bills.bill_lost(
                _bills.LostWork(
                    number=submit.number,
                    organisation=submit.organisation,
                    endpoint_id=pending.endpoint_id,
                    tokens=answer.tokens,
                    agent_replaced=lost.agent_replaced,
                )
            )
        if failed.reason not in LOAD_REASONS:
            self._failed(pending.endpoint_id)

    def _elsewhere(self, work: _work.Work, endpoint_id: str) -> bool:
        """Return whether another endpoint could answer."""
        return any(
            view.available
            and view.service == work.service
            and view.endpoint_id != endpoint_id
            for view in self._tables.of(systems.EndpointView)
        )

    def _note(self, work: _work.Work, event: str) -> None:
        self._journal.note(work.number, "dispatch", event)

    def _began(
        self, work: _work.Work, pending: systems.PendingRequest
    ) -> None:
        """Note that the first part came."""
        self._note(work, "first part came")
        # The time to it says more about the queue than about the endpoint.
        self._policies.health.observe(
            health.Observation(pending.endpoint_id, True), self._clock()
        )

    def _succeeded(
        self,
        work: _work.Work,
        pending: systems.PendingRequest,
        end: link.Finished,
        first_s: float,
    ) -> None:
        """Note an answer that came whole, and how fast its tokens came."""
        self._note(work, "answered")
        now_s = self._clock()
        self._policies.retrier.succeeded(
            work.route, pending.endpoint_id, now_s
        )
        if work.generation is not None and end.output_tokens > 1:
            token_s = (now_s - first_s) / (end.output_tokens - 1)
            slowness = token_s / USUAL_TOKEN_S
            self._policies.health.observe(
                health.Observation(pending.endpoint_id, True, slowness), now_s
            )

    def _failed(self, endpoint_id: str) -> None:
        self._policies.health.observe(
            health.Observation(endpoint_id, False), self._clock()
        )

"""Dispatches admitted requests to endpoints, with retries."""

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
from . import _billing
from . import _policies
from . import _pool
from . import _prefill
from . import _request
from . import _traces

LOG = telemetry.logger("dispatch")
#: Refusals that do not count against an endpoint's health.
HEALTH_NEUTRAL_REASONS = frozenset(
    [
        errors.ErrorCode.BAD_REQUEST,
        errors.ErrorCode.DEADLINE_EXCEEDED,
        errors.ErrorCode.DEADLINE_HOPELESS,
        errors.ErrorCode.ENDPOINT_LEAVING,
        errors.ErrorCode.OVERLOADED,
        errors.ErrorCode.SHUTTING_DOWN,
    ]
)
#: Time per token that slowness is expressed in. Any value works, because
#: endpoints are only compared with each other.
NOMINAL_TOKEN_S = 0.03
#: Retry-After sent to callers when no endpoint is available.
NO_ENDPOINT_RETRY_S = 1.0


class DispatchHook(typing.Protocol):
    """Is notified of each dispatch before the request is sent."""

    async def before_send(self, dispatch: claims.Dispatch) -> None:
        """Record the dispatch; an exception prevents the send."""


class Dispatcher:
    """Runs requests on endpoints."""

    def __init__(
        self,
        pool: _pool.LinkPool,
        tables: systems.Tables,
        policies: _policies.Policies,
        next_number: collections.abc.Callable[[], link.RequestNumber],
        billing_listener: _billing.BillingListener,
        request_traces: _traces.RequestTraces,
        tracing: telemetry.Tracing,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._billing_listener = billing_listener
        self._request_traces = request_traces
        self._tracing = tracing
        self._next_number = next_number
        self._pool = pool
        self._tables = tables
        self._pending = tables.of(systems.PendingRequest)
        self._policies = policies
        self._clock = clock

    async def run(
        self,
        request: _request.AdmittedRequest,
        hook: DispatchHook | None = None,
    ) -> collections.abc.AsyncGenerator[_attempt.ResponseEvent, None]:
        """Yield the events of the answer, or raise a refusal.

        An idempotent request is retried within its deadline and the retry
        budget until its first event was streamed to the caller. If events
        of an unstreamed answer were yielded, ``Restarted`` precedes those of
        the next attempt. Other requests are retried only if it is certain
        that nothing ran.
        """
        tried: frozenset[str] = frozenset()
        may_have_run = False
        for number in itertools.count(1):
            has_events = False
            pending = self._route(request, tried, may_have_run)
            first_event_s = 0.0
            try:
                attempt = self._run_attempt(request, pending, hook)
                async with contextlib.aclosing(attempt) as events:
                    async for event in events:
                        if not has_events:
                            has_events = True
                            first_event_s = self._clock()
                            self._record_first_event(request, pending)
                        if isinstance(event, link.Finished):
                            # The consumer may stop iterating after this event.
                            self._record_success(
                                request, pending, event, first_event_s
                            )
                        yield event
                return
            except _attempt.AttemptFailed as failed:
                tried |= {pending.endpoint_id}
                # "Not run" must hold for all attempts and prefills.
                may_have_run |= failed.started or bool(
                    pending.prefill_endpoint_id
                )
                failed.started = may_have_run
                await self._back_off(
                    request, pending, failed, number, has_events
                )
                if has_events:
                    yield _attempt.Restarted()
            finally:
                self._policies.router.record_end(
                    self._tables, pending, self._clock()
                )

    def _route(
        self,
        request: _request.AdmittedRequest,
        tried: frozenset[str],
        may_have_run: bool,
    ) -> systems.PendingRequest:
        """Return the request with an endpoint, or raise a refusal.

        ``may_have_run`` tells whether an earlier attempt may have run.
        """
        for excluded in (tried, frozenset[str]()):
            pending = request.pending_request(excluded)
            self._pending.put(pending)
            self._policies.router.run(self._tables, self._clock())
            self._pending.remove(pending.key)
            if pending.endpoint_id:
                self._trace(request, f"routed to {pending.endpoint_id}")
                return pending
        raise errors.Refusal(
            reason=errors.ErrorCode.NO_ENDPOINT,
            message=f"No endpoint of {request.service} accepts requests now.",
            status=503,
            executed=errors.Executed.UNKNOWN
            if may_have_run
            else errors.Executed.NO,
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )

    async def _back_off(
        self,
        request: _request.AdmittedRequest,
        pending: systems.PendingRequest,
        failed: _attempt.AttemptFailed,
        number: int,
        has_events: bool,
    ) -> None:
        """Wait before the next attempt, or raise a refusal."""
        started = "may have run" if failed.started else "not run"
        self._trace(request, f"failed: {failed.reason.value}, {started}")
        now_s = self._clock()
        delay_s = None
        if not has_events or not request.streamed:
            attempt = retries.Attempt(
                route=request.route,
                endpoint_id=pending.endpoint_id,
                number=number,
                started=failed.started,
                idempotent=request.idempotent,
                deadline_s=request.deadline_s,
            )
            delay_s = self._policies.retrier.delay_s(attempt, now_s)
        if delay_s is None:
            raise _attempt.refusal(request, failed) from failed
        LOG.info(
            "Retrying request.",
            request=str(request.number),
            endpoint=pending.endpoint_id,
            reason=failed.reason.value,
        )
        await asyncio.sleep(delay_s)

    async def _run_attempt(
        self,
        request: _request.AdmittedRequest,
        pending: systems.PendingRequest,
        hook: DispatchHook | None,
    ) -> collections.abc.AsyncGenerator[_attempt.Event, None]:
        agent_link = self._pool.get(pending.endpoint_id)
        if agent_link is None or not agent_link.connected:
            raise _attempt.AttemptFailed(
                reason=errors.ErrorCode.NO_ENDPOINT, started=False
            )
        # Agents accept each number once, so each attempt needs its own.
        number = self._next_number()
        self._trace(request, f"sent as {number}")
        if hook is not None:
            await hook.before_send(
                claims.Dispatch(number, pending.endpoint_id, agent_link.agent)
            )
        with self._tracing.span("link", request.traceparent) as span:
            traced = attrs.evolve(request, traceparent=span.traceparent)
            prefill_result = await self._run_prefill(traced, pending)
            submit = self._submit_message(
                traced, pending, number, prefill_result
            )
            try:
                call = agent_link.submit(submit)
            except (link.LinkDown, link.LinkFull) as error:
                raise _attempt.AttemptFailed(
                    reason=error.code, started=False
                ) from error
            attempt = _attempt.Attempt(
                agent_link,
                call,
                traced,
                functools.partial(
                    self._has_alternative, request, pending.endpoint_id
                ),
                self._clock,
            )
            try:
                async with contextlib.aclosing(attempt.events()) as events:
                    async for event in events:
                        if isinstance(event, link.Finished):
                            # The agent's counts, before those of the
                            # prefill are merged in for the caller.
                            self._billing_listener.on_request_answered(
                                _billing.answered_request(
                                    submit, agent_link, event, self._clock()
                                )
                            )
                        yield prefill_result.with_prefill_counts(event)
            except _attempt.AttemptFailed as failed:
                self._handle_failure(submit, pending, attempt, failed)
                raise

    async def _run_prefill(
        self,
        request: _request.AdmittedRequest,
        pending: systems.PendingRequest,
    ) -> _prefill.PrefillResult:
        """Prefill on another endpoint, if the router chose one."""
        if not pending.prefill_endpoint_id:
            return _prefill.PrefillResult()
        self._trace(request, f"prefill at {pending.prefill_endpoint_id}")
        return await _prefill.prefill(
            self._pool, request, pending, self._next_number(), self._clock()
        )

    def _submit_message(
        self,
        request: _request.AdmittedRequest,
        pending: systems.PendingRequest,
        number: link.RequestNumber,
        prefill_result: _prefill.PrefillResult,
    ) -> link.Submit:
        """Return the message to send to the agent."""
        return attrs.evolve(
            request.submit_message(self._clock()),
            number=number,
            weight=request.weight * pending.weight_factor,
            cached_tokens=pending.cached_tokens,
            kv_handle=prefill_result.kv_handle,
        )

    def _handle_failure(
        self,
        submit: link.Submit,
        pending: systems.PendingRequest,
        attempt: _attempt.Attempt,
        failed: _attempt.AttemptFailed,
    ) -> None:
        """Report usage that a lost agent cannot bill; record the failure."""
        lost = failed.__cause__
        if isinstance(lost, link.CallLost) and attempt.tokens:
            self._billing_listener.on_request_lost(
                _billing.LostRequest(
                    number=submit.number,
                    organisation=submit.organisation,
                    endpoint_id=pending.endpoint_id,
                    tokens=attempt.tokens,
                    agent_replaced=lost.agent_replaced,
                )
            )
        if failed.reason not in HEALTH_NEUTRAL_REASONS:
            self._record_failure(pending.endpoint_id)

    def _has_alternative(
        self, request: _request.AdmittedRequest, endpoint_id: str
    ) -> bool:
        """Return whether another endpoint could answer."""
        return any(
            view.available
            and view.service == request.service
            and view.endpoint_id != endpoint_id
            for view in self._tables.of(systems.EndpointView)
        )

    def _trace(self, request: _request.AdmittedRequest, event: str) -> None:
        self._request_traces.add_step(request.number, "dispatch", event)

    def _record_first_event(
        self,
        request: _request.AdmittedRequest,
        pending: systems.PendingRequest,
    ) -> None:
        """Record that the first event arrived."""
        self._trace(request, "first part received")
        # The time to the first event depends more on the queue than on the
        # endpoint, so it does not count as slowness.
        self._policies.health.observe(
            health.Observation(pending.endpoint_id, True), self._clock()
        )

    def _record_success(
        self,
        request: _request.AdmittedRequest,
        pending: systems.PendingRequest,
        end: link.Finished,
        first_event_s: float,
    ) -> None:
        """Record a complete answer and its time per token."""
        self._trace(request, "answered")
        now_s = self._clock()
        self._policies.retrier.succeeded(
            request.route, pending.endpoint_id, now_s
        )
        if request.generation is not None and end.output_tokens > 1:
            token_s = (now_s - first_event_s) / (end.output_tokens - 1)
            slowness = token_s / NOMINAL_TOKEN_S
            self._policies.health.observe(
                health.Observation(pending.endpoint_id, True, slowness), now_s
            )

    def _record_failure(self, endpoint_id: str) -> None:
        self._policies.health.observe(
            health.Observation(endpoint_id, False), self._clock()
        )

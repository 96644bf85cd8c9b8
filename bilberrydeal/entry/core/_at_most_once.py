"""Runs requests that are not idempotent at most once."""

import collections.abc
import contextlib

import attrs

from ... import claims
from ... import errors
from ... import link
from ... import telemetry
from . import _attempt
from . import _dispatch
from . import _pool
from . import _request

LOG = telemetry.logger("once")
#: Timeout for asking an agent for the outcome of a request.
QUERY_TIMEOUT_S = 1.0
#: Retry-After while the first request under a key is still running.
IN_PROGRESS_RETRY_S = 1.0
#: Retry-After while the store is unavailable.
STORE_RETRY_S = 2.0


@attrs.define(slots=False, eq=False)
class _AlreadyAnswered(Exception):
    """An earlier request under the same key was already answered."""

    answer: claims.Answer


class AtMostOnceRunner:
    """Dispatches under a claim and stores the answer with it."""

    def __init__(
        self,
        dispatcher: _dispatch.Dispatcher,
        claim_manager: claims.ClaimManager,
        resolver: claims.Resolver,
        tracing: telemetry.Tracing,
        wall_clock: collections.abc.Callable[[], float],
    ) -> None:
        self._tracing = tracing
        self._dispatcher = dispatcher
        self._claim_manager = claim_manager
        self._resolver = resolver
        self._wall_clock = wall_clock

    async def run(self, request: _request.AdmittedRequest) -> link.Finished:
        """Return the answer of this request or of the one it repeats.

        A request without an idempotency key has no claim: it is retried only
        if it is certain that nothing ran.
        """
        if not request.idempotency_key:
            return await final_event(self._dispatcher.run(request))
        claim_hook = _ClaimHook(
            request,
            self._claim_manager,
            self._resolver,
            self._tracing,
            self._wall_clock,
        )
        try:
            end = await final_event(self._dispatcher.run(request, claim_hook))
        except _AlreadyAnswered as already_answered:
            return _replayed(already_answered.answer)
        except errors.Refusal as refusal:
            if claim_hook.claim is None:
                return await self._earlier_answer(request, refusal)
            await self._drop_claim(claim_hook, refusal)
            raise
        await self._store_answer(claim_hook, end)
        return end

    async def _earlier_answer(
        self, request: _request.AdmittedRequest, refusal: errors.Refusal
    ) -> link.Finished:
        """Return the answer of an earlier request, or raise the refusal.

        This request did not run, but an earlier one under the same key may
        have. "Not run" is reported only if there was no such request.
        """
        if refusal.executed is not errors.Executed.NO:
            raise refusal
        try:
            outcome = await self._claim_manager.find(
                request.organisation,
                request.idempotency_key,
                _body_digest(request),
            )
        except errors.StoreUnavailable:
            refusal.executed = errors.Executed.UNKNOWN
            raise refusal from None
        if isinstance(outcome, claims.InProgress):
            outcome = await self._claim_manager.resolve(
                outcome, self._resolver, self._wall_clock()
            )
        if isinstance(outcome, claims.Answer):
            return _replayed(outcome)
        if isinstance(outcome, claims.InProgress | claims.Unknown):
            refusal.executed = errors.Executed.UNKNOWN
        refusal.covers_key = True
        raise refusal

    async def _store_answer(
        self, claim_hook: "_ClaimHook", end: link.Finished
    ) -> None:
        """Store the answer; if the store is down, the agent still has it."""
        if claim_hook.claim is None:
            return
        answer = claims.Answer(end.status, end.content_type, end.body)
        with (
            _log_store_failures("Answer not stored."),
            self._tracing.span("answer row", claim_hook.traceparent),
        ):
            await self._claim_manager.finish(
                claim_hook.claim, answer, self._wall_clock()
            )

    async def _drop_claim(
        self, claim_hook: "_ClaimHook", refusal: errors.Refusal
    ) -> None:
        """Drop the claim if nothing ran; otherwise a repeat resolves it."""
        if claim_hook.claim is None:
            return
        if refusal.executed is errors.Executed.NO:
            # This request owned the claim, so no earlier one may have run.
            refusal.covers_key = True
            with _log_store_failures("Claim not dropped."):
                await self._claim_manager.abandon(claim_hook.claim)


class _ClaimHook:
    """Writes or moves the claim before each dispatch."""

    def __init__(
        self,
        request: _request.AdmittedRequest,
        claim_manager: claims.ClaimManager,
        resolver: claims.Resolver,
        tracing: telemetry.Tracing,
        wall_clock: collections.abc.Callable[[], float],
    ) -> None:
        self._tracing = tracing
        #: Trace context of the request.
        self.traceparent = request.traceparent
        self._request = request
        self._claim_manager = claim_manager
        self._resolver = resolver
        self._wall_clock = wall_clock
        #: The claim, once this request owns it.
        self.claim: claims.Claim | None = None

    async def before_send(self, dispatch: claims.Dispatch) -> None:
        """Record the claim for this dispatch, or raise a refusal."""
        try:
            with self._tracing.span("claim row", self.traceparent):
                await self._claim(dispatch)
        except errors.TableConflict as error:
            raise _in_progress() from error
        except (errors.StoreUnavailable, errors.OutcomeUnknown) as error:
            raise errors.Refusal(
                reason=errors.ErrorCode.STORE_UNAVAILABLE,
                message=(
                    "The store is unavailable, so at-most-once execution"
                    " cannot be guaranteed. This request did not run; whether"
                    " an earlier one under the same key ran is unknown."
                ),
                status=503,
                executed=errors.Executed.UNKNOWN,
                retry_after_s=STORE_RETRY_S,
            ) from error

    async def _claim(self, dispatch: claims.Dispatch) -> None:
        if self.claim is None:
            await self._begin_claim(dispatch)
        else:
            self.claim = await self._claim_manager.reassign(
                self.claim, dispatch
            )

    async def _begin_claim(self, dispatch: claims.Dispatch) -> None:
        request = self._request
        outcome = await self._claim_manager.begin(
            request.organisation,
            request.idempotency_key,
            _body_digest(request),
            dispatch,
            self._wall_clock(),
        )
        if isinstance(outcome, claims.InProgress):
            outcome = await self._claim_manager.resolve(
                outcome, self._resolver, self._wall_clock()
            )
            if isinstance(outcome, claims.Claimed):
                self.claim = await self._claim_manager.reassign(
                    outcome.claim, dispatch
                )
                return
        if isinstance(outcome, claims.Answer):
            raise _AlreadyAnswered(outcome)
        if isinstance(outcome, claims.InProgress):
            raise _in_progress()
        if isinstance(outcome, claims.Unknown):
            raise errors.Refusal(
                reason=errors.ErrorCode.IDEMPOTENCY_UNKNOWN,
                message="Whether the first request ran cannot be determined.",
                status=409,
                executed=errors.Executed.UNKNOWN,
            )
        self.claim = outcome.claim


def agent_resolver(
    pool: _pool.LinkPool,
    is_member: collections.abc.Callable[[str], bool],
) -> claims.Resolver:
    """Return a resolver that asks the agent of a dispatch.

    The outcome is unknown if the agent was replaced or its endpoint is no
    longer a member.
    """

    async def resolve(dispatch: claims.Dispatch) -> claims.Resolution | None:
        agent_link = pool.get(dispatch.endpoint_id)
        if agent_link is None or not agent_link.connected:
            if is_member(dispatch.endpoint_id):
                return None
            return claims.Resolution(link.QueryOutcome.UNKNOWN)
        if agent_link.agent != dispatch.agent:
            return claims.Resolution(link.QueryOutcome.UNKNOWN)
        result = await agent_link.query(
            dispatch.number, QUERY_TIMEOUT_S, dispatch.agent
        )
        if result is None:
            return None
        end = result.finished
        answer = None
        if end is not None:
            answer = claims.Answer(end.status, end.content_type, end.body)
        return claims.Resolution(result.outcome, answer)

    return resolve


async def final_event(
    events: collections.abc.AsyncGenerator[_attempt.ResponseEvent, None],
) -> link.Finished:
    """Return the final event of an answer and discard all others."""
    async with contextlib.aclosing(events):
        async for event in events:
            if isinstance(event, link.Finished):
                return event
    raise RuntimeError("the answer ended without a final event")


@contextlib.contextmanager
def _log_store_failures(event: str) -> collections.abc.Iterator[None]:
    """Log store failures from which a repeated request recovers."""
    try:
        yield
    except (
        errors.StoreUnavailable,
        errors.OutcomeUnknown,
        errors.TableConflict,
    ) as error:
        LOG.warning(event, error=str(error))


def _body_digest(request: _request.AdmittedRequest) -> str:
    assert request.plain is not None
    plain = request.plain
    return claims.digest_body(plain.method, plain.path, plain.body)


def _in_progress() -> errors.Refusal:
    return errors.Refusal(
        reason=errors.ErrorCode.IDEMPOTENCY_IN_PROGRESS,
        message="The first request under this key may still be running.",
        status=409,
        executed=errors.Executed.UNKNOWN,
        retry_after_s=IN_PROGRESS_RETRY_S,
    )


def _replayed(answer: claims.Answer) -> link.Finished:
    return link.Finished(
        sequence=0,
        chunk=1,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )

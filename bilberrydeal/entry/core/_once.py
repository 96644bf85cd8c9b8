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
from . import _work

LOG = telemetry.logger("once")
#: Longest wait for an agent to say what became of a request.
QUERY_TIMEOUT_S = 1.0
#: Callers whose first request still runs come back after this time.
IN_PROGRESS_RETRY_S = 1.0
#: Callers refused because of the store come back after this time.
STORE_RETRY_S = 2.0


@attrs.define(slots=False, eq=False)
class _Repeated(Exception):
    """An earlier request under the same key has ended."""

    answer: claims.Answer


class OnceRunner:
    """Dispatches under a claim and keeps the answer with it."""

    def __init__(
        self,
        dispatcher: _dispatch.Dispatcher,
        rows: claims.Claims,
        resolver: claims.Resolver,
        tracing: telemetry.Tracing,
        wall: collections.abc.Callable[[], float],
    ) -> None:
        self._tracing = tracing
        self._dispatcher = dispatcher
        self._rows = rows
        self._resolver = resolver
        self._wall = wall

    async def run(self, work: _work.Work) -> link.Finished:
        """Return the answer of this request or of the one it repeats.

        A request without an idempotency key has no claim: it is dispatched
        once, and again only where it is proved that nothing ran.
        """
        if not work.claim:
            return await last_part(self._dispatcher.run(work))
        placement = _Claiming(
            work, self._rows, self._resolver, self._tracing, self._wall
        )
        try:
            end = await last_part(self._dispatcher.run(work, placement))
        except _Repeated as repeated:
            return _replayed(repeated.answer)
        except errors.Refusal as refusal:
            if placement.claim is None:
                return await self._earlier(work, refusal)
            await self._give_up(placement, refusal)
            raise
        await self._keep(placement, end)
        return end

    async def _earlier(
        self, work: _work.Work, refusal: errors.Refusal
    ) -> link.Finished:
        """Return the answer of an earlier request, or raise the refusal.

        This request was not run, but one before it under the same key may
        have been: "not run" is said only where there is none.
        """
        if refusal.executed is not errors.Executed.NO:
            raise refusal
        try:
            found = await self._rows.find(
                work.organisation, work.claim, _digest(work)
            )
        except errors.StoreUnavailable:
            refusal.executed = errors.Executed.UNKNOWN
            raise refusal from None
        if isinstance(found, claims.InProgress):
            found = await self._rows.resolve(
                found, self._resolver, self._wall()
            )
        if isinstance(found, claims.Answer):
            return _replayed(found)
        if isinstance(found, claims.InProgress | claims.Unknown):
            refusal.executed = errors.Executed.UNKNOWN
        refusal.covers_key = True
        raise refusal

    async def _keep(self, placement: "_Claiming", end: link.Finished) -> None:
        """Store the answer; the agent has it too if the store is down."""
        if placement.claim is None:
            return
        answer = claims.Answer(end.status, end.content_type, end.body)
        with (
            _store_failures("Answer was not stored."),
            self._tracing.span("answer row", placement.traceparent),
        ):
            await self._rows.finish(placement.claim, answer, self._wall())

    async def _give_up(
        self, placement: "_Claiming", refusal: errors.Refusal
    ) -> None:
        """Drop the claim where nothing ran; else a repeat resolves it."""
        if placement.claim is None:
            return
        if refusal.executed is errors.Executed.NO:
            # The claim was this request's: none before it may have run.
            refusal.covers_key = True
            with _store_failures("Claim was not dropped."):
                await self._rows.abandon(placement.claim)


class _Claiming:
    """Writes a claim before each dispatch."""

    def __init__(
        self,
        work: _work.Work,
        rows: claims.Claims,
        resolver: claims.Resolver,
        tracing: telemetry.Tracing,
        wall: collections.abc.Callable[[], float],
    ) -> None:
        self._tracing = tracing
        #: Trace context of the request.
        self.traceparent = work.traceparent
        self._work = work
        self._rows = rows
        self._resolver = resolver
        self._wall = wall
        #: The claim, once this request has it.
        self.claim: claims.Claim | None = None

    async def placed(self, dispatch: claims.Dispatch) -> None:
        """Claim the request for this dispatch, or raise."""
        try:
            with self._tracing.span("claim row", self.traceparent):
                await self._claim(dispatch)
        except errors.TableConflict as error:
            raise _in_progress() from error
        except (errors.StoreUnavailable, errors.OutcomeUnknown) as error:
            raise errors.Refusal(
                reason=errors.ErrorCode.STORE_UNAVAILABLE,
                sentence=(
                    "The store cannot be reached to make sure that this"
                    " runs at most once. This request was not run; whether"
                    " one before it under the same key was is not known."
                ),
                status=503,
                executed=errors.Executed.UNKNOWN,
                retry_after_s=STORE_RETRY_S,
            ) from error

    async def _claim(self, dispatch: claims.Dispatch) -> None:
        if self.claim is None:
            await self._begin(dispatch)
        else:
            self.claim = await self._rows.move(self.claim, dispatch)

    async def _begin(self, dispatch: claims.Dispatch) -> None:
        work = self._work
        outcome = await self._rows.begin(
            work.organisation,
            work.claim,
            _digest(work),
            dispatch,
            self._wall(),
        )
        if isinstance(outcome, claims.InProgress):
            outcome = await self._rows.resolve(
                outcome, self._resolver, self._wall()
            )
            if isinstance(outcome, claims.Claimed):
                self.claim = await self._rows.move(outcome.claim, dispatch)
                return
        if isinstance(outcome, claims.Answer):
            raise _Repeated(outcome)
        if isinstance(outcome, claims.InProgress):
            raise _in_progress()
        if isinstance(outcome, claims.Unknown):
            raise errors.Refusal(
                reason=errors.ErrorCode.IDEMPOTENCY_UNKNOWN,
                sentence="Whether the first request ran cannot be found out.",
                status=409,
                executed=errors.Executed.UNKNOWN,
            )
        self.claim = outcome.claim


def agent_resolver(
    pool: _pool.LinkPool,
    is_member: collections.abc.Callable[[str], bool],
) -> claims.Resolver:
    """Return a resolver that asks the agent of a dispatch.

    An agent that was replaced, or whose endpoint is no member any more,
    has taken its knowledge with it.
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


async def last_part(
    events: collections.abc.AsyncGenerator[_attempt.Part, None],
) -> link.Finished:
    """Return the end of an answer that has no other part."""
    async with contextlib.aclosing(events):
        async for event in events:
            if isinstance(event, link.Finished):
                return event
    raise RuntimeError("an answer ended without its last part")


@contextlib.contextmanager
def _store_failures(sentence: str) -> collections.abc.Iterator[None]:
    """Log failures of the store that a repeat will make good."""
    try:
        yield
    except (
        errors.StoreUnavailable,
        errors.OutcomeUnknown,
        errors.TableConflict,
    ) as error:
        LOG.warning(sentence, error=str(error))


def _digest(work: _work.Work) -> str:
    assert work.plain is not None
    plain = work.plain
    return claims.digest_body(plain.method, plain.path, plain.body)


def _in_progress() -> errors.Refusal:
    return errors.Refusal(
        reason=errors.ErrorCode.IDEMPOTENCY_IN_PROGRESS,
        sentence="The first request under this key may still run.",
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

"""Creates, reassigns and completes claims."""

import collections.abc
import contextlib

import attrs

from .. import errors
from .. import link
from .. import ports
from .. import store
from . import _rows

#: Retention of claims that are done or unknown, in seconds.
RETENTION_S = 24 * 3600.0
#: Largest body stored in the row, in bytes; others go to the object store.
MAX_INLINE_BYTES = 16_384
#: Attempts to claim a key while other requests abandon theirs.
BEGIN_ATTEMPTS = 4
#: Maximum completions queued during an outage of the store.
MAX_PENDING_COMPLETIONS = 1_000
#: Rows examined by one step of the sweep.
SWEEP_ROWS = 100
#: Retry delay for a repeated request while the first one runs, in seconds.
RETRY_AFTER_S = 1.0


@attrs.frozen
class Claimed:
    """This process may dispatch the request as stated in the claim."""

    #: The claim.
    claim: _rows.Claim


@attrs.frozen
class InProgress:
    """Another request with the key may be running; query its agent."""

    #: The claim, whose ``dispatch`` names the agent.
    claim: _rows.Claim


@attrs.frozen
class Unknown:
    """Whether a request with the key ran cannot be determined."""

    #: The claim.
    claim: _rows.Claim


#: Result of ``begin`` and ``resolve``; an ``Answer`` is the stored answer.
Outcome = Claimed | _rows.Answer | InProgress | Unknown


@attrs.frozen
class Resolution:
    """An agent's response to a query about a dispatch."""

    #: The state of the dispatch; ``UNKNOWN`` also if the agent is permanently
    #: gone.
    outcome: link.QueryOutcome
    #: The answer, for ``FINISHED``.
    answer: _rows.Answer | None = None


#: Queries the agent of a dispatch; returns ``None`` if it is unreachable.
Resolver = collections.abc.Callable[
    [_rows.Dispatch], collections.abc.Awaitable[Resolution | None]
]


@attrs.frozen
class _Completion:
    """Final state of a claim that is to be written."""

    #: The last known version of the claim.
    claim: _rows.Claim
    #: Its new state.
    state: _rows.ClaimState
    #: The answer, if there is one.
    answer: _rows.Answer | None

    def may_replace(self, found: _rows.Claim) -> bool:
        """Return whether it may replace the stored claim.

        An answer also replaces the state ``UNKNOWN``, which a process that
        did not know the answer has written.
        """
        if found.row.dispatch != self.claim.row.dispatch:
            return False
        if found.row.state is _rows.ClaimState.CLAIMED:
            return True
        return (
            found.row.state is _rows.ClaimState.UNKNOWN
            and self.state is _rows.ClaimState.DONE
        )


class ClaimManager:
    """Manages the claims of one process.

    A request is dispatched only after its claim is written, and only to the
    agent incarnation and under the number in the claim. After any error of
    ``begin`` or ``reassign`` this process must not dispatch the request.

    Example::

        outcome = await claims.begin(
            "russo", "order-17", digest, dispatch, wall_s
        )
    """

    def __init__(
        self, client: store.StoreClient, objects: ports.ObjectStore
    ) -> None:
        self._client = client
        self._objects = objects
        self._pending_completions: dict[str, _Completion] = {}
        self._sweep_cursor = ""

    async def begin(
        self,
        organisation: str,
        key: str,
        digest: str,
        dispatch: _rows.Dispatch,
        wall_s: float,
    ) -> Outcome:
        """Claim a request, or return the outcome of an earlier one.

        Raises ``Refusal`` 422 if the key was used with a different request,
        and ``StoreUnavailable``.
        """
        row_key = _rows.claim_key(organisation, key)
        new_row = _rows.ClaimRow(
            digest=digest,
            state=_rows.ClaimState.CLAIMED,
            dispatch=dispatch,
            moves=0,
            created_s=wall_s,
            expires_s=wall_s + RETENTION_S,
            nonce="",
        )
        version = 0
        for _ in range(BEGIN_ATTEMPTS):
            try:
                claim = await self._write(
                    _rows.Claim(row_key, version, new_row)
                )
                return Claimed(claim)
            except (errors.TableConflict, errors.OutcomeUnknown):
                found = await self._read(row_key)
            if found is not None and not _expired(found.row, wall_s):
                return await self._outcome_of(found, digest, dispatch)
            # The claim was abandoned, swept or has expired: claim again.
            version = found.version if found else 0
        raise errors.StoreUnavailable(operation="claim")

    async def find(
        self, organisation: str, key: str, digest: str
    ) -> Outcome | None:
        """Return the outcome of an earlier request, ``None`` without one.

        Writes nothing. Raises ``Refusal`` 422 if the key was used with a
        different request, and ``StoreUnavailable``.
        """
        claim = await self._read(_rows.claim_key(organisation, key))
        if claim is None:
            return None
        return await self._outcome_of(claim, digest, None)

    async def reassign(
        self, claim: _rows.Claim, dispatch: _rows.Dispatch
    ) -> _rows.Claim:
        """Reassign a claim whose last dispatch is proven not started.

        Raises ``TableConflict`` if another process has changed the claim.
        """
        row = attrs.evolve(
            claim.row, dispatch=dispatch, moves=claim.row.moves + 1
        )
        try:
            return await self._write(attrs.evolve(claim, row=row))
        except errors.OutcomeUnknown:
            found = await self._read(claim.key)
        if found is not None and found.row.dispatch == dispatch:
            return found
        raise errors.TableConflict(
            table=claim.key.table,
            key=claim.key.key,
            found_version=found.version if found else 0,
        )

    async def finish(
        self, claim: _rows.Claim, answer: _rows.Answer, wall_s: float
    ) -> bool:
        """Store the answer; return ``False`` if that failed for now.

        :meth:`flush_pending` writes it once the store is available again.
        Until then other processes get the answer from the agent.
        """
        return await self._complete(
            _Completion(claim, _rows.ClaimState.DONE, answer), wall_s
        )

    async def mark_unknown(self, claim: _rows.Claim, wall_s: float) -> bool:
        """Record that it cannot be determined whether the request ran."""
        return await self._complete(
            _Completion(claim, _rows.ClaimState.UNKNOWN, None), wall_s
        )

    async def abandon(self, claim: _rows.Claim) -> None:
        """Remove a claim whose dispatch is proven not started.

        If this fails, the next request with the key resolves the claim and
        gets the same proof from the agent.
        """
        check = ports.Check(claim.key.table, claim.key.key, claim.version)
        write = ports.Write(claim.key.table, claim.key.key, None)
        with contextlib.suppress(
            errors.TableConflict,
            errors.OutcomeUnknown,
            errors.StoreUnavailable,
        ):
            await self._client.commit(ports.Transaction((check,), (write,)))

    async def flush_pending(self, wall_s: float) -> int:
        """Write completions left by an outage; return how many remain."""
        for completion in list(self._pending_completions.values()):
            if not await self._complete(completion, wall_s):
                break
        return len(self._pending_completions)

    async def sweep(self, wall_s: float) -> int:
        """Remove the expired claims of one page; return their number.

        An open claim that has expired is marked unknown instead, because
        its removal could let the request run a second time.
        """
        rows = await self._client.scan_page(
            _rows.TABLE, "", self._sweep_cursor, SWEEP_ROWS
        )
        self._sweep_cursor = rows[-1].key if len(rows) == SWEEP_ROWS else ""
        removed = 0
        for found in rows:
            claim = _claim(found)
            if wall_s < claim.row.expires_s:
                continue
            if claim.row.state is _rows.ClaimState.CLAIMED:
                await self.mark_unknown(claim, wall_s)
                continue
            await self.abandon(claim)
            await self._delete_body(claim)
            removed += 1
        return removed

    async def resolve(
        self, found: InProgress, resolver: Resolver, wall_s: float
    ) -> Outcome:
        """Query the agent for the outcome of a dispatch.

        ``Claimed`` means that it is proven not to have started: the caller
        must ``reassign`` the claim before dispatching. ``InProgress`` means to
        retry later.
        """
        claim = found.claim
        resolution = await resolver(claim.row.dispatch)
        if resolution is None:
            return found
        if resolution.outcome is link.QueryOutcome.RUNNING:
            return found
        if resolution.outcome is link.QueryOutcome.NOT_STARTED:
            return Claimed(claim)
        if resolution.answer is not None:
            await self.finish(claim, resolution.answer, wall_s)
            return resolution.answer
        await self.mark_unknown(claim, wall_s)
        return Unknown(claim)

    async def _outcome_of(
        self,
        claim: _rows.Claim,
        digest: str,
        dispatch: _rows.Dispatch | None,
    ) -> Outcome:
        """Return the outcome of a stored claim for a new request."""
        row = claim.row
        if row.digest != digest:
            raise errors.Refusal(
                reason=errors.ErrorCode.IDEMPOTENCY_MISMATCH,
                message="This key came with another request before.",
                status=422,
            )
        if row.state is _rows.ClaimState.CLAIMED:
            # A write of this process may have taken effect despite an error.
            is_own = row.dispatch == dispatch
            return Claimed(claim) if is_own else InProgress(claim)
        if row.state is _rows.ClaimState.DONE and row.answer is not None:
            return await self._load_answer(claim, row.answer)
        return Unknown(claim)

    async def _load_answer(
        self, claim: _rows.Claim, answer: _rows.Answer
    ) -> _rows.Answer | Unknown:
        if not answer.stored_as:
            return answer
        body = await self._objects.get(
            answer.stored_as, self._client.call_timeout_s
        )
        if body is None:
            return Unknown(claim)
        return attrs.evolve(answer, body=body, stored_as="")

    async def _complete(self, completion: _Completion, wall_s: float) -> bool:
        """Write a completion, or queue it for :meth:`flush_pending`."""
        row_key = completion.claim.key
        try:
            await self._write_completion(completion, wall_s)
        except (errors.StoreUnavailable, errors.OutcomeUnknown):
            if len(self._pending_completions) < MAX_PENDING_COMPLETIONS:
                self._pending_completions[row_key.key] = completion
            return False
        self._pending_completions.pop(row_key.key, None)
        return True

    async def _write_completion(
        self, completion: _Completion, wall_s: float
    ) -> None:
        answer = await self._offload_body(completion)
        claim: _rows.Claim | None = completion.claim
        while claim is not None and completion.may_replace(claim):
            row = attrs.evolve(
                claim.row,
                state=completion.state,
                answer=answer,
                expires_s=wall_s + RETENTION_S,
            )
            try:
                await self._write(attrs.evolve(claim, row=row))
                return
            except errors.TableConflict:
                claim = await self._read(claim.key)

    async def _offload_body(
        self, completion: _Completion
    ) -> _rows.Answer | None:
        """Move a large body to the object store; return the row's answer."""
        answer = completion.answer
        if answer is None or len(answer.body) <= MAX_INLINE_BYTES:
            return answer
        row_key = completion.claim.key
        name = f"{row_key.table}/{row_key.key}"
        await self._objects.put(name, answer.body, self._client.call_timeout_s)
        return attrs.evolve(answer, body=b"", stored_as=name)

    async def _delete_body(self, claim: _rows.Claim) -> None:
        if claim.row.answer is not None and claim.row.answer.stored_as:
            await self._objects.delete(
                claim.row.answer.stored_as, self._client.call_timeout_s
            )

    async def _read(self, row_key: ports.RowKey) -> _rows.Claim | None:
        found = await self._client.read_one(row_key)
        return _claim(found) if found else None

    async def _write(self, claim: _rows.Claim) -> _rows.Claim:
        """Replace the row version that the claim names."""
        nonce = self._client.nonce()
        row = attrs.evolve(claim.row, nonce=nonce)
        row_key = claim.key
        transaction = ports.Transaction(
            checks=(ports.Check(row_key.table, row_key.key, claim.version),),
            writes=(
                ports.Write(row_key.table, row_key.key, store.encode(row)),
            ),
        )
        committed = await self._client.commit_resolved(
            transaction, row_key, nonce
        )
        return _rows.Claim(row_key, committed.versions[0], row)


def _claim(found: ports.Row) -> _rows.Claim:
    row = store.decode(found.value, _rows.ClaimRow)
    return _rows.Claim(
        ports.RowKey(found.table, found.key), found.version, row
    )


def _expired(row: _rows.ClaimRow, wall_s: float) -> bool:
    closed = row.state is not _rows.ClaimState.CLAIMED
    return closed and row.expires_s <= wall_s

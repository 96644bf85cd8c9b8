"""Takes, moves and ends claims."""

import collections.abc

import attrs

from .. import errors
from .. import link
from .. import ports
from .. import store
from . import _rows

#: Claims that are done or unknown are kept so long, in seconds.
KEPT_S = 24 * 3600.0
#: Larger bodies go to the object store, in bytes.
INLINE_BYTES = 16_384
#: When an asker should come back while the first request runs, in seconds.
RETRY_AFTER_S = 1.0


@attrs.frozen
class Claimed:
    """The request is this process's to dispatch, as the claim says."""

    #: The claim.
    claim: _rows.Claim


@attrs.frozen
class InProgress:
    """Another request under the key may run; ask the agent."""

    #: The claim, whose ``dispatch`` says whom to ask.
    claim: _rows.Claim


@attrs.frozen
class Unknown:
    """Whether a request under the key ran cannot be found out."""

    #: The claim.
    claim: _rows.Claim


#: What ``begin`` and ``resolve`` find; an ``Answer`` is the stored one.
Outcome = Claimed | _rows.Answer | InProgress | Unknown


@attrs.frozen
class Resolution:
    """What an agent knew of a dispatch."""

    #: What was found; ``UNKNOWN`` also for an agent that is gone for good.
    outcome: link.QueryOutcome
    #: The answer, for ``FINISHED``.
    answer: _rows.Answer | None = None


#: Asks the agent of a dispatch; ``None`` while it cannot be reached.
Resolver = collections.abc.Callable[
    [_rows.Dispatch], collections.abc.Awaitable[Resolution | None]
]


class Claims:
    """Claims of one process.

    A request is dispatched only after its claim was written, only to the
    agent incarnation and under the number that the claim names. All errors
    of ``begin`` and ``move`` mean that this process may not dispatch.

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

    async def begin(
        self,
        organisation: str,
        key: str,
        digest: str,
        dispatch: _rows.Dispatch,
        wall_s: float,
    ) -> Outcome:
        """Claim a request, or return what became of the one that has it.

        Raises ``Refusal`` 422 where the key came with another body,
        ``StoreUnavailable`` and ``OutcomeUnknown``.
        """
        place = _rows.claim_key(organisation, key)
        fresh = _rows.ClaimRow(
            digest=digest,
            state=_rows.ClaimState.CLAIMED,
            dispatch=dispatch,
            moves=0,
            created_s=wall_s,
            expires_s=wall_s + KEPT_S,
            nonce="",
        )
        try:
            claim = await self._write(_rows.Claim(place, 0, fresh))
            return Claimed(claim)
        except errors.TableConflict:
            return await self._existing(place, fresh, wall_s)

    async def move(
        self, claim: _rows.Claim, dispatch: _rows.Dispatch
    ) -> _rows.Claim:
        """Name another dispatch after the last was proved not started.

        Raises ``TableConflict`` where somebody else went on with it.
        """
        row = attrs.evolve(
            claim.row, dispatch=dispatch, moves=claim.row.moves + 1
        )
        return await self._write(attrs.evolve(claim, row=row))

    async def finish(
        self, claim: _rows.Claim, answer: _rows.Answer, wall_s: float
    ) -> None:
        """Keep the answer; a claim already done stays as it is."""
        if len(answer.body) > INLINE_BYTES:
            name = f"{claim.key.table}/{claim.key.key}"
            await self._objects.put(
                name, answer.body, self._client.call_timeout_s
            )
            answer = attrs.evolve(answer, body=b"", stored_as=name)
        await self._end(claim, _rows.ClaimState.DONE, answer, wall_s)

    async def doubt(self, claim: _rows.Claim, wall_s: float) -> None:
        """Note that nobody can find out whether the request ran."""
        await self._end(claim, _rows.ClaimState.UNKNOWN, None, wall_s)

    async def abandon(self, claim: _rows.Claim) -> None:
        """Remove the claim after its dispatch was proved not started."""
        check = ports.Check(claim.key.table, claim.key.key, claim.version)
        write = ports.Write(claim.key.table, claim.key.key, None)
        try:
            await self._client.commit(ports.Transaction((check,), (write,)))
        except errors.TableConflict:
            return

    async def resolve(
        self, found: InProgress, resolver: Resolver, wall_s: float
    ) -> Outcome:
        """Find out through the agent what became of a dispatch.

        ``Claimed`` means that it was proved not to have started: the
        caller ``move``s the claim before it dispatches. ``InProgress``
        means to ask again later.
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
        await self.doubt(claim, wall_s)
        return Unknown(claim)

    async def _existing(
        self, place: ports.RowKey, fresh: _rows.ClaimRow, wall_s: float
    ) -> Outcome:
        found = await self._client.read_one(place)
        if found is None:
            # Abandoned or swept in between: claim anew.
            return Claimed(await self._write(_rows.Claim(place, 0, fresh)))
        row = store.decode(found.value, _rows.ClaimRow)
        claim = _rows.Claim(place, found.version, row)
        over = row.state is not _rows.ClaimState.CLAIMED
        if over and row.expires_s <= wall_s:
            return Claimed(await self._write(attrs.evolve(claim, row=fresh)))
        if row.digest != fresh.digest:
            raise errors.Refusal(
                reason=errors.ErrorCode.IDEMPOTENCY_MISMATCH,
                sentence="This key came with another request before.",
                status=422,
            )
        if row.state is _rows.ClaimState.CLAIMED:
            return InProgress(claim)
        if row.state is _rows.ClaimState.DONE and row.answer is not None:
            return await self._whole(claim, row.answer)
        return Unknown(claim)

    async def _whole(
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

    async def _end(
        self,
        claim: _rows.Claim,
        state: _rows.ClaimState,
        answer: _rows.Answer | None,
        wall_s: float,
    ) -> None:
        row = attrs.evolve(
            claim.row,
            state=state,
            answer=answer,
            expires_s=wall_s + KEPT_S,
        )
        try:
            await self._write(attrs.evolve(claim, row=row))
        except errors.TableConflict:
            return

    async def _write(self, claim: _rows.Claim) -> _rows.Claim:
        """Write a claim whose version is the one to be replaced."""
        nonce = self._client.nonce()
        row = attrs.evolve(claim.row, nonce=nonce)
        place = claim.key
        transaction = ports.Transaction(
            checks=(ports.Check(place.table, place.key, claim.version),),
            writes=(ports.Write(place.table, place.key, store.encode(row)),),
        )
        committed = await self._client.commit_resolved(
            transaction, place, nonce
        )
        return _rows.Claim(place, committed.versions[0], row)

"""Takes, moves and ends claims."""

import collections.abc
import contextlib

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
#: Tries of a claim against others that abandon theirs.
BEGIN_TRIES = 4
#: Endings kept through an outage of the store.
UNSETTLED_LIMIT = 1_000
#: Rows looked at by one step of the sweep.
SWEEP_ROWS = 100
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


@attrs.frozen
class _Ending:
    """The end of a claim that is to be written."""

    #: The claim as it was last known.
    claim: _rows.Claim
    #: Its new state.
    state: _rows.ClaimState
    #: The answer, where there is one.
    answer: _rows.Answer | None

    def fits(self, found: _rows.Claim) -> bool:
        """Return whether it may replace what stands in the row.

        An answer also replaces the doubt of somebody who did not know it.
        """
        if found.row.dispatch != self.claim.row.dispatch:
            return False
        if found.row.state is _rows.ClaimState.CLAIMED:
            return True
        return (
            found.row.state is _rows.ClaimState.UNKNOWN
            and self.state is _rows.ClaimState.DONE
        )


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
        self._unsettled: dict[str, _Ending] = {}
        self._swept_to = ""

    async def begin(
        self,
        organisation: str,
        key: str,
        digest: str,
        dispatch: _rows.Dispatch,
        wall_s: float,
    ) -> Outcome:
        """Claim a request, or return what became of the one that has it.

        Raises ``Refusal`` 422 where the key came with another body and
        ``StoreUnavailable``.
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
        version = 0
        for _ in range(BEGIN_TRIES):
            try:
                claim = await self._write(_rows.Claim(place, version, fresh))
                return Claimed(claim)
            except (errors.TableConflict, errors.OutcomeUnknown):
                found = await self._read(place)
            if found is not None and not _expired(found.row, wall_s):
                return await self._judged(found, digest, dispatch)
            # Abandoned or swept in between, or expired: claim anew.
            version = found.version if found else 0
        raise errors.StoreUnavailable(operation="claim")

    async def find(
        self, organisation: str, key: str, digest: str
    ) -> Outcome | None:
        """Return what became of an earlier request, ``None`` without one.

        Nothing is written. Raises ``Refusal`` 422 where the key came with
        another body and ``StoreUnavailable``.
        """
        claim = await self._read(_rows.claim_key(organisation, key))
        if claim is None:
            return None
        return await self._judged(claim, digest, None)

    async def move(
        self, claim: _rows.Claim, dispatch: _rows.Dispatch
    ) -> _rows.Claim:
        """Name another dispatch after the last was proved not started.

        Raises ``TableConflict`` where somebody else went on with it.
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
        """Keep the answer; ``False`` where that is left to :meth:`settle`.

        Once the store is back, :meth:`settle` writes what was left. Until
        then others learn the answer from the agent.
        """
        return await self._end(
            _Ending(claim, _rows.ClaimState.DONE, answer), wall_s
        )

    async def doubt(self, claim: _rows.Claim, wall_s: float) -> bool:
        """Note that nobody can find out whether the request ran."""
        return await self._end(
            _Ending(claim, _rows.ClaimState.UNKNOWN, None), wall_s
        )

    async def abandon(self, claim: _rows.Claim) -> None:
        """Remove the claim after its dispatch was proved not started.

        One that cannot be removed is left to the next asker, who finds the
        same proof at the agent.
        """
        check = ports.Check(claim.key.table, claim.key.key, claim.version)
        write = ports.Write(claim.key.table, claim.key.key, None)
        with contextlib.suppress(
            errors.TableConflict,
            errors.OutcomeUnknown,
            errors.StoreUnavailable,
        ):
            await self._client.commit(ports.Transaction((check,), (write,)))

    async def settle(self, wall_s: float) -> int:
        """Write endings that an outage left; return how many still are."""
        for ending in list(self._unsettled.values()):
            if not await self._end(ending, wall_s):
                break
        return len(self._unsettled)

    async def sweep(self, wall_s: float) -> int:
        """Remove expired claims of one page; return how many.

        A claim still open after its time becomes unknown rather than
        vanish, so that it never turns into a second run unnoticed.
        """
        rows = await self._client.scan_page(
            _rows.TABLE, "", self._swept_to, SWEEP_ROWS
        )
        self._swept_to = rows[-1].key if len(rows) == SWEEP_ROWS else ""
        removed = 0
        for found in rows:
            claim = _claim(found)
            if wall_s < claim.row.expires_s:
                continue
            if claim.row.state is _rows.ClaimState.CLAIMED:
                await self.doubt(claim, wall_s)
                continue
            await self.abandon(claim)
            await self._forget_body(claim)
            removed += 1
        return removed

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

    async def _judged(
        self,
        claim: _rows.Claim,
        digest: str,
        dispatch: _rows.Dispatch | None,
    ) -> Outcome:
        """Return what the claim that stands means to a new request."""
        row = claim.row
        if row.digest != digest:
            raise errors.Refusal(
                reason=errors.ErrorCode.IDEMPOTENCY_MISMATCH,
                sentence="This key came with another request before.",
                status=422,
            )
        if row.state is _rows.ClaimState.CLAIMED:
            # An own write may have taken effect after all.
            own = row.dispatch == dispatch
            return Claimed(claim) if own else InProgress(claim)
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

    async def _end(self, ending: _Ending, wall_s: float) -> bool:
        """Write an ending, or keep it for later."""
        place = ending.claim.key
        try:
            await self._write_end(ending, wall_s)
        except (errors.StoreUnavailable, errors.OutcomeUnknown):
            if len(self._unsettled) < UNSETTLED_LIMIT:
                self._unsettled[place.key] = ending
            return False
        self._unsettled.pop(place.key, None)
        return True

    async def _write_end(self, ending: _Ending, wall_s: float) -> None:
        answer = await self._put_aside(ending)
        claim: _rows.Claim | None = ending.claim
        while claim is not None and ending.fits(claim):
            row = attrs.evolve(
                claim.row,
                state=ending.state,
                answer=answer,
                expires_s=wall_s + KEPT_S,
            )
            try:
                await self._write(attrs.evolve(claim, row=row))
                return
            except errors.TableConflict:
                claim = await self._read(claim.key)

    async def _put_aside(self, ending: _Ending) -> _rows.Answer | None:
        """Store a large body; return the answer as the row holds it."""
        answer = ending.answer
        if answer is None or len(answer.body) <= INLINE_BYTES:
            return answer
        place = ending.claim.key
        name = f"{place.table}/{place.key}"
        await self._objects.put(name, answer.body, self._client.call_timeout_s)
        return attrs.evolve(answer, body=b"", stored_as=name)

    async def _forget_body(self, claim: _rows.Claim) -> None:
        if claim.row.answer is not None and claim.row.answer.stored_as:
            await self._objects.delete(
                claim.row.answer.stored_as, self._client.call_timeout_s
            )

    async def _read(self, place: ports.RowKey) -> _rows.Claim | None:
        found = await self._client.read_one(place)
        return _claim(found) if found else None

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


def _claim(found: ports.Row) -> _rows.Claim:
    row = store.decode(found.value, _rows.ClaimRow)
    return _rows.Claim(
        ports.RowKey(found.table, found.key), found.version, row
    )


def _expired(row: _rows.ClaimRow, wall_s: float) -> bool:
    over = row.state is not _rows.ClaimState.CLAIMED
    return over and row.expires_s <= wall_s

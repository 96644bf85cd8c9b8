"""Commits changes by compare-and-set on the head."""

import typing

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _changes
from . import _codec
from . import _follow
from . import _store

#: Revisions between two snapshots.
SNAPSHOT_EVERY = 200
#: Tries against other committers before an operator is told to try again.
TRIES = 8


@attrs.define(slots=False, eq=False)
class NoMember(errors.BilberrydealError):
    """This entry is no member any more; it must start anew."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: The row that is missing.
    key: str


class CommitGuard(typing.Protocol):
    """Says when this entry may commit, see :mod:`bilberrydeal.keys`."""

    def begin_commit(self, now_s: float) -> None:
        """Begin a commit, or raise a typed error that holds it back."""

    def end_commit(self, known: bool, now_s: float) -> None:
        """End it; ``known`` tells whether its outcome is known."""


class Committer:
    """Writes changes; safe to run in every entry at once.

    ``standing`` is a row that exists as long as this process is a member;
    each transaction requires it.
    """

    def __init__(
        self,
        client: store.StoreClient,
        objects: ports.ObjectStore,
        follower: _follow.Follower,
        guard: CommitGuard | None = None,
        standing: ports.RowKey | None = None,
    ) -> None:
        self._client = client
        self._objects = objects
        self._follower = follower
        self._guard = guard
        self._standing = standing

    async def commit(
        self,
        change: _changes.Change,
        author: str,
        wall_s: float,
    ) -> int:
        """Commit a change and return its revision.

        A change that raced with one of another row is tried again on top
        of it; one that raced on the same row raises
        :class:`RevisionConflict`. Raises ``TableConflict`` when others were
        faster each time, ``StoreUnavailable`` when it was certainly not
        committed and ``OutcomeUnknown`` when that could not be found out.
        """
        for _ in range(TRIES - 1):
            try:
                return await self._once(change, author, wall_s)
            except errors.TableConflict:
                continue
        return await self._once(change, author, wall_s)

    async def _once(
        self,
        change: _changes.Change,
        author: str,
        wall_s: float,
    ) -> int:
        await self._follower.poll(self._client.now_s())
        head = await self._client.read_one(_store.HEAD)
        current = self._follower.current
        if _store.head_revision(head) != current.revision:
            raise errors.TableConflict(
                table=_store.HEAD.table,
                key=_store.HEAD.key,
                found_version=head.version if head else 0,
            )
        after = current.apply(change)
        revision = _store.Revision(
            revision=after.revision,
            change=_codec.envelope(change),
            nonce=self._client.nonce(),
            author=author,
            committed_at_s=wall_s,
        )
        await self._guarded(revision, head.version if head else 0)
        self._follower.offer([revision])
        if revision.revision % SNAPSHOT_EVERY == 0:
            await self._snapshot()
        return revision.revision

    async def _guarded(self, revision: _store.Revision, head: int) -> None:
        """Write, and tell the guard whether the outcome is known."""
        if self._guard is None:
            await self._write(revision, head)
            return
        self._guard.begin_commit(self._client.now_s())
        known = False
        try:
            await self._write(revision, head)
            known = True
        except (errors.TableConflict, errors.StoreUnavailable):
            known = True
            raise
        finally:
            self._guard.end_commit(known, self._client.now_s())

    async def _write(self, revision: _store.Revision, head: int) -> None:
        key = _store.revision_key(revision.revision)
        newest = _store.Head(revision.revision, revision.nonce)
        transaction = ports.Transaction(
            checks=(
                ports.Check(_store.HEAD.table, _store.HEAD.key, head),
                ports.Check(key.table, key.key, 0),
                *await self._standing_check(),
            ),
            writes=(
                ports.Write(
                    _store.HEAD.table, _store.HEAD.key, store.encode(newest)
                ),
                ports.Write(key.table, key.key, store.encode(revision)),
            ),
        )
        # A revision row is never written twice: it tells for good who won.
        try:
            await self._client.commit_resolved(
                transaction, key, revision.nonce, final=True
            )
        except errors.TableConflict as error:
            if error.doubted:
                await self._require_kept(revision.revision)
            raise

    async def _require_kept(self, revision: int) -> None:
        """Tell a lost race from a won one whose row was removed since.

        Only a process that was paused for hundreds of revisions can be in
        doubt about a row that is gone. Raises ``OutcomeUnknown``.
        """
        try:
            floor = await self._client.read_one(_store.FLOOR)
        except errors.StoreUnavailable as error:
            raise errors.OutcomeUnknown(operation="commit") from error
        if revision <= _store.head_revision(floor):
            raise errors.OutcomeUnknown(operation="commit")

    async def _standing_check(self) -> tuple[ports.Check, ...]:
        if self._standing is None:
            return ()
        row = await self._client.read_one(self._standing)
        if row is None:
            raise NoMember(key=self._standing.key)
        return (ports.Check(row.table, row.key, row.version),)

    async def _snapshot(self) -> None:
        """Store the configuration whole; the next one mends a failure."""
        current = self._follower.current
        place = _store.SNAPSHOT
        try:
            await self._objects.put(
                _store.snapshot_name(current.revision),
                store.encode(current),
                self._client.call_timeout_s,
            )
            row = await self._client.read_one(place)
            if _store.head_revision(row) >= current.revision:
                return
            newest = _store.Snapshot(current.revision, self._client.nonce())
            version = row.version if row else 0
            await self._client.commit(
                ports.Transaction(
                    checks=(ports.Check(place.table, place.key, version),),
                    writes=(
                        ports.Write(
                            place.table, place.key, store.encode(newest)
                        ),
                    ),
                )
            )
            # The one before stays for followers that know of it only.
            await self._objects.delete(
                _store.snapshot_name(current.revision - 2 * SNAPSHOT_EVERY),
                self._client.call_timeout_s,
            )
        except (
            errors.StoreUnavailable,
            errors.TableConflict,
            errors.OutcomeUnknown,
        ):
            return

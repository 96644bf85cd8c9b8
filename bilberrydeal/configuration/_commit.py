"""Commits changes by compare-and-set on the head row."""

import typing

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _changes
from . import _codec
from . import _follow
from . import _store

#: Number of revisions between two snapshots.
SNAPSHOT_INTERVAL = 200
#: Attempts against concurrent committers before the operator must retry.
MAX_ATTEMPTS = 8


@attrs.define(slots=False, eq=False)
class NoMember(errors.BilberrydealError):
    """This entry is no longer a member and must restart."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: Key of the missing member row.
    key: str


class CommitGuard(typing.Protocol):
    """Decides when this entry may commit; see :mod:`bilberrydeal.keys`."""

    def begin_commit(self, now_s: float) -> None:
        """Start a commit, or raise a typed error that prevents it."""

    def end_commit(self, known: bool, now_s: float) -> None:
        """Finish a commit; ``known`` is whether its outcome is known."""


class Committer:
    """Commits changes; every entry may run one concurrently.

    ``member_row`` is a row that exists as long as this process is a member.
    Every transaction requires it to exist.
    """

    def __init__(
        self,
        client: store.StoreClient,
        objects: ports.ObjectStore,
        follower: _follow.Follower,
        guard: CommitGuard | None = None,
        member_row: ports.RowKey | None = None,
    ) -> None:
        self._client = client
        self._objects = objects
        self._follower = follower
        self._guard = guard
        self._member_row = member_row

    async def commit(
        self,
        change: _changes.Change,
        author: str,
        wall_s: float,
    ) -> int:
        """Commit a change and return its revision.

        A change that races with a change of another row is rebased on it and
        retried; a race on the same row raises :class:`RevisionConflict`.
        Raises ``TableConflict`` if every attempt lost such a race,
        ``StoreUnavailable`` if the change was certainly not committed and
        ``OutcomeUnknown`` if that could not be determined.
        """
        for _ in range(MAX_ATTEMPTS - 1):
            try:
                return await self._commit_once(change, author, wall_s)
            except errors.TableConflict:
                continue
        return await self._commit_once(change, author, wall_s)

    async def _commit_once(
        self,
        change: _changes.Change,
        author: str,
        wall_s: float,
    ) -> int:
        await self._follower.poll(self._client.now_s())
        head = await self._client.read_one(_store.HEAD)
        current = self._follower.current
        if _store.stored_revision(head) != current.revision:
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
        await self._write_guarded(revision, head.version if head else 0)
        self._follower.apply_relayed([revision])
        if revision.revision % SNAPSHOT_INTERVAL == 0:
            await self._snapshot()
        return revision.revision

    async def _write_guarded(
        self, revision: _store.Revision, head: int
    ) -> None:
        """Write a revision and report to the guard if its outcome is known."""
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
                *await self._membership_check(),
            ),
            writes=(
                ports.Write(
                    _store.HEAD.table, _store.HEAD.key, store.encode(newest)
                ),
                ports.Write(key.table, key.key, store.encode(revision)),
            ),
        )
        # Revision rows are never overwritten, so the row is conclusive.
        try:
            await self._client.commit_resolved(
                transaction, key, revision.nonce, marker_is_immutable=True
            )
        except errors.TableConflict as error:
            if error.outcome_inferred:
                await self._require_retained(revision.revision)
            raise

    async def _require_retained(self, revision: int) -> None:
        """Raise ``OutcomeUnknown`` if the revision's row may have been swept.

        A missing row then does not prove that the commit failed. This only
        happens to a process that was paused for hundreds of revisions.
        """
        try:
            floor = await self._client.read_one(_store.FLOOR)
        except errors.StoreUnavailable as error:
            raise errors.OutcomeUnknown(operation="commit") from error
        if revision <= _store.stored_revision(floor):
            raise errors.OutcomeUnknown(operation="commit")

    async def _membership_check(self) -> tuple[ports.Check, ...]:
        if self._member_row is None:
            return ()
        row = await self._client.read_one(self._member_row)
        if row is None:
            raise NoMember(key=self._member_row.key)
        return (ports.Check(row.table, row.key, row.version),)

    async def _snapshot(self) -> None:
        """Store a full snapshot; after a failure the next one replaces it."""
        current = self._follower.current
        place = _store.SNAPSHOT
        try:
            await self._objects.put(
                _store.snapshot_name(current.revision),
                store.encode(current),
                self._client.call_timeout_s,
            )
            row = await self._client.read_one(place)
            if _store.stored_revision(row) >= current.revision:
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
            # Keep the previous snapshot for followers that have read the old
            # snapshot row.
            await self._objects.delete(
                _store.snapshot_name(current.revision - 2 * SNAPSHOT_INTERVAL),
                self._client.call_timeout_s,
            )
        except (
            errors.StoreUnavailable,
            errors.TableConflict,
            errors.OutcomeUnknown,
        ):
            return

"""Applies new revisions, read from the store or relayed by a peer."""

import collections.abc

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _changes
from . import _configuration
from . import _store

#: Maximum number of revisions read in one call.
READ_BATCH_SIZE = 100
#: Maximum number of revisions relayed in one message.
RELAY_BATCH_SIZE = 200
#: Number of recent revisions kept for relaying to peers.
RELAY_HISTORY_SIZE = 2_000

Listener = collections.abc.Callable[
    [_changes.Change, _configuration.Configuration], None
]


@attrs.frozen
class RelayHead:
    """Newest revision of an entry, as reported to its peers."""

    #: Newest revision that it has applied.
    revision: int
    #: Time since the store confirmed it as the newest, in seconds.
    age_s: float


@attrs.frozen
class RelayChanges:
    """Revisions relayed to a peer that lacks them."""

    #: Consecutive revisions in order.
    revisions: tuple[_store.Revision, ...]


@attrs.frozen
class SnapshotLoaded:
    """Passed to listeners instead of the changes that a snapshot skipped."""

    #: Revision of the snapshot.
    revision: int


class Follower:
    """Keeps the newest configuration known to this process.

    Revisions are applied in order and only once. A revision that is not newer
    than the current one is ignored, so the configuration never goes back.
    """

    def __init__(
        self, client: store.StoreClient, objects: ports.ObjectStore
    ) -> None:
        self._client = client
        self._objects = objects
        self._recent: collections.deque[_store.Revision] = collections.deque(
            maxlen=RELAY_HISTORY_SIZE
        )
        self._listeners: list[Listener] = []
        self.current = _configuration.Configuration()
        #: Monotonic time at which the last successful poll was sent, ``None``
        #: before the first.
        self.confirmed_s: float | None = None

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each change that is applied.

        After a snapshot is loaded it is called with
        :class:`SnapshotLoaded` instead of the skipped changes.
        """
        self._listeners.append(listener)

    async def poll(self, now_s: float) -> int:
        """Apply all revisions up to the head; return the number applied.

        ``now_s`` is the time of the call. Every change committed before it
        has been applied on return. Raises ``StoreUnavailable``.
        """
        head, snapshot = await self._client.read(
            [_store.HEAD, _store.SNAPSHOT]
        )
        target = _store.stored_revision(head)
        before = self.current.revision
        if _store.stored_revision(snapshot) - before > READ_BATCH_SIZE:
            await self._load_snapshot(_store.stored_revision(snapshot))
        while self.current.revision < target:
            await self._read_revisions(target)
        self.confirmed_s = max(self.confirmed_s or now_s, now_s)
        return self.current.revision - before

    def apply_relayed(
        self, revisions: collections.abc.Sequence[_store.Revision]
    ) -> int:
        """Apply revisions from a peer; return how many were applied."""
        before = self.current.revision
        for revision in revisions:
            if revision.revision == self.current.revision + 1:
                self._apply_revision(revision)
        return self.current.revision - before

    def relay_head(self, now_s: float) -> RelayHead | None:
        """Return the confirmed revision, ``None`` before the first poll."""
        if self.confirmed_s is None:
            return None
        return RelayHead(
            revision=self.current.revision, age_s=now_s - self.confirmed_s
        )

    def relay_changes(self, after: int) -> RelayChanges | None:
        """Return revisions after one; ``None`` if they are not kept."""
        if after >= self.current.revision:
            return RelayChanges(revisions=())
        if not self._recent or self._recent[0].revision > after + 1:
            return None
        found = [r for r in self._recent if r.revision > after]
        return RelayChanges(revisions=tuple(found[:RELAY_BATCH_SIZE]))

    async def _read_revisions(self, target: int) -> None:
        first = self.current.revision + 1
        last = min(target, first + READ_BATCH_SIZE - 1)
        keys = [_store.revision_key(n) for n in range(first, last + 1)]
        for row in await self._client.read(keys):
            if row is None:
                raise errors.StoreUnavailable(operation="read revisions")
            revision = store.decode(row.value, _store.Revision)
            # Relayed revisions may have been applied during the read.
            if revision.revision == self.current.revision + 1:
                self._apply_revision(revision)

    async def _load_snapshot(self, revision: int) -> None:
        data = await self._objects.get(
            _store.snapshot_name(revision), self._client.call_timeout_s
        )
        if data is None:
            return
        loaded = store.decode(data, _configuration.Configuration)
        if loaded.revision > self.current.revision:
            self.current = loaded
            self._recent.clear()
            self._notify(SnapshotLoaded(loaded.revision))

    def _apply_revision(self, revision: _store.Revision) -> None:
        change = revision.unwrap()
        self.current = self.current.apply(change)
        self._recent.append(revision)
        self._notify(change)

    def _notify(self, change: _changes.Change) -> None:
        for listener in self._listeners:
            listener(change, self.current)

"""Follows the revisions, from the store or from a peer entry."""

import collections.abc

import attrs

from .. import errors
from .. import ports
from .. import store
from . import _changes
from . import _configuration
from . import _store

#: Revisions read in one call.
READ_AT_ONCE = 100
#: Revisions handed to a peer in one message.
RELAY_AT_ONCE = 200
#: Revisions kept to be handed to peers.
RELAY_KEPT = 2_000

Listener = collections.abc.Callable[
    [_changes.Change, _configuration.Configuration], None
]


@attrs.frozen
class RelayHead:
    """What an entry tells its peers about the newest revision."""

    #: Newest revision that it has applied.
    revision: int
    #: How long ago the store confirmed it as the newest, in seconds.
    age_s: float


@attrs.frozen
class RelayChanges:
    """Revisions handed to a peer that lacks them, in order."""

    #: The revisions.
    revisions: tuple[_store.Revision, ...]


@attrs.frozen
class SnapshotLoaded:
    """Told to listeners in place of the changes that a snapshot skipped."""

    #: Revision of the snapshot.
    revision: int


class Follower:
    """Keeps the newest configuration that this process knows.

    Revisions are applied in order, each once; a revision at or below the
    present one is passed over, so the configuration never goes back.
    """

    def __init__(
        self, client: store.StoreClient, objects: ports.ObjectStore
    ) -> None:
        self._client = client
        self._objects = objects
        self._kept: collections.deque[_store.Revision] = collections.deque(
            maxlen=RELAY_KEPT
        )
        self._listeners: list[Listener] = []
        self.current = _configuration.Configuration()
        #: When the last poll that reached the head was sent, monotonic;
        #: ``None`` before the first.
        self.confirmed_s: float | None = None

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each change that is applied.

        A snapshot that took the place of many changes is told as
        :class:`SnapshotLoaded`.
        """
        self._listeners.append(listener)

    async def poll(self, now_s: float) -> int:
        """Read up to the head; return the number of changes applied.

        Every change committed before ``now_s``, when this was called, is
        applied when it returns. Raises ``StoreUnavailable``.
        """
        head, snapshot = await self._client.read(
            [_store.HEAD, _store.SNAPSHOT]
        )
        target = _store.head_revision(head)
        before = self.current.revision
        if _store.head_revision(snapshot) - before > READ_AT_ONCE:
            await self._load_snapshot(_store.head_revision(snapshot))
        while self.current.revision < target:
            await self._read_revisions(target)
        self.confirmed_s = max(self.confirmed_s or now_s, now_s)
        return self.current.revision - before

    def offer(
        self, revisions: collections.abc.Sequence[_store.Revision]
    ) -> int:
        """Apply revisions from a peer; return the number applied."""
        before = self.current.revision
        for revision in revisions:
            if revision.revision == self.current.revision + 1:
                self._advance(revision)
        return self.current.revision - before

    def relay_head(self, now_s: float) -> RelayHead | None:
        """Return what peers may rely on, ``None`` before the first poll."""
        if self.confirmed_s is None:
            return None
        return RelayHead(
            revision=self.current.revision, age_s=now_s - self.confirmed_s
        )

    def relay_changes(self, after: int) -> RelayChanges | None:
        """Return revisions past one; ``None`` where they are not kept."""
        if after >= self.current.revision:
            return RelayChanges(revisions=())
        if not self._kept or self._kept[0].revision > after + 1:
            return None
        found = [r for r in self._kept if r.revision > after]
        return RelayChanges(revisions=tuple(found[:RELAY_AT_ONCE]))

    async def _read_revisions(self, target: int) -> None:
        first = self.current.revision + 1
        last = min(target, first + READ_AT_ONCE - 1)
        keys = [_store.revision_key(n) for n in range(first, last + 1)]
        for row in await self._client.read(keys):
            if row is None:
                raise errors.StoreUnavailable(operation="read revisions")
            revision = store.decode(row.value, _store.Revision)
            # Relayed revisions may have arrived while the read ran.
            if revision.revision == self.current.revision + 1:
                self._advance(revision)

    async def _load_snapshot(self, revision: int) -> None:
        data = await self._objects.get(
            _store.snapshot_name(revision), self._client.call_timeout_s
        )
        if data is None:
            return
        loaded = store.decode(data, _configuration.Configuration)
        if loaded.revision > self.current.revision:
            self.current = loaded
            self._kept.clear()
            self._tell(SnapshotLoaded(loaded.revision))

    def _advance(self, revision: _store.Revision) -> None:
        change = revision.opened()
        self.current = self.current.apply(change)
        self._kept.append(revision)
        self._tell(change)

    def _tell(self, change: _changes.Change) -> None:
        for listener in self._listeners:
            listener(change, self.current)

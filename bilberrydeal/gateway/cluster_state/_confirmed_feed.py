"""Tells as of when what was read of a table is known to be complete."""

from ... import ports
from . import _freshness
from . import _store_sync


class ConfirmedFeed:
    """A change feed whose answers are dated by when they were asked for.

    An answer may have waited in this host's buffers, on the way, or for a
    process that stood still. It is certain only that the store has not given
    it before it was asked.

    Example::

        feed = ConfirmedFeed(store, freshness, clock)
        follower = TableFollower(feed, "servers", ...)
        await follower.run(feed.noting(updater.apply))
    """

    def __init__(
        self,
        feed: ports.ChangeFeed,
        freshness: _freshness.TableFreshness,
        clock: _store_sync.Clock,
    ) -> None:
        self._feed = feed
        self._freshness = freshness
        self._clock = clock
        #: When the call that was answered last began, monotonic seconds.
        self._asked_s = float("-inf")

    async def snapshot(self, table: str, timeout_s: float) -> ports.Changes:
        """Return all rows of a table."""
        asked_s = self._clock()
        found = await self._feed.snapshot(table, timeout_s)
        self._asked_s = asked_s
        return found

    async def changes(
        self,
        table: str,
        after: ports.StoreVersion,
        wait_s: float,
        timeout_s: float,
        on_rows: ports.OnRows | None = None,
    ) -> ports.Changes:
        """Return the changes after a version."""
        asked_s = self._clock()
        found = await self._feed.changes(
            table, after, wait_s, timeout_s, on_rows
        )
        self._asked_s = asked_s
        return found

    def noting(
        self, on_changes: _store_sync.OnChanges
    ) -> _store_sync.OnChanges:
        """Return what applies changes and then notes as of when they are."""

        def apply(changes: ports.Changes, is_snapshot: bool) -> bool:
            changed = on_changes(changes, is_snapshot)
            self._freshness.note_confirmed(self._asked_s)
            return changed

        return apply

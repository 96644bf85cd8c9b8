"""Follows a table of the store."""

import collections.abc

from ... import errors
from ... import ports
from ... import telemetry
from . import _connectivity
from . import _poll_times
from . import _store_hints
from . import _table_reader

LOG = telemetry.logger("following")

Clock = collections.abc.Callable[[], float]
#: Applies changes, or a snapshot if the second argument is set; returns
#: whether any of them matters.
OnChanges = collections.abc.Callable[[ports.Changes, bool], bool]


class TableFollower:
    """Follows one table: reads a snapshot, then the change feed."""

    def __init__(
        self,
        feed: ports.ChangeFeed,
        table: str,
        connectivity: _connectivity.StoreConnectivity,
        hints: _store_hints.StoreHints,
        times: _poll_times.PollTimes,
        clock: Clock,
    ) -> None:
        self._table = table
        self._connectivity = connectivity
        self._hints = hints
        self._state = hints.follow(table)
        self._times = times
        self._clock = clock
        self._freshness = self._state.freshness
        self._failures = _connectivity.FailureStreak(table)
        self._reader = _table_reader.TableReader(
            feed,
            table,
            times,
            self._freshness.note_superseded,
            self._note_failure,
            clock,
        )
        #: Time that the last response took to arrive, and its delay before.
        self._transfer_s = 0.0
        self._delay_s = 0.0

    async def run(self, on_changes: OnChanges) -> None:
        """Follow the table; ``on_changes`` gets rows and ``is_snapshot``."""
        try:
            while True:
                await self._poll_or_begin_anew(on_changes)
        finally:
            await self._reader.stop()

    async def _poll_or_begin_anew(self, on_changes: OnChanges) -> None:
        try:
            await self._poll(on_changes)
            if self._pauses():
                # Else what arrives meanwhile would count as a new poll.
                self._reader.cancel()
            await self._hints.pause(self._state, self._times.pause_s)
        except errors.HistoryGone:
            LOG.info("Change history expired.", table=self._table)
            self._state.version = None
            self._freshness.note_superseded()
            await self._reader.stop()

    async def _poll(self, on_changes: OnChanges) -> None:
        known = self._state.version
        self._freshness.note_asked(self._clock())
        wait_s = self._wait_s()
        due_s = self._times.due_after_s(wait_s, self._delay_s)
        answer = await self._reader.read(known, wait_s, due_s)
        now_s = self._clock()
        self._connectivity.note_read(self._table, now_s)
        self._failures.note_success(answer.found.transfer, now_s)
        self._transfer_s = answer.found.transfer.took_s
        self._delay_s = answer.delay_s
        changed = self._apply(answer.found, known is None, on_changes)
        self._freshness.note_confirmed(answer.sent_s)
        self._state.note_poll(answer.found.version, changed, now_s)

    def _pauses(self) -> bool:
        """Return whether the next poll is not sent at once."""
        return self._times.pause_s > 0.0 or self._hints.relies_on(self._state)

    def _wait_s(self) -> float:
        if self._state.version is None:
            return 0.0
        return self._hints.wait_s(
            self._state,
            self._times.wait_after_s(self._transfer_s + self._delay_s),
        )

    def _note_failure(self, reason: str) -> None:
        now_s = self._clock()
        self._connectivity.note_late(self._table)
        self._connectivity.note_failure(reason, now_s)
        self._failures.note_failure(reason, now_s)

    def _apply(
        self, found: ports.Changes, is_snapshot: bool, on_changes: OnChanges
    ) -> bool:
        try:
            return on_changes(found, is_snapshot)
        except Exception:
            self._freshness.note_not_applied()
            raise

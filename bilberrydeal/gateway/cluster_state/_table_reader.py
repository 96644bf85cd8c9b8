"""Reads a table of the store, over another connection if one is silent."""

import asyncio
import collections.abc
import functools

from ... import errors
from ... import ports
from . import _concurrent_reads
from . import _poll_times

#: First pause after a failed call, in seconds; doubles with each.
BACKOFF_FIRST_S = 0.05

Clock = collections.abc.Callable[[], float]
#: Gets the reason for which a read has no response so far.
OnFailure = collections.abc.Callable[[str], None]


class TableReader:
    """Reads the rows of one table, or their changes, until there is an answer.

    A response that is late may still come from a store that is slow, and never
    comes over a connection that is silent. So the read goes on, and others are
    sent beside it at intervals, over new connections. Of a slow store these
    are answered in turn: each answer is as old as a response takes, and not
    twice as old, as where each read waits for the one before.

    Example::

        reader = TableReader(feed, "op", times, on_rows, on_failure, clock)
        answer = await reader.read(version, wait_s=1.0, due_s=1.5)
        await reader.stop()
    """

    def __init__(
        self,
        feed: ports.ChangeFeed,
        table: str,
        times: _poll_times.PollTimes,
        on_rows: ports.OnRows,
        on_failure: OnFailure,
        clock: Clock,
    ) -> None:
        self._feed = feed
        self._table = table
        self._times = times
        self._on_rows = on_rows
        self._on_failure = on_failure
        self._clock = clock
        self._reads = _concurrent_reads.ConcurrentReads()
        #: When the last read was started, monotonic seconds.
        self._started_s = float("-inf")
        #: The last read that waits for as long as a slow store may take.
        self._patient: asyncio.Task[_concurrent_reads.Answer] | None = None

    def cancel(self) -> None:
        """Give up the reads that are under way."""
        self._reads.cancel()

    async def stop(self) -> None:
        """Cancel the reads that are under way, and wait for their end."""
        await self._reads.stop()

    async def read(
        self,
        known: ports.StoreVersion | None,
        wait_s: float,
        due_s: float,
    ) -> _concurrent_reads.Answer:
        """Return changes since a version, or all rows without one.

        The store waits up to ``wait_s`` for a change, and its response is late
        after ``due_s``. While responses are late, reads that were started in
        an earlier call go on instead. Raises ``HistoryGone``.
        """
        backoff_s = BACKOFF_FIRST_S
        while True:
            try:
                return await self._first_answer(known, wait_s, due_s)
            except errors.StoreUnavailable:
                # It is logged where it was raised.
                await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, self._times.backoff_limit_s)
            wait_s, due_s = 0.0, self._times.margin_s

    async def _first_answer(
        self,
        known: ports.StoreVersion | None,
        wait_s: float,
        due_s: float,
    ) -> _concurrent_reads.Answer:
        """Read, and again beside that as long as there is no response."""
        began_s = self._clock()
        if self._reads.running:
            next_s = self._started_s + self._times.margin_s
            late_s = began_s + self._times.margin_s
        else:
            self._start(known, wait_s)
            next_s = late_s = began_s + due_s
        beside = 0
        while not await self._reads.responded_within(next_s - self._clock()):
            now_s = self._clock()
            if now_s >= late_s:
                self._on_failure(f"no response after {now_s - began_s:.2f} s")
            self._start(known, 0.0)
            beside += 1
            next_s = now_s + self._times.repeated_after_s(beside)
        answer = await self._reads.first()
        if not self._is_followed(known, answer):
            self._reads.cancel()
        return answer

    def _is_followed(
        self,
        known: ports.StoreVersion | None,
        answer: _concurrent_reads.Answer,
    ) -> bool:
        """Return whether reads beside the answered one are still of use.

        They ask for changes since the same version.
        """
        if known is None or answer.found.rows:
            return False
        return self._times.is_slow(answer.delay_s)

    def _start(self, known: ports.StoreVersion | None, wait_s: float) -> None:
        """Start a read, with a short limit beside one that is patient."""
        self._started_s = self._clock()
        patient = self._patient is None or self._patient.done()
        limit_s = self._times.repeated_limit_s
        if patient:
            limit_s = wait_s + self._times.slow_margin_s
        task = self._reads.start(
            functools.partial(self._ask, known, wait_s, limit_s)
        )
        if patient:
            self._patient = task

    async def _ask(
        self,
        known: ports.StoreVersion | None,
        wait_s: float,
        limit_s: float,
        on_rows: ports.OnRows,
    ) -> _concurrent_reads.Answer:
        """Return an answer, and from when on it may be outdated.

        It may have waited on the way, or for this process.
        """
        asked_s = self._clock()

        def note_rows() -> None:
            on_rows()
            if known is not None:
                self._on_rows()

        try:
            found = await self._call(known, wait_s, limit_s, note_rows)
        except errors.StoreUnavailable as error:
            self._on_failure(str(error))
            raise
        head_s = self._clock() - found.transfer.took_s
        delay_s = max(head_s - asked_s - wait_s, 0.0)
        if found.rows or known is None:
            return _concurrent_reads.Answer(found, asked_s, delay_s)
        # Without a change the store answers at the end of the wait.
        sent_s = min(head_s, asked_s + wait_s)
        return _concurrent_reads.Answer(found, sent_s, delay_s)

    async def _call(
        self,
        known: ports.StoreVersion | None,
        wait_s: float,
        limit_s: float,
        on_rows: ports.OnRows,
    ) -> ports.Changes:
        if known is None:
            return await self._feed.snapshot(self._table, limit_s, on_rows)
        return await self._feed.changes(
            self._table, known, wait_s, limit_s, on_rows
        )

"""Simulates the simultaneous recovery of many entries from a limited store.

The store processes reads and writes in order of arrival. A call that takes
longer than its timeout still uses the store, but its result is lost. A call
that meets too long a queue is refused. Callers retry after full-jitter
backoff.
"""

import collections
import heapq
import itertools
import random
import statistics

import attrs

from bilberrydeal.systems import pacing

READS_PER_S = 2000.0
WRITES_PER_S = 500.0
#: Calls per second of the processes that are not recovering.
STEADY_READS_PER_S = 400.0
STEADY_WRITES_PER_S = 150.0
CALL_TIMEOUT_S = 1.0
#: Calls are refused when the queue is longer than this.
QUEUE_BOUND_S = 2.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 5.0
#: End of a run; also counted as the time of entries that did not recover.
RUN_LIMIT_S = 900.0
#: Calls per second of one process without paced recovery.
CLIENT_RATE_PER_S = 20.0
#: Concurrent calls of each kind of one process without paced recovery.
CLIENT_CONCURRENCY = 8


@attrs.frozen
class RecoveryLoad:
    """Work that each recovering entry has to do."""

    #: Urgent reads: pages of keys, members and configuration.
    serve_reads: int
    #: Deferrable writes: usage windows and claims.
    adopt_writes: int
    #: Share of the entries that recover.
    share: float = 1.0


LOADS = {
    "rejoin_after_hour": RecoveryLoad(serve_reads=8, adopt_writes=60),
    "all_restart": RecoveryLoad(serve_reads=30, adopt_writes=5),
    "one_restarts": RecoveryLoad(30, 5, share=0.0),
}
PACING_POLICIES = ("unpaced", "client_rate", "paced")


@attrs.frozen
class RecoveryRun:
    """Figures of one run."""

    #: Time until an entry serves requests, median and maximum.
    serving_p50_s: float
    serving_max_s: float
    #: Maximum number of calls in one second.
    reads_peak_per_s: float
    writes_peak_per_s: float
    #: Share of the calls that were refused or timed out.
    refused_share: float
    #: Time at which the last deferrable work was done.
    recovered_s: float


@attrs.define
class _CallQueue:
    """One kind of call to the store, served in order of arrival."""

    rate_per_s: float
    free_at_s: float = 0.0
    calls: collections.Counter[int] = attrs.field(factory=collections.Counter)
    refused: int = 0

    def call(self, now_s: float) -> tuple[float, bool]:
        """Return the time of the result, and whether the call succeeded."""
        self.calls[int(now_s)] += 1
        begin_s = max(now_s, self.free_at_s)
        if begin_s - now_s > QUEUE_BOUND_S:
            self.refused += 1
            return now_s, False
        self.free_at_s = begin_s + 1.0 / self.rate_per_s
        if self.free_at_s - now_s > CALL_TIMEOUT_S:
            self.refused += 1
            return now_s + CALL_TIMEOUT_S, False
        return self.free_at_s, True


@attrs.define
class _Entry:
    """State of one recovering entry."""

    pacer: pacing.RecoveryPacer
    client: pacing.TokenBucket
    serve_unsent: int
    adopt_unsent: int
    serve_unfinished: int
    adopt_unfinished: int
    serving_at_s: float = -1.0
    recovered_at_s: float = -1.0


#: Time, sequence number, index of the entry, kind of work, failed attempts.
_Event = tuple[float, int, int, pacing.RecoveryWork, int]


class _Recovery:
    def __init__(
        self, policy: str, entries: int, load: RecoveryLoad, seed: int
    ) -> None:
        self.policy = policy
        self.rng = random.Random(seed)
        self.reads = _CallQueue(READS_PER_S - STEADY_READS_PER_S)
        self.writes = _CallQueue(WRITES_PER_S - STEADY_WRITES_PER_S)
        count = max(1, round(entries * load.share))
        self.entries = [
            _Entry(
                pacing.RecoveryPacer(
                    pacing.PacingRules(), entries, seed * 1000 + index, 0.0
                ),
                pacing.TokenBucket(CLIENT_RATE_PER_S, CLIENT_RATE_PER_S, 0.0),
                load.serve_reads,
                load.adopt_writes,
                load.serve_reads,
                load.adopt_writes,
            )
            for index in range(count)
        ]
        self.events: list[_Event] = []
        self.sequence = itertools.count()

    def run(self) -> RecoveryRun:
        """Run until all entries have recovered."""
        parallel_calls = 1 if self.policy == "paced" else CLIENT_CONCURRENCY
        for index in range(len(self.entries)):
            for _ in range(parallel_calls):
                self._schedule_next(index, pacing.RecoveryWork.URGENT, 0.0)
                self._schedule_next(index, pacing.RecoveryWork.DEFERRABLE, 0.0)
        while self.events:
            now_s, _, index, work, attempts = heapq.heappop(self.events)
            if now_s > RUN_LIMIT_S:
                break
            self._process_call(now_s, index, work, attempts)
        return self._compute_figures()

    def _schedule_next(
        self, index: int, work: pacing.RecoveryWork, now_s: float
    ) -> None:
        """Schedule the next call of a kind, if one is left."""
        entry = self.entries[index]
        if work is pacing.RecoveryWork.URGENT:
            if not entry.serve_unsent:
                return
            entry.serve_unsent -= 1
        else:
            if not entry.adopt_unsent:
                return
            entry.adopt_unsent -= 1
        self._push_event(
            now_s + self._wait_s(entry, work, now_s), index, work, 0
        )

    def _wait_s(
        self, entry: _Entry, work: pacing.RecoveryWork, now_s: float
    ) -> float:
        if self.policy == "paced":
            return entry.pacer.wait_s(work, now_s)
        if self.policy == "client_rate":
            return entry.client.reserve(1.0, now_s)
        return 0.0

    def _push_event(
        self, at_s: float, index: int, work: pacing.RecoveryWork, attempts: int
    ) -> None:
        heapq.heappush(
            self.events, (at_s, next(self.sequence), index, work, attempts)
        )

    def _process_call(
        self,
        now_s: float,
        index: int,
        work: pacing.RecoveryWork,
        attempts: int,
    ) -> None:
        queue = (
            self.reads if work is pacing.RecoveryWork.URGENT else self.writes
        )
        result_at_s, succeeded = queue.call(now_s)
        if not succeeded:
            max_backoff_s = min(
                BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(attempts, 9)
            )
            retry_s = result_at_s + self.rng.uniform(0.0, max_backoff_s)
            if self.policy == "client_rate":
                wait_s = self.entries[index].client.reserve(1.0, result_at_s)
                retry_s = max(retry_s, result_at_s + wait_s)
            self._push_event(retry_s, index, work, attempts + 1)
            return
        entry = self.entries[index]
        if work is pacing.RecoveryWork.URGENT:
            entry.serve_unfinished -= 1
            if not entry.serve_unfinished:
                entry.serving_at_s = result_at_s
        else:
            entry.adopt_unfinished -= 1
            entry.recovered_at_s = result_at_s
        self._schedule_next(index, work, result_at_s)

    def _compute_figures(self) -> RecoveryRun:
        serving = [
            RUN_LIMIT_S if entry.serve_unfinished else entry.serving_at_s
            for entry in self.entries
        ]
        recovered = [
            RUN_LIMIT_S if entry.adopt_unfinished else entry.recovered_at_s
            for entry in self.entries
        ]
        calls = self.reads.calls.total() + self.writes.calls.total()
        return RecoveryRun(
            serving_p50_s=statistics.median(serving),
            serving_max_s=max(serving),
            reads_peak_per_s=max(self.reads.calls.values()),
            writes_peak_per_s=max(self.writes.calls.values()),
            refused_share=(self.reads.refused + self.writes.refused) / calls,
            recovered_s=max(recovered),
        )


def run(policy: str, entries: int, load: str, seed: int) -> RecoveryRun:
    """Simulate the recovery of entries under one pacing policy."""
    return _Recovery(policy, entries, LOADS[load], seed).run()

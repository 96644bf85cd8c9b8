"""Recovery of many entries at once against a store with its limits.

The store works off reads and writes in order of arrival; a call that waits
longer than its timeout is done in vain, one that finds too long a queue is
refused. Callers try again after full-jitter backoff.
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
#: Calls of the processes that do not recover.
STEADY_READS_PER_S = 400.0
STEADY_WRITES_PER_S = 150.0
CALL_TIMEOUT_S = 1.0
#: A queue as long as this is refused.
QUEUE_BOUND_S = 2.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 5.0
#: A run ends here; what did not recover counts so long.
GIVEN_UP_S = 900.0
#: Calls a second of one process without paced recovery.
CLIENT_RATE_PER_S = 20.0
#: Calls in flight of one process without paced recovery.
CLIENT_IN_FLIGHT = 8


@attrs.frozen
class RecoveryLoad:
    """What each recovering entry has to do."""

    #: Urgent reads: pages of keys, members, configuration.
    serve_reads: int
    #: Writes that can wait: usage windows, claims.
    adopt_writes: int
    #: Entries that recover, as a share of all.
    share: float = 1.0


LOADS = {
    "rejoin_after_hour": RecoveryLoad(serve_reads=8, adopt_writes=60),
    "all_restart": RecoveryLoad(serve_reads=30, adopt_writes=5),
    "one_restarts": RecoveryLoad(30, 5, share=0.0),
}
WAYS = ("unpaced", "client_rate", "paced")


@attrs.frozen
class RecoveryRun:
    """What one run gave."""

    #: Time until an entry serves, median and worst.
    serving_p50_s: float
    serving_max_s: float
    #: Most calls in one second.
    reads_peak_per_s: float
    writes_peak_per_s: float
    #: Calls that were refused or timed out.
    refused_share: float
    #: When the last work that could wait was done.
    recovered_s: float


@attrs.define
class _Queue:
    """One kind of call of the store: a server that works in order."""

    rate_per_s: float
    free_at_s: float = 0.0
    calls: collections.Counter[int] = attrs.field(factory=collections.Counter)
    refused: int = 0

    def call(self, now_s: float) -> tuple[float, bool]:
        """Return when the caller knows, and whether it was done in time."""
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
    """One entry that recovers."""

    pacer: pacing.RecoveryPacer
    client: pacing.TokenBucket
    serve_left: int
    adopt_left: int
    serve_waiting: int
    adopt_waiting: int
    serving_at_s: float = -1.0
    recovered_at_s: float = -1.0


#: An event: time, order, entry, kind of work, tries so far.
_Event = tuple[float, int, int, pacing.RecoveryWork, int]


class _Recovery:
    def __init__(
        self, way: str, entries: int, load: RecoveryLoad, seed: int
    ) -> None:
        self.way = way
        self.drawn = random.Random(seed)
        self.reads = _Queue(READS_PER_S - STEADY_READS_PER_S)
        self.writes = _Queue(WRITES_PER_S - STEADY_WRITES_PER_S)
        count = max(1, round(entries * load.share))
        self.entries = [
            _Entry(
                pacing.RecoveryPacer(
                    pacing.PacingRules(), entries, seed * 1000 + i, 0.0
                ),
                pacing.TokenBucket(CLIENT_RATE_PER_S, CLIENT_RATE_PER_S, 0.0),
                load.serve_reads,
                load.adopt_writes,
                load.serve_reads,
                load.adopt_writes,
            )
            for i in range(count)
        ]
        self.events: list[_Event] = []
        self.order = itertools.count()

    def run(self) -> RecoveryRun:
        """Run until all have recovered."""
        chains = 1 if self.way == "paced" else CLIENT_IN_FLIGHT
        for number in range(len(self.entries)):
            for _ in range(chains):
                self._next(number, pacing.RecoveryWork.URGENT, 0.0)
                self._next(number, pacing.RecoveryWork.DEFERRABLE, 0.0)
        while self.events:
            now_s, _, number, work, tries = heapq.heappop(self.events)
            if now_s > GIVEN_UP_S:
                break
            self._call(now_s, number, work, tries)
        return self._figures()

    def _next(
        self, number: int, work: pacing.RecoveryWork, now_s: float
    ) -> None:
        """Begin one more call of a kind, where one is left."""
        entry = self.entries[number]
        if work is pacing.RecoveryWork.URGENT:
            if not entry.serve_left:
                return
            entry.serve_left -= 1
        else:
            if not entry.adopt_left:
                return
            entry.adopt_left -= 1
        self._push(now_s + self._wait_s(entry, work, now_s), number, work, 0)

    def _wait_s(
        self, entry: _Entry, work: pacing.RecoveryWork, now_s: float
    ) -> float:
        if self.way == "paced":
            return entry.pacer.wait_s(work, now_s)
        if self.way == "client_rate":
            return entry.client.reserve(1.0, now_s)
        return 0.0

    def _push(
        self, at_s: float, number: int, work: pacing.RecoveryWork, tries: int
    ) -> None:
        heapq.heappush(
            self.events, (at_s, next(self.order), number, work, tries)
        )

    def _call(
        self, now_s: float, number: int, work: pacing.RecoveryWork, tries: int
    ) -> None:
        queue = (
            self.reads if work is pacing.RecoveryWork.URGENT else self.writes
        )
        known_s, done = queue.call(now_s)
        if not done:
            bound_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(tries, 9))
            retry_s = known_s + self.drawn.uniform(0.0, bound_s)
            if self.way == "client_rate":
                wait_s = self.entries[number].client.reserve(1.0, known_s)
                retry_s = max(retry_s, known_s + wait_s)
            self._push(retry_s, number, work, tries + 1)
            return
        entry = self.entries[number]
        if work is pacing.RecoveryWork.URGENT:
            entry.serve_waiting -= 1
            if not entry.serve_waiting:
                entry.serving_at_s = known_s
        else:
            entry.adopt_waiting -= 1
            entry.recovered_at_s = known_s
        self._next(number, work, known_s)

    def _figures(self) -> RecoveryRun:
        serving = [
            GIVEN_UP_S if entry.serve_waiting else entry.serving_at_s
            for entry in self.entries
        ]
        recovered = [
            GIVEN_UP_S if entry.adopt_waiting else entry.recovered_at_s
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


def run(way: str, entries: int, load: str, seed: int) -> RecoveryRun:
    """Let entries recover in one way."""
    return _Recovery(way, entries, LOADS[load], seed).run()

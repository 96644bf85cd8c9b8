"""Learns how many slots long streams need, and names the engines for them.

A prefill at an engine that decodes runs between the decode steps and delays
the events of all streams there. Ranks whose requests hold a slot for long have
many events that this can delay, so some decode engines prefill no long
prompts.
"""

import collections.abc
import functools
import math
import typing

import attrs

from ... import telemetry
from . import _parts
from . import _request_counts

LOG = telemetry.logger("long_streams")

#: Hash key that orders the decode engines by rendezvous hashing.
_ORDER_KEY = b"main decoder"
#: Engines whose place in that order is remembered.
ORDER_CACHE_SIZE = 4_096
#: Shortest time between two samples, in seconds.
SAMPLE_INTERVAL_S = 0.05
#: Time over which the time that requests hold a slot is averaged, in seconds.
HOLD_TIME_S = 20.0
#: Time over which the number of slots in use is averaged, in seconds.
LEVEL_TIME_S = 10.0
#: Time over which the rates of requests are averaged, in seconds.
RATE_TIME_S = 1.0
#: Weight of one request in the mean target of long streams.
TARGET_WEIGHT = 0.05
#: Weight of one report in the mean time between reports.
REPORT_WEIGHT = 0.05
#: A rank is long if it holds a slot this many times as long as the briefest
#: one, and stays long above the second multiple.
LONG_FROM_MULTIPLE = 3.0
LONG_WHILE_MULTIPLE = 2.0
#: Share of all requests below which a rank is not the briefest one.
NOTABLE_SHARE = 0.05
#: Standard deviations above the mean number of slots in use.
HEADROOM_DEVIATIONS = 2.0
#: Share of the slots set aside below which the need counts as smaller, and the
#: time for which it must stay so before any are given up, in seconds.
SURPLUS_SHARE = 0.7
SURPLUS_DEBOUNCE_S = 20.0
#: Share of one engine's slots that long streams must need before they count as
#: competing with other requests.
COMPETING_SHARE = 0.5
#: Largest share of all slots that urgent brief requests keep from long
#: streams.
MAX_BRIEF_SHARE = 0.5
#: Name of this gateway among the senders of counts.
OWN_SENDER = ""
#: Largest number of requests of a rank at an engine that a report may give;
#: larger ones are cut to it.
COUNT_LIMIT = 100_000

#: Number of requests by rank, for each engine that decodes.
Counts = collections.abc.Mapping[str, collections.abc.Sequence[int]]


class Engine(typing.Protocol):
    """A decode engine, as far as its place in the order needs it."""

    @property
    def engine_id(self) -> str:
        """Return its name."""

    @property
    def slots(self) -> int:
        """Return the number of requests that it runs concurrently."""


AnyEngine = typing.TypeVar("AnyEngine", bound=Engine)


@attrs.define
class _Level:
    """Exponentially weighted mean, variance and maximum."""

    mean: float = 0.0
    variance: float = 0.0
    #: Greatest value, which decays.
    peak: float = 0.0
    #: Sum of the weights so far; below 1 at first.
    weight: float = 0.0

    def add(self, value: float, after_s: float) -> None:
        """Add a value, ``after_s`` seconds after the last one."""
        decay = math.exp(-after_s / LEVEL_TIME_S)
        self.weight = decay * self.weight + 1.0 - decay
        share = (1.0 - decay) / self.weight
        deviation = value - self.mean
        self.mean += share * deviation
        self.variance = (1.0 - share) * (
            self.variance + share * deviation * deviation
        )
        self.peak = max(value, self.peak * decay)


@attrs.define
class _Rank:
    """Arrivals and use of slots of one rank; old values decay."""

    #: Number of requests that arrived, decaying over ``HOLD_TIME_S``.
    arrivals: float = 0.0
    #: The same over ``RATE_TIME_S``, to follow bursts.
    recent_arrivals: float = 0.0
    #: Slots in use, multiplied by the time, in seconds.
    used_s: float = 0.0
    #: Slots in use.
    level: _Level = attrs.field(factory=_Level)

    def observe(self, used_slots: int, after_s: float) -> None:
        """Add the slots in use, ``after_s`` seconds after the last sample."""
        self.decay(after_s)
        self.used_s += used_slots * after_s
        self.level.add(used_slots, after_s)

    def decay(self, after_s: float) -> None:
        """Reduce the weight of old requests."""
        factor = math.exp(-after_s / HOLD_TIME_S)
        self.arrivals *= factor
        self.recent_arrivals *= math.exp(-after_s / RATE_TIME_S)
        self.used_s *= factor

    @property
    def held_s(self) -> float:
        """Return the mean time that a request holds a slot."""
        return self.used_s / self.arrivals if self.arrivals else 0.0


@attrs.define
class _Sender:
    """The latest counts of one gateway."""

    counts: dict[str, list[int]]
    at_s: float
    #: Whether its counts were dropped for age while it had requests.
    expired: bool = False


class LongStreams:
    """Slots of a service that long streams need.

    All gateways learn it from the same reports of requests by rank. Requests
    that come and go between two reports are not seen, so a rank is expected to
    hold slots for at least the time between reports.

    Example::

        streams.record("gateway-2", counts, now_s)
        streams.observe(now_s)
        streams.protected(decode_engines)
    """

    def __init__(self) -> None:
        #: Ranks that hold slots for long.
        self.ranks: frozenset[int] = frozenset()
        #: Slots set aside for them.
        self.slots_needed = 0.0
        #: Slots of all engines that decode, 0 if it is not known.
        self.slots_total = 0
        #: Mean time between two reports of a gateway, in seconds.
        self.report_s = 0.0
        #: Mean target of long streams that this gateway has placed, in
        #: seconds; 0 while it has placed none.
        self.target_s = 0.0
        self._senders: dict[str, _Sender] = {}
        self._ranks = [_Rank() for _ in range(_request_counts.URGENT_RANKS)]
        self._observed_s = -math.inf
        self._surplus_since_s: float | None = None

    def record(self, sender: str, counts: Counts, now_s: float) -> None:
        """Replace the requests that a gateway has at the decode engines."""
        before = self._senders.get(sender)
        after = {
            engine_id: _by_urgent_rank(requests)
            for engine_id, requests in counts.items()
        }
        if before is not None and not before.expired:
            self._count_arrivals(before.counts, after)
            if sender != OWN_SENDER:
                interval_s = now_s - before.at_s
                self.report_s += REPORT_WEIGHT * (interval_s - self.report_s)
        self._senders[sender] = _Sender(after, now_s)

    def _count_arrivals(
        self, before: dict[str, list[int]], after: dict[str, list[int]]
    ) -> None:
        none = [0] * len(self._ranks)
        for engine_id, counts in after.items():
            earlier = before.get(engine_id, none)
            for rank, old, new in zip(
                self._ranks, earlier, counts, strict=True
            ):
                rank.arrivals += max(new - old, 0)
                rank.recent_arrivals += max(new - old, 0)

    def expire(self, oldest_s: float) -> None:
        """Drop the counts that are older than that time.

        The gateway is remembered for longer: one that sends a request now and
        then does not report in between.
        """
        for sender, report in list(self._senders.items()):
            if report.at_s < oldest_s - HOLD_TIME_S:
                del self._senders[sender]
            elif report.at_s < oldest_s:
                report.expired |= bool(report.counts)
                report.counts = {}

    @property
    def isolated(self) -> bool:
        """Return whether all gateways that had requests have fallen silent.

        A gateway without requests sends no reports, so silence alone is not a
        loss of messages.
        """
        peers = [
            report
            for name, report in self._senders.items()
            if name != OWN_SENDER
        ]
        heard = any(report.counts for report in peers)
        return not heard and any(report.expired for report in peers)

    def observe(self, now_s: float) -> None:
        """Learn from what all gateways have at the engines now."""
        after_s = now_s - self._observed_s
        if after_s < SAMPLE_INTERVAL_S:
            return
        self._observed_s = now_s
        if not math.isfinite(after_s):
            return
        for rank, used in zip(self._ranks, self._used_slots(), strict=True):
            rank.observe(used, after_s)
        self._find_long_ranks()
        self._set_need(self._high_level(), now_s)

    def _used_slots(self) -> list[int]:
        totals = [0] * len(self._ranks)
        for sender in self._senders.values():
            for counts in sender.counts.values():
                for rank, count in enumerate(counts):
                    totals[rank] += count
        return totals

    def _high_level(self) -> float:
        """Return a number of slots that long streams seldom exceed.

        The peak bounds it: a step of the load has a variance that would ask
        for more slots than were ever in use.
        """
        levels = [self._ranks[rank].level for rank in self.ranks]
        mean = sum(level.mean for level in levels)
        variance = sum(level.variance for level in levels)
        peak = sum(level.peak for level in levels)
        return min(mean + HEADROOM_DEVIATIONS * math.sqrt(variance), peak)

    def _find_long_ranks(self) -> None:
        min_arrivals = NOTABLE_SHARE * sum(
            rank.arrivals for rank in self._ranks
        )
        held_s = [
            rank.held_s
            for rank in self._ranks
            if rank.arrivals and rank.arrivals >= min_arrivals
        ]
        briefest_s = min(held_s, default=0.0)
        if not briefest_s:
            return
        found = frozenset(
            number
            for number, rank in enumerate(self._ranks)
            if rank.held_s >= briefest_s * self._long_multiple(number)
        )
        if found != self.ranks:
            LOG.info(
                "Ranks that hold slots for long changed.",
                ranks=sorted(found),
                before=sorted(self.ranks),
                held_s=[round(rank.held_s, 2) for rank in self._ranks],
            )
            self.ranks = found

    def _long_multiple(self, rank: int) -> float:
        return (
            LONG_WHILE_MULTIPLE if rank in self.ranks else LONG_FROM_MULTIPLE
        )

    def _set_need(self, needed: float, now_s: float) -> None:
        """Apply a greater need at once, a smaller one after the debounce."""
        if needed >= self.slots_needed * SURPLUS_SHARE:
            self._surplus_since_s = None
            self.slots_needed = max(self.slots_needed, needed)
            return
        if self._surplus_since_s is None:
            self._surplus_since_s = now_s
        if now_s - self._surplus_since_s >= SURPLUS_DEBOUNCE_S:
            LOG.info(
                "Long streams need fewer slots.",
                slots=round(needed, 1),
                before=round(self.slots_needed, 1),
            )
            self._surplus_since_s = None
            self.slots_needed = needed

    def protected(
        self, decode_engines: collections.abc.Sequence[AnyEngine]
    ) -> list[AnyEngine]:
        """Return the decode engines that prefill no long prompts.

        There is at least one, and another engine remains if there are two.
        Brief requests that are as urgent keep the slots that they use, up to
        half of all.
        """
        ordered = by_rendezvous_score(decode_engines)
        total = sum(engine.slots for engine in ordered)
        kept = min(self._urgent_brief_slots(), total * MAX_BRIEF_SHARE)
        needed = min(self._needed_of(decode_engines), total - kept)
        count = 0
        for engine in ordered:
            count += 1
            needed -= engine.slots
            if needed <= 0.0:
                break
        return ordered[: min(count, max(len(ordered) - 1, 1))]

    def _urgent_brief_slots(self) -> float:
        """Return the slots used by brief requests as urgent as streams."""
        last = max(self.ranks, default=0)
        return sum(
            rank.level.mean
            for number, rank in enumerate(self._ranks[: last + 1])
            if number not in self.ranks
        )

    def _needed_of(
        self, decode_engines: collections.abc.Sequence[AnyEngine]
    ) -> float:
        """Return the need in proportion to the engines' share of all slots."""
        if not self.slots_total:
            return self.slots_needed
        slots = sum(engine.slots for engine in decode_engines)
        return self.slots_needed * min(slots / self.slots_total, 1.0)

    def competing(
        self, decode_engines: collections.abc.Sequence[AnyEngine]
    ) -> bool:
        """Return whether long streams compete with other requests."""
        if not self.ranks or len(decode_engines) < 2:
            return False
        slots = max(engine.slots for engine in decode_engines)
        return self._needed_of(decode_engines) > slots * COMPETING_SHARE

    def record_target(self, rank: int, target_s: float) -> None:
        """Learn the target of a request that this gateway places."""
        if self.is_long(rank) and target_s > 0.0:
            off_s = target_s - (self.target_s or target_s)
            self.target_s = target_s - off_s * (1.0 - TARGET_WEIGHT)

    @property
    def long_held_s(self) -> float:
        """Return the mean time that a long stream holds a slot."""
        return self._held_s(lambda rank: rank in self.ranks)

    @property
    def brief_held_s(self) -> float:
        """Return the mean time that other requests hold a slot."""
        return self._held_s(lambda rank: rank not in self.ranks)

    @property
    def long_per_s(self) -> float:
        """Return the rate of long streams."""
        return self._per_s(lambda rank: rank in self.ranks)

    @property
    def brief_per_s(self) -> float:
        """Return the rate of other requests."""
        return self._per_s(lambda rank: rank not in self.ranks)

    def _held_s(self, counted: collections.abc.Callable[[int], bool]) -> float:
        ranks = [
            rank for number, rank in enumerate(self._ranks) if counted(number)
        ]
        arrivals = sum(rank.arrivals for rank in ranks)
        used_s = sum(rank.used_s for rank in ranks)
        return used_s / arrivals if arrivals else 0.0

    def _per_s(self, counted: collections.abc.Callable[[int], bool]) -> float:
        ranks = [
            rank for number, rank in enumerate(self._ranks) if counted(number)
        ]
        return sum(rank.recent_arrivals for rank in ranks) / RATE_TIME_S

    def is_long(self, rank: int) -> bool:
        """Return whether requests of a rank hold slots for long."""
        return min(rank, _request_counts.URGENT_RANKS - 1) in self.ranks


@functools.lru_cache(maxsize=ORDER_CACHE_SIZE)
def _score(engine_id: str) -> float:
    return _parts.rendezvous_score(_ORDER_KEY, engine_id)


def by_rendezvous_score(
    decode_engines: collections.abc.Iterable[AnyEngine],
) -> list[AnyEngine]:
    """Return engines by rendezvous score, the highest first.

    All gateways have the same order without exchanging messages.
    """
    return sorted(
        decode_engines,
        key=lambda each: _score(each.engine_id),
        reverse=True,
    )


def _by_urgent_rank(requests: collections.abc.Sequence[int]) -> list[int]:
    """Return counts by rank, those of deferred requests included."""
    ranks = _request_counts.URGENT_RANKS
    counts = [0] * ranks
    # A gateway of another release may use more or fewer ranks.
    for number, count in enumerate(requests[: 2 * ranks]):
        counts[number % ranks] += min(max(count, 0), COUNT_LIMIT)
    return counts

"""Divides a concurrency limit between entries by need.

A slot granted to an entry is wasted while that entry leaves it idle. Each
slot is therefore granted where its utilisation is highest by the Erlang loss
formula: an entry that needs many slots uses its last one almost always, one
that needs a tenth of a slot leaves it idle 90% of the time. Entries that
would get no slot share a few over time.
"""

import collections.abc
import heapq
import math

import attrs

#: Tolerance of the limit: concurrency may exceed the limit by this fraction,
#: and this fraction may stay unused although it is needed.
TOLERANCE = 0.05
#: Minimum need assumed for each entry, so that spare slots are spread.
MIN_NEED = 0.1
#: Maximum number of units to divide; more slots are divided in groups.
UNITS_LIMIT = 1_000
#: Smaller differences in utilisation are ignored, in slots.
UTILISATION_EPSILON = 1e-6


@attrs.define
class EntrySlots:
    """The slots of one entry, allocated one by one."""

    #: Mean number of slots that the entry needs.
    need: float
    #: Fraction of requests that find all allocated slots busy.
    blocking: float = 1.0
    #: Allocated slots.
    slots: int = 0

    def next_utilisation(self) -> float:
        """Return the utilisation that one more slot would have."""
        return self.need * (self.blocking - self._next_blocking())

    def allocate(self) -> None:
        """Allocate one more slot."""
        self.blocking = self._next_blocking()
        self.slots += 1

    def _next_blocking(self) -> float:
        offered = self.need * self.blocking
        return offered / (self.slots + 1 + offered)


@attrs.frozen
class AllocatedSlot:
    """A slot allocated to an entry."""

    #: The entry that receives the slot.
    entry: str
    #: Expected fraction of time in which the slot is busy there.
    use: float


@attrs.define
class SlotTimeSharing:
    """Assigns time slices of shared slots to entries."""

    #: Start of the current time slice, by entry.
    started_at_s: dict[str, float] = attrs.field(factory=dict)
    #: End of the last time slice, by entry without a current one.
    ended_at_s: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self,
        waiting: collections.abc.Collection[str],
        count: int,
        now_s: float,
        time_slice_s: float,
    ) -> tuple[str, ...]:
        """Return the entries that have a slot now.

        Free slots go to the entries that have waited longest.
        """
        for entry, started_at_s in list(self.started_at_s.items()):
            if entry not in waiting or now_s - started_at_s >= time_slice_s:
                del self.started_at_s[entry]
                self.ended_at_s[entry] = now_s
        self.ended_at_s = {
            entry: ended_at_s
            for entry, ended_at_s in self.ended_at_s.items()
            if entry in waiting
        }
        queue = sorted(
            (entry for entry in waiting if entry not in self.started_at_s),
            key=lambda entry: (self.ended_at_s.get(entry, -math.inf), entry),
        )
        for entry in queue[: max(0, count - len(self.started_at_s))]:
            self.started_at_s[entry] = now_s
        return tuple(self.started_at_s)[:count]


def max_concurrency(concurrency: float) -> int:
    """Return the maximum number of concurrent requests, with tolerance.

    Example::

        max_concurrency(20.0) == 21
        max_concurrency(19.0) == 19
    """
    return int(concurrency) + int(TOLERANCE * concurrency)


def slot_shares(
    needs: collections.abc.Mapping[str, float],
    slots: int,
    limit: int,
    time_sharing: SlotTimeSharing,
    now_s: float,
    time_slice_s: float,
) -> dict[str, int]:
    """Return whole slots for each entry; they sum to at most ``slots``.

    ``limit`` is the concurrency limit without tolerance.
    """
    if not needs or slots <= 0:
        return dict.fromkeys(needs, 0)
    group = math.ceil(slots / UNITS_LIMIT)
    units = slots // group
    allocated = _allocate(
        {entry: need / group for entry, need in needs.items()}, units
    )
    count = _shared_slot_count(
        needs, _unserved(needs, allocated), allocated, limit / group
    )
    allocated = allocated[: units - count]
    shares = dict.fromkeys(needs, 0)
    for slot in allocated:
        shares[slot.entry] += group
    # Entries that lost their only slot to time sharing wait for one too.
    waiting = _unserved(needs, allocated)
    for entry in time_sharing.choose(waiting, count, now_s, time_slice_s):
        shares[entry] += group
    return shares


def _allocate(
    needs: collections.abc.Mapping[str, float], slots: int
) -> list[AllocatedSlot]:
    """Allocate slots by descending utilisation."""
    entries = {
        entry: EntrySlots(max(need, MIN_NEED)) for entry, need in needs.items()
    }
    heap = [
        (-granted.next_utilisation(), entry)
        for entry, granted in entries.items()
    ]
    heapq.heapify(heap)
    allocated = []
    for _ in range(slots):
        use, entry = heap[0]
        allocated.append(AllocatedSlot(entry, -use))
        entries[entry].allocate()
        heapq.heapreplace(heap, (-entries[entry].next_utilisation(), entry))
    return allocated


def _unserved(
    needs: collections.abc.Mapping[str, float], allocated: list[AllocatedSlot]
) -> list[str]:
    """Return the entries that need slots but were allocated none."""
    served = {slot.entry for slot in allocated}
    return [
        entry
        for entry, need in needs.items()
        if need > 0.0 and entry not in served
    ]


def _shared_slot_count(
    needs: collections.abc.Mapping[str, float],
    waiting: collections.abc.Collection[str],
    allocated: list[AllocatedSlot],
    limit: float,
) -> int:
    """Return how many slots entries share over time.

    It is at least one if entries wait, and more as long as utilisation stays
    within the tolerance or does not decrease.
    """
    if not waiting:
        return 0
    total = sum(needs.values())
    shared_use = sum(needs[e] / (1.0 + needs[e]) for e in waiting) / len(
        waiting
    )
    used = sum(slot.use for slot in allocated)
    min_used = _min_used(used, total, limit)
    count = 0
    while count < min(len(waiting), len(allocated)):
        used += shared_use - allocated[-1 - count].use
        if count and used < min_used - UTILISATION_EPSILON:
            break
        count += 1
    return count


def _min_used(used: float, need: float, limit: float) -> float:
    """Return the minimum number of busy slots; ``used`` is achievable."""
    if need < limit:
        return (1.0 - TOLERANCE) * used
    return min(used, (1.0 - TOLERANCE) * limit)

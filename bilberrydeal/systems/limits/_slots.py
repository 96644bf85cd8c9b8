"""How a home divides requests at once by need.

A slot that an entry seldom fills serves nobody meanwhile. So each slot goes
where it is filled for the greatest part of the time, by Erlang's loss
formula: an entry that needs many fills its last one almost always, one that
needs a tenth of a slot leaves it empty nine times in ten. Entries that would
get none hold a few by turns.
"""

import collections.abc
import heapq
import math

import attrs

#: The stated error: so much of a limit more may run at once, and so much of
#: it may stay unused where more is needed.
ERROR_PART = 0.05
#: An entry counts as needing so many slots at least, so that what is left
#: over is spread.
LEAST_NEED = 0.1
#: Most units that are divided; more slots go in groups.
UNITS_LIMIT = 1_000
#: Differences in use under this count as none, in slots.
EQUAL_USE = 1e-6


@attrs.define
class Ladder:
    """The slots of one entry, taken one by one."""

    #: Slots that the entry needs, on average.
    need: float
    #: Part of the requests that find the slots so far taken.
    blocked: float = 1.0
    #: Slots so far.
    slots: int = 0

    def next_use(self) -> float:
        """Return for which part of the time a next slot would be used."""
        return self.need * (self.blocked - self._next_blocked())

    def take(self) -> None:
        """Take the next slot."""
        self.blocked = self._next_blocked()
        self.slots += 1

    def _next_blocked(self) -> float:
        offered = self.need * self.blocked
        return offered / (self.slots + 1 + offered)


@attrs.frozen
class Placed:
    """One slot of a division."""

    #: The entry that gets it.
    entry: str
    #: For which part of the time it is used there.
    use: float


@attrs.define
class Turns:
    """Which entries hold a slot by turns."""

    #: When the turns that last began.
    began_s: dict[str, float] = attrs.field(factory=dict)
    #: When the last turn of other entries ended.
    ended_s: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self,
        waiting: collections.abc.Collection[str],
        count: int,
        now_s: float,
        turn_s: float,
    ) -> tuple[str, ...]:
        """Return whose turn it is; those come first that waited longest."""
        for entry, began_s in list(self.began_s.items()):
            if entry not in waiting or now_s - began_s >= turn_s:
                del self.began_s[entry]
                self.ended_s[entry] = now_s
        self.ended_s = {
            entry: ended_s
            for entry, ended_s in self.ended_s.items()
            if entry in waiting
        }
        queue = sorted(
            (entry for entry in waiting if entry not in self.began_s),
            key=lambda entry: (self.ended_s.get(entry, -math.inf), entry),
        )
        for entry in queue[: max(0, count - len(self.began_s))]:
            self.began_s[entry] = now_s
        return tuple(self.began_s)[:count]


def allowed(concurrency: float) -> int:
    """Return how many may run at once, the stated error among them.

    Example::

        allowed(20.0) == 21
        allowed(19.0) == 19
    """
    return int(concurrency) + int(ERROR_PART * concurrency)


def slot_shares(
    needs: collections.abc.Mapping[str, float],
    slots: int,
    limit: int,
    turns: Turns,
    now_s: float,
    turn_s: float,
) -> dict[str, int]:
    """Return whole slots for each entry; they sum to ``slots`` at most.

    ``limit`` is what of the slots should be used, without the stated error.
    """
    if not needs or slots <= 0:
        return dict.fromkeys(needs, 0)
    group = math.ceil(slots / UNITS_LIMIT)
    units = slots // group
    placed = _placed(
        {entry: need / group for entry, need in needs.items()}, units
    )
    count = _turn_count(needs, _waiting(needs, placed), placed, limit / group)
    placed = placed[: units - count]
    shares = dict.fromkeys(needs, 0)
    for one in placed:
        shares[one.entry] += group
    # Those whose slot was taken for the turns wait for one as well.
    waiting = _waiting(needs, placed)
    for entry in turns.choose(waiting, count, now_s, turn_s):
        shares[entry] += group
    return shares


def _placed(
    needs: collections.abc.Mapping[str, float], slots: int
) -> list[Placed]:
    """Return each slot where it is used most, the most used first."""
    ladders = {
        entry: Ladder(max(need, LEAST_NEED)) for entry, need in needs.items()
    }
    heap = [(-one.next_use(), entry) for entry, one in ladders.items()]
    heapq.heapify(heap)
    placed = []
    for _ in range(slots):
        use, entry = heap[0]
        placed.append(Placed(entry, -use))
        ladders[entry].take()
        heapq.heapreplace(heap, (-ladders[entry].next_use(), entry))
    return placed


def _waiting(
    needs: collections.abc.Mapping[str, float], placed: list[Placed]
) -> list[str]:
    """Return the entries that need slots and would get none."""
    served = {one.entry for one in placed}
    return [
        entry
        for entry, need in needs.items()
        if need > 0.0 and entry not in served
    ]


def _turn_count(
    needs: collections.abc.Mapping[str, float],
    waiting: collections.abc.Collection[str],
    placed: list[Placed],
    limit: float,
) -> int:
    """Return how many slots are held by turns.

    That is one, and more as far as the stated error leaves room or nothing
    is lost by it.
    """
    if not waiting:
        return 0
    total = sum(needs.values())
    each = sum(needs[e] / (1.0 + needs[e]) for e in waiting) / len(waiting)
    used = sum(one.use for one in placed)
    least = _least_used(used, total, limit)
    count = 0
    while count < min(len(waiting), len(placed)):
        used += each - placed[-1 - count].use
        if count and used < least - EQUAL_USE:
            break
        count += 1
    return count


def _least_used(used: float, need: float, limit: float) -> float:
    """Return how many slots should be used; ``used`` can be at most."""
    if need < limit:
        return (1.0 - ERROR_PART) * used
    return min(used, (1.0 - ERROR_PART) * limit)

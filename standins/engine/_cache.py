"""A prefix cache in limited memory and its late, gappy events."""

import collections
import collections.abc

from bilberrydeal import ports

#: Of so many events, in a row, one stretch is lost.
GAP_PERIOD = 500
#: Length of the lost stretch.
GAP_LENGTH = 20
#: Events kept for readers.
EVENTS_KEPT = 4000


class PrefixCache:
    """Blocks by hash; the least recently used one goes first."""

    def __init__(self, blocks: int, event_delay_s: float) -> None:
        self._limit = blocks
        self._event_delay_s = event_delay_s
        self._blocks: collections.OrderedDict[int, None]
        self._blocks = collections.OrderedDict()
        self._events: collections.deque[tuple[float, int, ports.CacheEvent]]
        self._events = collections.deque(maxlen=EVENTS_KEPT)
        self._next = 1

    def held(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks are held, and use them."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: tuple[int, ...], now_s: float) -> None:
        """Keep blocks, dropping others where memory ends."""
        for block in hashes[: self._limit]:
            if block not in self._blocks:
                self._blocks[block] = None
                self._note("stored", block, now_s)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self._note("evicted", block, now_s)

    def clear(self, now_s: float) -> None:
        """Drop all blocks."""
        for block in self._blocks:
            self._note("evicted", block, now_s)
        self._blocks.clear()

    def used_share(self) -> float:
        """Return the share of the memory in use."""
        return len(self._blocks) / self._limit

    def events(self, after: int, now_s: float) -> ports.CacheEvents:
        """Return the run of events past ``after``, up to the next gap."""
        first = 0
        found: list[ports.CacheEvent] = []
        for seen_s, number, event in self._events:
            if seen_s + self._event_delay_s > now_s:
                break
            if number <= after:
                continue
            if found and number != first + len(found):
                break
            first = first or number
            found.append(event)
        first = first or after + 1
        return ports.CacheEvents(first, first + len(found), tuple(found))

    def _note(self, kind: str, block: int, now_s: float) -> None:
        number = self._next
        self._next += 1
        if number % GAP_PERIOD >= GAP_LENGTH:
            self._events.append((now_s, number, ports.CacheEvent(kind, block)))

"""Prefix cache with LRU eviction and delayed, incomplete events."""

import collections
import collections.abc

from bilberrydeal import ports

#: Number of events after which events are lost again.
GAP_PERIOD = 500
#: Number of consecutive events lost in each period.
GAP_LENGTH = 20
#: Number of events retained for readers.
RETAINED_EVENTS = 4000


class PrefixCache:
    """Cached blocks by hash; evicts the least recently used block first."""

    def __init__(self, blocks: int, event_delay_s: float) -> None:
        self._capacity_blocks = blocks
        self._event_delay_s = event_delay_s
        self._blocks: collections.OrderedDict[int, None]
        self._blocks = collections.OrderedDict()
        self._events: collections.deque[tuple[float, int, ports.CacheEvent]]
        self._events = collections.deque(maxlen=RETAINED_EVENTS)
        self._next_number = 1

    def match_prefix(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks in the cache; mark them used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: tuple[int, ...], now_s: float) -> None:
        """Store blocks, evicting others beyond the capacity."""
        for block in hashes[: self._capacity_blocks]:
            if block not in self._blocks:
                self._blocks[block] = None
                self._record("stored", block, now_s)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record("evicted", block, now_s)

    def clear(self, now_s: float) -> None:
        """Evict all blocks."""
        for block in self._blocks:
            self._record("evicted", block, now_s)
        self._blocks.clear()

    def used_share(self) -> float:
        """Return the used share of the capacity."""
        return len(self._blocks) / self._capacity_blocks

    def events(self, after: int, now_s: float) -> ports.CacheEvents:
        """Return the events that follow ``after``, up to the next gap."""
        first = 0
        contiguous: list[ports.CacheEvent] = []
        for recorded_s, number, event in self._events:
            if recorded_s + self._event_delay_s > now_s:
                break
            if number <= after:
                continue
            if contiguous and number != first + len(contiguous):
                break
            first = first or number
            contiguous.append(event)
        first = first or after + 1
        return ports.CacheEvents(
            first, first + len(contiguous), tuple(contiguous)
        )

    def _record(self, kind: str, block: int, now_s: float) -> None:
        number = self._next_number
        self._next_number += 1
        if number % GAP_PERIOD >= GAP_LENGTH:
            self._events.append((now_s, number, ports.CacheEvent(kind, block)))

"""Follows the engine's load and prefix cache."""

import asyncio
import collections
import collections.abc

from .. import link
from .. import ports

#: Time between two polls.
POLL_S = 0.5
#: Longest wait for an answer.
TIMEOUT_S = 2.0
#: Cache events that are kept for entries.
KEPT_EVENTS = 4096
#: Cache events in one message.
MESSAGE_EVENTS = 32

NO_LOAD = ports.LoadReport(
    age_s=0.0,
    running=0,
    waiting=0,
    queued_prompt_tokens=0,
    kv_used_share=0.0,
)


class EngineFeed:
    """Polls one engine and hands cache events on to entries.

    Each entry has its place in the events kept; one with a new link begins
    again at the oldest. Events that the engine dropped are lost: entries
    treat the cache as a hint.
    """

    def __init__(
        self,
        engine: ports.Engine,
        failed: collections.abc.Callable[[], None],
    ) -> None:
        self._engine = engine
        self._failed = failed
        self._last = 0
        self._events: collections.deque[ports.CacheEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self._count = 0
        self._places: dict[str, int] = {}
        #: Gaps seen in the engine's events.
        self.gaps = 0
        #: The last load report.
        self.load = NO_LOAD

    async def run(self) -> None:
        """Poll; never ends."""
        while True:
            try:
                self.load = await self._engine.load(TIMEOUT_S)
                self._take(
                    await self._engine.cache_events(self._last, TIMEOUT_S)
                )
            except ports.EngineFailure:
                self._begin_again()
                self._failed()
            await asyncio.sleep(POLL_S)

    def restart(self, entry: str) -> None:
        """Send the events kept to an entry again."""
        self._places[entry] = 0

    def drop(self, entry: str) -> None:
        """Forget an entry."""
        self._places.pop(entry, None)

    def changes(self, entry: str) -> link.CacheChanges | None:
        """Return the next events for an entry, if there are any."""
        oldest = self._count - len(self._events)
        first = max(self._places.get(entry, 0), oldest)
        last = min(first + MESSAGE_EVENTS, self._count)
        self._places[entry] = last
        if first == last:
            return None
        held: dict[int, bool] = {}
        for position in range(first - oldest, last - oldest):
            event = self._events[position]
            held[event.block] = event.kind == "stored"
        return link.CacheChanges(
            stored=tuple(block for block, stored in held.items() if stored),
            evicted=tuple(
                block for block, stored in held.items() if not stored
            ),
        )

    def _take(self, batch: ports.CacheEvents) -> None:
        if not batch.events:
            return
        if self._last and batch.first > self._last + 1:
            self.gaps += 1
        self._last = batch.next - 1
        for event in batch.events:
            self._add(event)

    def _begin_again(self) -> None:
        """Read all events anew: the engine may start with an empty cache."""
        if not self._last:
            return
        self._last = 0
        for block in {event.block for event in self._events}:
            self._add(ports.CacheEvent(kind="evicted", block=block))

    def _add(self, event: ports.CacheEvent) -> None:
        self._events.append(event)
        self._count += 1

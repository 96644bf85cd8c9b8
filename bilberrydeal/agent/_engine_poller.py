"""Polls the engine's load and prefix cache events."""

import asyncio
import collections
import collections.abc

from .. import link
from .. import ports

#: Pause between two polls.
POLL_INTERVAL_S = 0.5
#: Timeout of one call to the engine.
TIMEOUT_S = 2.0
#: Cache events buffered for entries; older ones are dropped.
MAX_BUFFERED_EVENTS = 4096
#: Most cache events in one message.
MAX_MESSAGE_EVENTS = 32

NO_LOAD = ports.LoadReport(
    age_s=0.0,
    running=0,
    waiting=0,
    queued_prompt_tokens=0,
    kv_used_share=0.0,
)


class EnginePoller:
    """Polls one engine and buffers its cache events for entries.

    Each entry has a read position in the buffer; a new link resets it to the
    oldest event. Events that the engine has dropped are lost, which is
    acceptable because entries use cache contents only as a hint.
    ``on_failure`` is called when a call to the engine fails.
    """

    def __init__(
        self,
        engine: ports.Engine,
        on_failure: collections.abc.Callable[[], None],
    ) -> None:
        self._engine = engine
        self._on_failure = on_failure
        self._last_number = 0
        self._events: collections.deque[ports.CacheEvent] = collections.deque(
            maxlen=MAX_BUFFERED_EVENTS
        )
        self._count = 0
        self._positions: dict[str, int] = {}
        #: Gaps detected in the engine's event numbers.
        self.gaps = 0
        #: The last load report.
        self.load = NO_LOAD

    async def run(self) -> None:
        """Poll the engine; never returns."""
        while True:
            try:
                self.load = await self._engine.load(TIMEOUT_S)
                self._add_batch(
                    await self._engine.cache_events(
                        self._last_number, TIMEOUT_S
                    )
                )
            except ports.EngineFailure:
                self._reset()
                self._on_failure()
            await asyncio.sleep(POLL_INTERVAL_S)

    def replay(self, entry: str) -> None:
        """Restart an entry at the oldest buffered event."""
        self._positions[entry] = 0

    def forget_entry(self, entry: str) -> None:
        """Remove the read position of an entry."""
        self._positions.pop(entry, None)

    def changes(self, entry: str) -> link.CacheChanges | None:
        """Return the next unsent changes for an entry, if any."""
        oldest = self._count - len(self._events)
        first = max(self._positions.get(entry, 0), oldest)
        last = min(first + MAX_MESSAGE_EVENTS, self._count)
        self._positions[entry] = last
        if first == last:
            return None
        stored_by_block: dict[int, bool] = {}
        for position in range(first - oldest, last - oldest):
            event = self._events[position]
            stored_by_block[event.block] = event.kind == "stored"
        return link.CacheChanges(
            stored=tuple(
                block for block, stored in stored_by_block.items() if stored
            ),
            evicted=tuple(
                block
                for block, stored in stored_by_block.items()
                if not stored
            ),
        )

    def _add_batch(self, batch: ports.CacheEvents) -> None:
        if not batch.events:
            return
        if self._last_number and batch.first > self._last_number + 1:
            self.gaps += 1
        self._last_number = batch.next - 1
        for event in batch.events:
            self._add(event)

    def _reset(self) -> None:
        """Evict all blocks and reread events: the cache may be empty now."""
        if not self._last_number:
            return
        self._last_number = 0
        for block in {event.block for event in self._events}:
            self._add(ports.CacheEvent(kind="evicted", block=block))

    def _add(self, event: ports.CacheEvent) -> None:
        self._events.append(event)
        self._count += 1

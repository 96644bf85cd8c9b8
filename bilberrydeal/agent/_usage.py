"""Usage of requests, kept until an entry has settled it."""

import collections
import collections.abc
import itertools

import attrs

from .. import link
from . import _meter

#: Records in one message.
MESSAGE_RECORDS = 200
#: Records sent again at once.
REMINDED_RECORDS = 2_000
#: Records that wait for settlement; past it no new work is taken.
PENDING_LIMIT = 20_000

Send = collections.abc.Callable[[str, link.UsageRecords], None]


@attrs.define
class _Pending:
    record: link.UsageRecord
    #: The entry that is to settle it.
    entry: str


class UsageBook:
    """Counts each request where it ran.

    A record goes to the entry of its request. When that entry is gone
    another one gets it, perhaps after the first one settled it: entries
    settle a record once, by the agent's incarnation and its position.
    """

    def __init__(self, agent: str, send: Send) -> None:
        self._agent = agent
        self._send = send
        self._last = 0
        self._pending: dict[int, _Pending] = {}
        self._unsent: collections.deque[int] = collections.deque()
        self._connected: list[str] = []

    def __len__(self) -> int:
        """Return how many records wait for settlement."""
        return len(self._pending)

    @property
    def full(self) -> bool:
        """Whether no more work should be taken before some is settled."""
        return len(self._pending) >= PENDING_LIMIT

    def add(
        self, submit: link.Submit, meter: _meter.Meter, counted_at_s: float
    ) -> None:
        """Keep what a request used; ``counted_at_s`` is of the epoch."""
        self._last += 1
        record = link.UsageRecord(
            record=self._last,
            number=submit.number,
            organisation=submit.organisation,
            counted_at_s=counted_at_s,
            prompt_tokens=meter.prompt_tokens,
            cached_tokens=meter.cached_tokens,
            output_tokens=meter.output_tokens,
            calls=meter.calls,
        )
        self._pending[self._last] = _Pending(record, submit.number.entry)
        self._unsent.append(self._last)

    def flush(self) -> None:
        """Send the records that were not sent yet."""
        unsent = list(self._unsent)
        self._unsent.clear()
        self._send_to_entries(unsent)

    def remind(self) -> None:
        """Send the oldest records again: an entry may have dropped them."""
        self._send_to_entries(
            list(itertools.islice(self._pending, REMINDED_RECORDS))
        )

    def joined(self, entry: str) -> None:
        """Send to an entry with a new link all that it has to settle."""
        if entry not in self._connected:
            self._connected.append(entry)
        for pending in self._pending.values():
            # Others settle nothing for an entry that has come back.
            if pending.record.number.entry == entry:
                pending.entry = entry
        self._send_to_entries(
            [
                number
                for number, pending in self._pending.items()
                if pending.entry == entry or not pending.entry
            ]
        )

    def gone(self, entry: str) -> None:
        """Hand the records of an entry that is gone to another one."""
        if entry in self._connected:
            self._connected.remove(entry)
        orphans = [
            number
            for number, pending in self._pending.items()
            if pending.entry == entry
        ]
        for number in orphans:
            self._pending[number].entry = ""
        self._send_to_entries(orphans)

    def settled(self, records: collections.abc.Iterable[int]) -> None:
        """Forget records that are in the table."""
        for record in records:
            self._pending.pop(record, None)

    @property
    def _acked(self) -> int:
        """The last record that was settled with all before it."""
        return next(iter(self._pending), self._last + 1) - 1

    def _send_to_entries(self, numbers: list[int]) -> None:
        """Send records to their entries, orphans to any entry."""
        parcels: dict[str, list[link.UsageRecord]] = {}
        for number in numbers:
            pending = self._pending.get(number)
            if pending is None:
                continue
            if not pending.entry and self._connected:
                pending.entry = self._connected[0]
            if pending.entry:
                parcels.setdefault(pending.entry, []).append(pending.record)
        for entry, records in parcels.items():
            for first in range(0, len(records), MESSAGE_RECORDS):
                part = tuple(records[first : first + MESSAGE_RECORDS])
                self._send(
                    entry,
                    link.UsageRecords(
                        agent=self._agent, records=part, acked=self._acked
                    ),
                )

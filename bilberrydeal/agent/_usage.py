"""Buffers usage records until an entry has settled them."""

import collections
import collections.abc
import itertools

import attrs

from .. import link
from . import _meter

#: Most records in one message.
MAX_MESSAGE_RECORDS = 200
#: Most records sent again at a time.
MAX_RESENT_RECORDS = 2_000
#: Unsettled records at which new requests are refused.
MAX_PENDING_RECORDS = 20_000

Send = collections.abc.Callable[[str, link.UsageRecords], None]


@attrs.define
class _Pending:
    record: link.UsageRecord
    #: Entry responsible for settling it; empty if none is assigned.
    entry: str


class UsageBuffer:
    """Sends usage records to entries and keeps them until settled.

    A record goes to the entry of its request. If that entry is gone, another
    one receives it, possibly after the first has settled it. Entries settle a
    record only once, identified by the agent's incarnation and its number.
    """

    def __init__(self, agent: str, send: Send) -> None:
        self._agent = agent
        self._send = send
        self._last_number = 0
        self._pending: dict[int, _Pending] = {}
        self._unsent: collections.deque[int] = collections.deque()
        self._connected: list[str] = []

    def __len__(self) -> int:
        """Return the number of unsettled records."""
        return len(self._pending)

    @property
    def full(self) -> bool:
        """Whether new requests must wait until records are settled."""
        return len(self._pending) >= MAX_PENDING_RECORDS

    def add(
        self, submit: link.Submit, meter: _meter.Meter, counted_at_s: float
    ) -> None:
        """Add the usage of a request; ``counted_at_s`` is epoch time."""
        self._last_number += 1
        record = link.UsageRecord(
            record=self._last_number,
            number=submit.number,
            organisation=submit.organisation,
            counted_at_s=counted_at_s,
            prompt_tokens=meter.prompt_tokens,
            cached_tokens=meter.cached_tokens,
            output_tokens=meter.output_tokens,
            calls=meter.calls,
        )
        self._pending[self._last_number] = _Pending(
            record, submit.number.entry
        )
        self._unsent.append(self._last_number)

    def flush(self) -> None:
        """Send the records that have not been sent yet."""
        unsent = list(self._unsent)
        self._unsent.clear()
        self._send_to_entries(unsent)

    def resend(self) -> None:
        """Send the oldest records again: an entry may have dropped them."""
        self._send_to_entries(
            list(itertools.islice(self._pending, MAX_RESENT_RECORDS))
        )

    def entry_connected(self, entry: str) -> None:
        """Send all records that an entry with a new link has to settle."""
        if entry not in self._connected:
            self._connected.append(entry)
        for pending in self._pending.values():
            # Other entries settle nothing for an entry that has reconnected.
            if pending.record.number.entry == entry:
                pending.entry = entry
        self._send_to_entries(
            [
                number
                for number, pending in self._pending.items()
                if pending.entry == entry or not pending.entry
            ]
        )

    def entry_expired(self, entry: str) -> None:
        """Reassign the records of an entry that is gone."""
        if entry in self._connected:
            self._connected.remove(entry)
        unassigned = [
            number
            for number, pending in self._pending.items()
            if pending.entry == entry
        ]
        for number in unassigned:
            self._pending[number].entry = ""
        self._send_to_entries(unassigned)

    def settled(self, records: collections.abc.Iterable[int]) -> None:
        """Drop records that are stored in the table."""
        for record in records:
            self._pending.pop(record, None)

    @property
    def _settled_up_to(self) -> int:
        """Number of the last record settled along with all before it."""
        return next(iter(self._pending), self._last_number + 1) - 1

    def _send_to_entries(self, numbers: list[int]) -> None:
        """Send records to their entries, unassigned ones to any entry."""
        batches: dict[str, list[link.UsageRecord]] = {}
        for number in numbers:
            pending = self._pending.get(number)
            if pending is None:
                continue
            if not pending.entry and self._connected:
                pending.entry = self._connected[0]
            if pending.entry:
                batches.setdefault(pending.entry, []).append(pending.record)
        for entry, records in batches.items():
            for first in range(0, len(records), MAX_MESSAGE_RECORDS):
                part = tuple(records[first : first + MAX_MESSAGE_RECORDS])
                self._send(
                    entry,
                    link.UsageRecords(
                        agent=self._agent,
                        records=part,
                        acked=self._settled_up_to,
                    ),
                )

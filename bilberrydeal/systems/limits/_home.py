"""Divides an organisation's limits between entries, at its home entry."""

import math

import attrs

from .. import _entities
from . import _intervals
from . import _messages
from . import _rate_shares
from . import _slots

#: Even shares suffice while no entry needs more than this fraction of one.
EVEN_SHARE_FRACTION = 0.4


@attrs.define
class ReportedNeed:
    """The last report of one entry and the slots granted to it."""

    #: The need reported last.
    need: _messages.OrganisationNeed
    #: Sequence number of that report.
    sequence: int
    #: Time at which the report was received.
    received_at_s: float
    #: Slots granted last.
    granted_slots: int = 0
    #: Whether the report has not been answered by a grant yet.
    unanswered: bool = True


@attrs.define
class LimitDivision:
    """Divides one organisation's limits by the needs of all entries."""

    #: Reported needs by entry.
    entries: dict[str, ReportedNeed] = attrs.field(factory=dict)
    #: When reports were last requested from entries that had sent none.
    reports_requested_at_s: float = -math.inf
    #: Assigns slots that entries share over time.
    time_sharing: _slots.SlotTimeSharing = attrs.field(
        factory=_slots.SlotTimeSharing
    )

    def report(
        self,
        entry: str,
        sequence: int,
        need: _messages.OrganisationNeed,
        now_s: float,
    ) -> None:
        """Store a report unless a newer one has arrived."""
        reported = self.entries.get(entry)
        if reported is None:
            self.entries[entry] = ReportedNeed(need, sequence, now_s)
        elif sequence > reported.sequence:
            reported.need = need
            reported.sequence = sequence
            reported.received_at_s = now_s
            reported.unanswered = True

    def even_shares_suffice(
        self, organisation: _entities.OrganisationView, live: tuple[str, ...]
    ) -> bool:
        """Return whether even shares cover the needs of all entries."""
        fraction = EVEN_SHARE_FRACTION / len(live)
        return all(
            reported.need.requests_per_s
            <= fraction * organisation.requests_per_s
            and reported.need.tokens_per_s
            <= fraction * organisation.tokens_per_s
            and reported.need.concurrency
            <= fraction * organisation.concurrency
            for reported in self.entries.values()
        )

    def grants(
        self,
        organisation: _entities.OrganisationView,
        live: tuple[str, ...],
        now_s: float,
    ) -> dict[str, _messages.OrganisationShare]:
        """Return the share of each entry whose report is unanswered.

        A live entry without a recent report may be partitioned and then uses
        an even share, so an even share is reserved for it.
        """
        self._remove_expired(live, now_s)
        due = [
            n for n, reported in self.entries.items() if reported.unanswered
        ]
        if not due:
            return {}
        reported_fraction = len(self.entries) / len(live)
        needs = {n: reported.need for n, reported in self.entries.items()}
        requests = _rate_shares.rate_shares(
            {n: need.requests_per_s for n, need in needs.items()},
            organisation.requests_per_s * reported_fraction,
        )
        tokens = _rate_shares.rate_shares(
            {n: need.tokens_per_s for n, need in needs.items()},
            organisation.tokens_per_s * reported_fraction,
        )
        slots = self._grant_slots(
            organisation.concurrency, len(live), due, now_s
        )
        return {
            entry: _messages.OrganisationShare(
                organisation.organisation,
                reported_fraction * requests[entry],
                reported_fraction * tokens[entry],
                slots[entry],
            )
            for entry in due
        }

    def missing_reports(
        self, live: tuple[str, ...], now_s: float
    ) -> tuple[str, ...]:
        """Return live entries from which to request a report now."""
        if now_s - self.reports_requested_at_s < _intervals.refresh_interval_s(
            len(live)
        ):
            return ()
        self.reports_requested_at_s = now_s
        return tuple(entry for entry in live if entry not in self.entries)

    def _remove_expired(self, live: tuple[str, ...], now_s: float) -> None:
        live_entries = frozenset(live)
        oldest_s = now_s - _intervals.grant_ttl_s(len(live))
        self.entries = {
            entry: reported
            for entry, reported in self.entries.items()
            if entry in live_entries and reported.received_at_s >= oldest_s
        }

    def _grant_slots(
        self, concurrency: float, live: int, due: list[str], now_s: float
    ) -> dict[str, int]:
        """Grant slots, except those still committed to other entries."""
        for entry in due:
            self.entries[entry].unanswered = False
        if math.isinf(concurrency):
            return dict.fromkeys(due, 0)
        missing = live - len(self.entries)
        reserved = missing * (int(concurrency) // live)
        available = _slots.max_concurrency(concurrency) - reserved
        targets = _slots.slot_shares(
            {
                n: reported.need.concurrency
                for n, reported in self.entries.items()
            },
            available,
            int(concurrency) - reserved,
            self.time_sharing,
            now_s,
            _intervals.time_slice_s(live),
        )
        committed = sum(
            self._committed_slots(reported)
            for reported in self.entries.values()
        )
        for entry in due:
            reported = self.entries[entry]
            committed -= self._committed_slots(reported)
            reported.granted_slots = max(
                0, min(targets[entry], available - committed)
            )
            committed += self._committed_slots(reported)
        return {entry: self.entries[entry].granted_slots for entry in due}

    @staticmethod
    def _committed_slots(reported: ReportedNeed) -> int:
        return max(reported.need.slots_held, reported.granted_slots)

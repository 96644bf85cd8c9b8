"""The home of an organisation: divides its limits over the entries."""

import math

import attrs

from .. import _entities
from . import _division
from . import _messages
from . import _pace
from . import _slots

#: An organisation is quiet while no entry needs more than this part of an
#: even share.
QUIET_PART = 0.4


@attrs.define
class EntryNeed:
    """What one entry reported, and what it was granted."""

    #: The need, as reported last.
    need: _messages.OrganisationNeed
    #: Sequence of that report.
    sequence: int
    #: When it came.
    at_s: float
    #: Slots granted last.
    slots: int = 0
    #: Whether the report still waits for its answer.
    unanswered: bool = True


@attrs.define
class Division:
    """The needs of one organisation at all entries."""

    #: By entry.
    entries: dict[str, EntryNeed] = attrs.field(factory=dict)
    #: When entries that have not reported were last asked to.
    asked_at_s: float = -math.inf
    #: Who holds a slot by turns.
    turns: _slots.Turns = attrs.field(factory=_slots.Turns)

    def report(
        self,
        entry: str,
        sequence: int,
        need: _messages.OrganisationNeed,
        now_s: float,
    ) -> None:
        """Take a report; one that was overtaken is dropped."""
        known = self.entries.get(entry)
        if known is None:
            self.entries[entry] = EntryNeed(need, sequence, now_s)
        elif sequence > known.sequence:
            known.need = need
            known.sequence = sequence
            known.at_s = now_s
            known.unanswered = True

    def quiet(
        self, organisation: _entities.OrganisationView, live: tuple[str, ...]
    ) -> bool:
        """Return whether even shares are enough everywhere."""
        part = QUIET_PART / len(live)
        return all(
            known.need.requests_per_s <= part * organisation.requests_per_s
            and known.need.tokens_per_s <= part * organisation.tokens_per_s
            and known.need.concurrency <= part * organisation.concurrency
            for known in self.entries.values()
        )

    def grants(
        self,
        organisation: _entities.OrganisationView,
        live: tuple[str, ...],
        now_s: float,
    ) -> dict[str, _messages.OrganisationShare]:
        """Return the share of each entry whose report is unanswered.

        An entry that is live but has not reported lately may be cut off, and
        then uses an even share: so much is set aside for it.
        """
        self._forget(live, now_s)
        due = [n for n, known in self.entries.items() if known.unanswered]
        if not due:
            return {}
        heard = len(self.entries) / len(live)
        needs = {n: known.need for n, known in self.entries.items()}
        requests = _division.rate_shares(
            {n: need.requests_per_s for n, need in needs.items()},
            organisation.requests_per_s * heard,
        )
        tokens = _division.rate_shares(
            {n: need.tokens_per_s for n, need in needs.items()},
            organisation.tokens_per_s * heard,
        )
        slots = self._slots(organisation.concurrency, len(live), due, now_s)
        return {
            entry: _messages.OrganisationShare(
                organisation.organisation,
                heard * requests[entry],
                heard * tokens[entry],
                slots[entry],
            )
            for entry in due
        }

    def unheard(self, live: tuple[str, ...], now_s: float) -> tuple[str, ...]:
        """Return entries to be asked for their need now."""
        if now_s - self.asked_at_s < _pace.refresh_s(len(live)):
            return ()
        self.asked_at_s = now_s
        return tuple(entry for entry in live if entry not in self.entries)

    def _forget(self, live: tuple[str, ...], now_s: float) -> None:
        alive = frozenset(live)
        oldest_s = now_s - _pace.grant_ttl_s(len(live))
        self.entries = {
            entry: known
            for entry, known in self.entries.items()
            if entry in alive and known.at_s >= oldest_s
        }

    def _slots(
        self, concurrency: float, live: int, due: list[str], now_s: float
    ) -> dict[str, int]:
        """Grant slots; one that is held elsewhere is not granted yet."""
        for entry in due:
            self.entries[entry].unanswered = False
        if math.isinf(concurrency):
            return dict.fromkeys(due, 0)
        unheard = live - len(self.entries)
        set_aside = unheard * (int(concurrency) // live)
        available = _slots.allowed(concurrency) - set_aside
        targets = _slots.slot_shares(
            {n: known.need.concurrency for n, known in self.entries.items()},
            available,
            int(concurrency) - set_aside,
            self.turns,
            now_s,
            _pace.turn_s(live),
        )
        held = sum(self._committed(known) for known in self.entries.values())
        for entry in due:
            known = self.entries[entry]
            held -= self._committed(known)
            known.slots = max(0, min(targets[entry], available - held))
            held += self._committed(known)
        return {entry: self.entries[entry].slots for entry in due}

    @staticmethod
    def _committed(known: EntryNeed) -> int:
        return max(known.need.slots_held, known.slots)

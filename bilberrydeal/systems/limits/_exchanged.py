"""A limiter whose entries divide limits by exchanging their needs."""

import collections.abc
import math

import attrs

from .. import _entities
from .. import _tables
from . import _account
from . import _base
from . import _home
from . import _home_selection
from . import _intervals
from . import _messages
from . import _offered_load

#: An entry reports an organisation whose need exceeds this fraction of its
#: local allowance.
NEAR_LIMIT_FRACTION = 0.5
#: A need that changed by a smaller fraction counts as unchanged.
CHANGED_FRACTION = 0.1
#: Maximum number of organisations reported in one exchange.
MAX_REPORTED_ORGANISATIONS = 40
#: An account without requests for this time is removed, in seconds.
IDLE_TIMEOUT_S = 60.0


@attrs.define
class OrganisationState:
    """State of one organisation at this entry."""

    #: Usage at this entry.
    account: _account.Account
    #: Load offered at this entry.
    offered_load: _offered_load.OfferedLoad = attrs.field(
        factory=_offered_load.OfferedLoad
    )
    #: The share granted last.
    share: _messages.OrganisationShare | None = None
    #: When the grant expires.
    share_expires_at_s: float = -math.inf
    #: The home that granted the share.
    share_home: str = ""
    #: Sequence number of the grant.
    share_sequence: int = 0
    #: The need reported last.
    last_report: _messages.OrganisationNeed | None = None
    #: The home that received the last report.
    reported_to: str = ""
    #: Time of the last report.
    reported_at_s: float = -math.inf
    #: Whether the home has requested a report.
    report_requested: bool = False


@_base.LIMITERS.register("exchanged")
class ExchangedLimiter:
    """Enforces the share of each limit that the organisation's home grants.

    Rendezvous hashing selects a home entry for each organisation. Entries at
    which the organisation is near its limit report their need to the home,
    which divides the limit by need. An entry without a valid grant uses an
    even share.
    """

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self._organisations: dict[str, OrganisationState] = {}
        self._divisions: dict[str, _home.LimitDivision] = {}
        self._live_entries: tuple[str, ...] = (entry,)
        self._sequence = 0

    def admit(
        self,
        organisation: _entities.OrganisationView,
        tokens: float,
        now_s: float,
    ) -> _base.Admission:
        """Admit a request if this entry's share of the limits permits it."""
        name = organisation.organisation
        state = self._organisations.get(name)
        if state is None:
            state = OrganisationState(_account.new_account(now_s))
            self._organisations[name] = state
        account = state.account
        offered_load = state.offered_load
        offered_load.record_offered(tokens, account.running, now_s)
        allowance = self._allowance(organisation, state, now_s)
        admission = account.admit(
            allowance, tokens, now_s, offered_load.tokens_per_request
        )
        if admission.admitted:
            offered_load.record_admitted()
        return admission

    def settle(
        self,
        organisation: str,
        tokens: float,
        actual_tokens: float,
        now_s: float,
    ) -> None:
        """Release the slot and correct the tokens of an ended request."""
        state = self._organisations.get(organisation)
        if state is not None:
            state.account.settle(tokens, actual_tokens)

    def exchange(
        self, tables: _tables.Tables, now_s: float
    ) -> list[_messages.OutgoingMessage]:
        """Return reports, grants and report requests for other entries."""
        entries = tables.of(_entities.EntryView)
        others = {view.entry for view in entries if view.live}
        self._live_entries = tuple(sorted(others | {self.entry}))
        organisations = tables.of(_entities.OrganisationView)
        outgoing = self._report(organisations, now_s)
        outgoing.extend(self._grant(organisations, now_s))
        return outgoing

    def receive_need(self, report: _messages.NeedReport, now_s: float) -> None:
        """Handle a need report as the home of its organisations."""
        for need in report.needs:
            division = self._divisions.setdefault(
                need.organisation, _home.LimitDivision()
            )
            division.report(report.entry, report.sequence, need, now_s)

    def receive_grant(self, grant: _messages.ShareGrant, now_s: float) -> None:
        """Apply a grant unless a newer one of the same home has arrived."""
        ttl_s = _intervals.grant_ttl_s(len(self._live_entries))
        for share in grant.shares:
            state = self._organisations.get(share.organisation)
            if state is None:
                state = OrganisationState(_account.new_account(now_s))
                self._organisations[share.organisation] = state
            outdated = (
                grant.home == state.share_home
                and grant.sequence < state.share_sequence
            )
            if not outdated:
                state.share = share
                state.share_expires_at_s = now_s + ttl_s
                state.share_home = grant.home
                state.share_sequence = grant.sequence

    def receive_report_request(
        self, request: _messages.NeedReportRequest, now_s: float
    ) -> None:
        """Report the organisations at the next exchange regardless of need."""
        for name in request.organisations:
            state = self._organisations.get(name)
            if state is None:
                state = OrganisationState(_account.new_account(now_s))
                self._organisations[name] = state
            state.report_requested = True

    def _allowance(
        self,
        organisation: _entities.OrganisationView,
        state: OrganisationState,
        now_s: float,
    ) -> _account.Allowance:
        share = state.share
        if share is None or state.share_expires_at_s < now_s:
            fraction = 1.0 / len(self._live_entries)
            return _account.Allowance(
                organisation.requests_per_s * fraction,
                organisation.tokens_per_s * fraction,
                _even_slots(organisation.concurrency, len(self._live_entries)),
            )
        return _account.Allowance(
            _scale(organisation.requests_per_s, share.requests_share),
            _scale(organisation.tokens_per_s, share.tokens_share),
            share.slots
            if math.isfinite(organisation.concurrency)
            else math.inf,
        )

    def _report(
        self,
        organisations: _tables.Table[_entities.OrganisationView],
        now_s: float,
    ) -> list[_messages.OutgoingMessage]:
        due: dict[str, list[_messages.OrganisationNeed]] = {}
        count = 0
        for name, state in list(self._organisations.items()):
            organisation = organisations.get(name)
            if organisation is None or _idle(state, now_s):
                del self._organisations[name]
                continue
            need = self._due_need(organisation, state, now_s)
            if need is None or count >= MAX_REPORTED_ORGANISATIONS:
                continue
            count += 1
            home = _home_selection.home_entry(name, self._live_entries)
            due.setdefault(home, []).append(need)
            state.last_report = need
            state.reported_to = home
            state.reported_at_s = now_s
            state.report_requested = False
        return [
            message
            for home, needs in due.items()
            for message in self._report_messages(home, tuple(needs), now_s)
        ]

    def _report_messages(
        self,
        home: str,
        needs: tuple[_messages.OrganisationNeed, ...],
        now_s: float,
    ) -> collections.abc.Iterator[_messages.OutgoingMessage]:
        self._sequence += 1
        report = _messages.NeedReport(self.entry, self._sequence, needs)
        if home == self.entry:
            self.receive_need(report, now_s)
        else:
            yield _messages.OutgoingMessage(home, report)

    def _due_need(
        self,
        organisation: _entities.OrganisationView,
        state: OrganisationState,
        now_s: float,
    ) -> _messages.OrganisationNeed | None:
        """Return the need if a report is due."""
        state.offered_load.decay(state.account.running, now_s)
        allowance = self._allowance(organisation, state, now_s)
        need = self._need(organisation, state, allowance)
        granted = state.share_expires_at_s >= now_s
        if not (
            state.report_requested or granted or _near_limit(need, allowance)
        ):
            return None
        entries = len(self._live_entries)
        home = _home_selection.home_entry(
            organisation.organisation, self._live_entries
        )
        age_s = now_s - state.reported_at_s
        if state.last_report is None or state.reported_to != home:
            return need
        if state.report_requested or _changed(
            state.last_report, need, organisation
        ):
            return (
                need
                if age_s >= _intervals.report_interval_s(entries)
                else None
            )
        return (
            need if age_s >= _intervals.refresh_interval_s(entries) else None
        )

    @staticmethod
    def _need(
        organisation: _entities.OrganisationView,
        state: OrganisationState,
        allowance: _account.Allowance,
    ) -> _messages.OrganisationNeed:
        running = state.account.running
        slots_held = running
        if math.isfinite(allowance.slots):
            slots_held = max(running, int(allowance.slots))
        return _messages.OrganisationNeed(
            organisation.organisation,
            round(state.offered_load.requests_per_s, 2),
            round(state.offered_load.tokens_per_s, 1),
            round(max(running, state.offered_load.concurrency), 2),
            slots_held,
        )

    def _grant(
        self,
        organisations: _tables.Table[_entities.OrganisationView],
        now_s: float,
    ) -> list[_messages.OutgoingMessage]:
        shares: dict[str, list[_messages.OrganisationShare]] = {}
        asks: dict[str, list[str]] = {}
        for name, division in list(self._divisions.items()):
            organisation = organisations.get(name)
            if (
                organisation is None
                or _home_selection.home_entry(name, self._live_entries)
                != self.entry
                or division.even_shares_suffice(
                    organisation, self._live_entries
                )
            ):
                del self._divisions[name]
                continue
            granted = division.grants(organisation, self._live_entries, now_s)
            for entry, share in granted.items():
                shares.setdefault(entry, []).append(share)
            for entry in division.missing_reports(self._live_entries, now_s):
                asks.setdefault(entry, []).append(name)
        return [
            *self._grant_messages(shares, now_s),
            *self._ask_messages(asks, now_s),
        ]

    def _grant_messages(
        self,
        shares: dict[str, list[_messages.OrganisationShare]],
        now_s: float,
    ) -> collections.abc.Iterator[_messages.OutgoingMessage]:
        for entry, granted in shares.items():
            self._sequence += 1
            grant = _messages.ShareGrant(
                self.entry, self._sequence, tuple(granted)
            )
            if entry == self.entry:
                self.receive_grant(grant, now_s)
            else:
                yield _messages.OutgoingMessage(entry, grant)

    def _ask_messages(
        self, asks: dict[str, list[str]], now_s: float
    ) -> collections.abc.Iterator[_messages.OutgoingMessage]:
        for entry, names in asks.items():
            request = _messages.NeedReportRequest(self.entry, tuple(names))
            if entry == self.entry:
                self.receive_report_request(request, now_s)
            else:
                yield _messages.OutgoingMessage(entry, request)


def _idle(state: OrganisationState, now_s: float) -> bool:
    return (
        not state.account.running
        and not state.report_requested
        and state.share_expires_at_s < now_s
        and state.offered_load.last_offered_at_s < now_s - IDLE_TIMEOUT_S
    )


def _scale(limit: float, share: float) -> float:
    return limit if math.isinf(limit) else limit * share


def _even_slots(concurrency: float, entries: int) -> float:
    if math.isinf(concurrency):
        return concurrency
    return max(1, int(concurrency) // entries)


def _near_limit(
    need: _messages.OrganisationNeed, allowance: _account.Allowance
) -> bool:
    return (
        need.requests_per_s > NEAR_LIMIT_FRACTION * allowance.requests_per_s
        or need.tokens_per_s > NEAR_LIMIT_FRACTION * allowance.tokens_per_s
        or need.concurrency > NEAR_LIMIT_FRACTION * allowance.slots
    )


def _changed(
    old: _messages.OrganisationNeed,
    new: _messages.OrganisationNeed,
    organisation: _entities.OrganisationView,
) -> bool:
    """Return whether a need differs enough to be reported."""
    return (
        _differs(old.requests_per_s, new.requests_per_s)
        or _differs(old.tokens_per_s, new.tokens_per_s)
        or (
            math.isfinite(organisation.concurrency)
            and (
                old.slots_held != new.slots_held
                or _differs(old.concurrency, new.concurrency)
            )
        )
    )


def _differs(old: float, new: float) -> bool:
    return abs(new - old) > CHANGED_FRACTION * max(old, new)

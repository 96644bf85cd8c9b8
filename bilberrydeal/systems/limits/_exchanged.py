"""Limits held over all entries by exchanging needs."""

import collections.abc
import math

import attrs

from .. import _entities
from .. import _tables
from . import _account
from . import _base
from . import _home
from . import _homes
from . import _messages
from . import _needs
from . import _pace

#: An entry reports an organisation that needs more than this part of what
#: it may use there.
NEAR_PART = 0.5
#: A need that moved by less than this part counts as unchanged.
CHANGED_PART = 0.1
#: Most organisations in one report.
NEEDS_LIMIT = 40
#: An account without requests for so long is dropped, in seconds.
IDLE_S = 60.0


@attrs.define
class Member:
    """One organisation at this entry."""

    #: What it uses.
    account: _account.Account
    #: What it is offered.
    offered: _needs.OfferedRate = attrs.field(factory=_needs.OfferedRate)
    #: What it may use, while the grant holds.
    share: _messages.OrganisationShare | None = None
    #: The grant holds until then.
    share_until_s: float = -math.inf
    #: The home that granted it.
    share_home: str = ""
    #: Sequence of the grant at that home.
    share_sequence: int = 0
    #: What was reported last, and to whom.
    reported: _messages.OrganisationNeed | None = None
    #: The home that it was reported to.
    reported_to: str = ""
    #: When it was reported.
    reported_at_s: float = -math.inf
    #: Whether the home has asked for the need.
    asked: bool = False


@_base.LIMITERS.register("exchanged")
class ExchangedLimiter:
    """Uses a share of each limit that the organisation's home grants.

    Each organisation has a home entry by rendezvous hashing. Entries that
    see it near its limit report their need there, and the home divides the
    limit by need. Without a valid grant an entry uses an even share.
    """

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self._members: dict[str, Member] = {}
        self._divisions: dict[str, _home.Division] = {}
        self._live: tuple[str, ...] = (entry,)
        self._sequence = 0

    def admit(
        self,
        organisation: _entities.OrganisationView,
        tokens: float,
        now_s: float,
    ) -> _base.Admission:
        """Admit what the own share of the limits allows."""
        name = organisation.organisation
        member = self._members.get(name)
        if member is None:
            member = Member(_account.opened(now_s))
            self._members[name] = member
        account = member.account
        offered = member.offered
        offered.offered(tokens, account.running, now_s)
        allowance = self._allowance(organisation, member, now_s)
        admission = account.admit(
            allowance, tokens, now_s, offered.tokens_each
        )
        if admission.admitted:
            offered.admitted()
        return admission

    def settle(
        self,
        organisation: str,
        tokens: float,
        actual_tokens: float,
        now_s: float,
    ) -> None:
        """Give back what an admitted request did not use."""
        member = self._members.get(organisation)
        if member is not None:
            member.account.settle(tokens, actual_tokens)

    def exchange(
        self, tables: _tables.Tables, now_s: float
    ) -> list[_messages.Outgoing]:
        """Return reports to homes and grants to other entries."""
        entries = tables.of(_entities.EntryView)
        others = {view.entry for view in entries if view.live}
        self._live = tuple(sorted(others | {self.entry}))
        organisations = tables.of(_entities.OrganisationView)
        outgoing = self._report(organisations, now_s)
        outgoing.extend(self._grant(organisations, now_s))
        return outgoing

    def receive_need(self, report: _messages.NeedReport, now_s: float) -> None:
        """Take a report as the home of its organisations."""
        for need in report.needs:
            division = self._divisions.setdefault(
                need.organisation, _home.Division()
            )
            division.report(report.entry, report.sequence, need, now_s)

    def receive_grant(self, grant: _messages.ShareGrant, now_s: float) -> None:
        """Take the answer of a home, unless a newer one came before."""
        ttl_s = _pace.grant_ttl_s(len(self._live))
        for share in grant.shares:
            member = self._members.get(share.organisation)
            if member is None:
                member = Member(_account.opened(now_s))
                self._members[share.organisation] = member
            overtaken = (
                grant.home == member.share_home
                and grant.sequence < member.share_sequence
            )
            if not overtaken:
                member.share = share
                member.share_until_s = now_s + ttl_s
                member.share_home = grant.home
                member.share_sequence = grant.sequence

    def receive_ask(self, ask: _messages.NeedAsk, now_s: float) -> None:
        """Report organisations at the next exchange, whatever their need."""
        for name in ask.organisations:
            member = self._members.get(name)
            if member is None:
                member = Member(_account.opened(now_s))
                self._members[name] = member
            member.asked = True

    def _allowance(
        self,
        organisation: _entities.OrganisationView,
        member: Member,
        now_s: float,
    ) -> _account.Allowance:
        share = member.share
        if share is None or member.share_until_s < now_s:
            part = 1.0 / len(self._live)
            return _account.Allowance(
                organisation.requests_per_s * part,
                organisation.tokens_per_s * part,
                _even_slots(organisation.concurrency, len(self._live)),
            )
        return _account.Allowance(
            _part(organisation.requests_per_s, share.requests_share),
            _part(organisation.tokens_per_s, share.tokens_share),
            share.slots
            if math.isfinite(organisation.concurrency)
            else math.inf,
        )

    def _report(
        self,
        organisations: _tables.Table[_entities.OrganisationView],
        now_s: float,
    ) -> list[_messages.Outgoing]:
        due: dict[str, list[_messages.OrganisationNeed]] = {}
        count = 0
        for name, member in list(self._members.items()):
            organisation = organisations.get(name)
            if organisation is None or _idle(member, now_s):
                del self._members[name]
                continue
            need = self._due_need(organisation, member, now_s)
            if need is None or count >= NEEDS_LIMIT:
                continue
            count += 1
            home = _homes.home(name, self._live)
            due.setdefault(home, []).append(need)
            member.reported = need
            member.reported_to = home
            member.reported_at_s = now_s
            member.asked = False
        return [
            message
            for home, needs in due.items()
            for message in self._sent(home, tuple(needs), now_s)
        ]

    def _sent(
        self,
        home: str,
        needs: tuple[_messages.OrganisationNeed, ...],
        now_s: float,
    ) -> collections.abc.Iterator[_messages.Outgoing]:
        self._sequence += 1
        report = _messages.NeedReport(self.entry, self._sequence, needs)
        if home == self.entry:
            self.receive_need(report, now_s)
        else:
            yield _messages.Outgoing(home, report)

    def _due_need(
        self,
        organisation: _entities.OrganisationView,
        member: Member,
        now_s: float,
    ) -> _messages.OrganisationNeed | None:
        """Return the need if it is time to report it."""
        member.offered.fade(member.account.running, now_s)
        allowance = self._allowance(organisation, member, now_s)
        need = self._need(organisation, member, allowance)
        granted = member.share_until_s >= now_s
        if not (member.asked or granted or _near(need, allowance)):
            return None
        entries = len(self._live)
        home = _homes.home(organisation.organisation, self._live)
        age_s = now_s - member.reported_at_s
        if member.reported is None or member.reported_to != home:
            return need
        if member.asked or _changed(member.reported, need, organisation):
            return need if age_s >= _pace.round_s(entries) else None
        return need if age_s >= _pace.refresh_s(entries) else None

    @staticmethod
    def _need(
        organisation: _entities.OrganisationView,
        member: Member,
        allowance: _account.Allowance,
    ) -> _messages.OrganisationNeed:
        running = member.account.running
        held = running
        if math.isfinite(allowance.slots):
            held = max(running, int(allowance.slots))
        return _messages.OrganisationNeed(
            organisation.organisation,
            round(member.offered.requests_per_s, 2),
            round(member.offered.tokens_per_s, 1),
            round(max(running, member.offered.concurrency), 2),
            held,
        )

    def _grant(
        self,
        organisations: _tables.Table[_entities.OrganisationView],
        now_s: float,
    ) -> list[_messages.Outgoing]:
        shares: dict[str, list[_messages.OrganisationShare]] = {}
        asks: dict[str, list[str]] = {}
        for name, division in list(self._divisions.items()):
            organisation = organisations.get(name)
            if (
                organisation is None
                or _homes.home(name, self._live) != self.entry
                or division.quiet(organisation, self._live)
            ):
                del self._divisions[name]
                continue
            granted = division.grants(organisation, self._live, now_s)
            for entry, share in granted.items():
                shares.setdefault(entry, []).append(share)
            for entry in division.unheard(self._live, now_s):
                asks.setdefault(entry, []).append(name)
        return [
            *self._grants_sent(shares, now_s),
            *self._asks_sent(asks, now_s),
        ]

    def _grants_sent(
        self,
        shares: dict[str, list[_messages.OrganisationShare]],
        now_s: float,
    ) -> collections.abc.Iterator[_messages.Outgoing]:
        for entry, granted in shares.items():
            self._sequence += 1
            grant = _messages.ShareGrant(
                self.entry, self._sequence, tuple(granted)
            )
            if entry == self.entry:
                self.receive_grant(grant, now_s)
            else:
                yield _messages.Outgoing(entry, grant)

    def _asks_sent(
        self, asks: dict[str, list[str]], now_s: float
    ) -> collections.abc.Iterator[_messages.Outgoing]:
        for entry, names in asks.items():
            ask = _messages.NeedAsk(self.entry, tuple(names))
            if entry == self.entry:
                self.receive_ask(ask, now_s)
            else:
                yield _messages.Outgoing(entry, ask)


def _idle(member: Member, now_s: float) -> bool:
    return (
        not member.account.running
        and not member.asked
        and member.share_until_s < now_s
        and member.offered.last_s < now_s - IDLE_S
    )


def _part(limit: float, share: float) -> float:
    return limit if math.isinf(limit) else limit * share


def _even_slots(concurrency: float, entries: int) -> float:
    if math.isinf(concurrency):
        return concurrency
    return max(1, int(concurrency) // entries)


def _near(
    need: _messages.OrganisationNeed, allowance: _account.Allowance
) -> bool:
    return (
        need.requests_per_s > NEAR_PART * allowance.requests_per_s
        or need.tokens_per_s > NEAR_PART * allowance.tokens_per_s
        or need.concurrency > NEAR_PART * allowance.slots
    )


def _changed(
    old: _messages.OrganisationNeed,
    new: _messages.OrganisationNeed,
    organisation: _entities.OrganisationView,
) -> bool:
    """Return whether a need moved by a part that matters."""
    return (
        _moved(old.requests_per_s, new.requests_per_s)
        or _moved(old.tokens_per_s, new.tokens_per_s)
        or (
            math.isfinite(organisation.concurrency)
            and (
                old.slots_held != new.slots_held
                or _moved(old.concurrency, new.concurrency)
            )
        )
    )


def _moved(old: float, new: float) -> bool:
    return abs(new - old) > CHANGED_PART * max(old, new)

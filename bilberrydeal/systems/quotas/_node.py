"""Decides for the requests of one gateway, and for others as their home."""

import collections.abc

import attrs

from ... import catalogue
from . import _active_time
from . import _fallback
from . import _home
from . import _late_queries
from . import _messages
from . import _outboxes
from . import _view

#: Times after which a query without an answer is sent again, in seconds.
RETRIES_S = (0.03, 0.06)
#: Time without an answer after which a gateway may grant from its own share,
#: in seconds.
ANSWER_TIMEOUT_S = 0.1
#: Usual round trips to a home before a query is sent again. Both times above
#: grow with it where gateways are far from each other.
ROUND_TRIPS = 2.0
#: Time after which a request is rejected without an answer if that share is
#: used up but heartbeats of the home arrive, in seconds. Waiting for a slow
#: home avoids rejections of requests within the limit.
SLOW_HOME_TIMEOUT_S = 0.5
#: Time for which the own share is tried before a home that did not answer, in
#: seconds.
SUSPENDED_S = 0.3
#: Interval in which ``tick`` has to be called, in seconds.
TICK_INTERVAL_S = 0.05
#: Longest wait accepted from a home, in seconds; longer ones are cut to it.
WAIT_LIMIT_S = 60.0
#: Greatest absolute cost of a query, in units of the quota; queries beyond it
#: are ignored.
COST_LIMIT = 1e16


@attrs.frozen
class Decision:
    """Whether a request may be sent."""

    granted: bool
    #: Time until it may fit if it was not granted, in seconds.
    wait_s: float
    #: Whether this gateway decided without the home.
    fallback: bool
    #: Gateway that granted it as the home; empty if none did.
    home: str = ""


@attrs.frozen
class Transition:
    """An organisation whose home was lost, or heard again."""

    organisation: str
    home: str
    entered: bool
    #: Rate that may be granted without the home, in units per second.
    share_per_s: float


OnDecision = collections.abc.Callable[[Decision], None]


@attrs.define(eq=False)
class _Pending:
    """A query without an answer."""

    query: _messages.Query
    home: str
    asked_s: float
    #: ``None`` if nobody waits for the decision.
    on_decision: OnDecision | None
    retries: int = 0
    #: Decision if no answer arrives in time; set if this gateway's own share
    #: was used up.
    rejection: Decision | None = None


class QuotaNode:
    """The quota decisions of one gateway, without I/O.

    ``tick`` has to be called every ``TICK_INTERVAL_S``, and ``poll`` every
    few milliseconds while ``waiting``. What ``take_outgoing`` and
    ``take_heartbeat`` return has to be sent.

    Example::

        node = QuotaNode("g1", "10.0.0.1:9000", bounds)
        decided = node.ask("huka270", 1540.0, now_s, on_decision)
        if isinstance(decided, int):
            ...  # a query, which ``cancel`` ends
    """

    def __init__(
        self, own: str, address: str, bounds: _fallback.FallbackBounds
    ) -> None:
        self._own = own
        self._bounds = bounds
        self.view = _view.GatewayView(own, address)
        self._active = _active_time.ActiveTime()
        self._home = _home.QuotaHome(self.view, self._active)
        #: Quotas in force by organisation.
        self.quotas: collections.abc.Mapping[str, catalogue.Quota] = {}
        self._fallbacks: dict[str, _fallback.Fallback] = {}
        self._pending: dict[int, _Pending] = {}
        self._late = _late_queries.LateQueries()
        self._outboxes = _outboxes.Outboxes()
        self._sequence = 0
        self._transitions: list[Transition] = []
        self._heartbeat_s = float("-inf")
        self._leaving = False
        self._heartbeat_digest = 0

    # Configuration and membership.

    def set_quotas(
        self, quotas: collections.abc.Mapping[str, catalogue.Quota]
    ) -> None:
        """Apply quotas."""
        self._home.set_quotas(quotas)
        for name in self._fallbacks.keys() - quotas.keys():
            del self._fallbacks[name]
        for name, fallback in self._fallbacks.items():
            if quotas[name] != self.quotas.get(name):
                fallback.change(self.quotas.get(name), quotas[name])
        self.quotas = quotas

    def set_listed(
        self,
        others: collections.abc.Mapping[str, str],
        settled: bool,
        row_expires_s: float,
        now_s: float,
    ) -> None:
        """Set the other gateways' addresses as the store lists them.

        ``settled`` tells that gateways which started with this one are listed
        too; at ``row_expires_s`` others may take this one for dead unless it
        writes its row again.
        """
        self.view.settled_itself = settled
        self.view.row_expires_s = row_expires_s
        self.view.set_listed(others, now_s)
        self._advance(now_s)

    # Requests of this gateway.

    def ask(
        self,
        organisation: str,
        cost: float,
        now_s: float,
        on_decision: OnDecision,
    ) -> Decision | int:
        """Take a cost from a quota.

        Returns the decision, or the number of the query that was sent, whose
        decision ``on_decision`` gets.
        """
        quota = self.quotas.get(organisation)
        if quota is None:
            return Decision(True, 0.0, False)
        self._advance(now_s)
        self._fallback(organisation).note_cost(cost)
        home = self.view.home(organisation)
        if home == self._own:
            wait_s, _share = self._home.decide(
                self._own, organisation, cost, now_s
            )
            self._leave_fallback(organisation)
            return Decision(not wait_s, wait_s, False, self._own)
        if self.view.answers(home, now_s):
            return self._query(organisation, cost, home, now_s, on_decision)
        decision = self._decide_alone(organisation, cost, now_s)
        if decision.granted or not self.view.heard(home, now_s):
            return decision
        sequence = self._query(organisation, cost, home, now_s, on_decision)
        self._pending[sequence].rejection = decision
        return sequence

    def cancel(self, sequence: int) -> None:
        """Stop waiting for a decision; what the home grants is given back."""
        pending = self._pending.get(sequence)
        if pending is not None:
            pending.on_decision = None

    def refund(
        self, organisation: str, cost: float, granted_by: str, now_s: float
    ) -> None:
        """Give back a cost of a request that did not run.

        ``granted_by`` is the home that granted it, empty if this gateway did
        so from its own share. Another home has never charged the cost.
        """
        if organisation not in self.quotas or cost <= 0.0:
            return
        self._advance(now_s)
        home = self.view.home(organisation)
        if not granted_by:
            self._fallback(organisation).refund(cost)
        elif home != granted_by:
            return
        elif home == self._own:
            self._home.decide(self._own, organisation, -cost, now_s)
        elif self.view.answers(home, now_s):
            self._query(organisation, -cost, home, now_s, None)

    def poll(self, now_s: float) -> None:
        """Repeat queries that are due and give up those without an answer."""
        for pending in list(self._pending.values()):
            waited_s = now_s - pending.asked_s
            if pending.rejection is not None:
                if waited_s >= SLOW_HOME_TIMEOUT_S:
                    self._give_up(pending, pending.rejection, now_s)
                    continue
            elif waited_s >= ANSWER_TIMEOUT_S * self._patience(pending.home):
                self._on_answer_timeout(pending, now_s)
                continue
            self._retry_if_due(pending, waited_s)

    def _retry_if_due(self, pending: _Pending, waited_s: float) -> None:
        if pending.retries == len(RETRIES_S):
            return
        due_s = RETRIES_S[pending.retries] * self._patience(pending.home)
        if waited_s >= due_s:
            pending.retries += 1
            self._outboxes.add_query(pending.home, pending.query)

    def _patience(self, home: str) -> float:
        """Return how many times as long to wait as for a home nearby."""
        round_trips_s = ROUND_TRIPS * self.view.round_trip_s(home)
        patience = max(round_trips_s / RETRIES_S[0], 1.0)
        return min(patience, SLOW_HOME_TIMEOUT_S / ANSWER_TIMEOUT_S)

    @property
    def waiting(self) -> bool:
        """Return whether ``poll`` has to be called."""
        return bool(self._pending)

    # Messages.

    def receive(
        self, sender: str, message: _messages.Message, now_s: float
    ) -> None:
        """Handle a message of another gateway."""
        if sender == self._own:
            return
        self._advance(now_s)
        if message.heartbeat is not None:
            self.view.receive(sender, message.heartbeat, now_s)
            self._advance(now_s)
        self.view.note_message(sender, now_s)
        for answer in message.answers:
            self._on_answer(sender, answer, now_s)
        if not message.queries or not self.view.knows(sender):
            return
        for query in message.queries:
            if not -COST_LIMIT <= query.cost <= COST_LIMIT:
                continue
            found = self._home.answer(sender, query, now_s)
            if found is not None:
                self._outboxes.add_answer(sender, found)

    def tick(self, now_s: float) -> None:
        """Advance the clock and the view, and forget old queries."""
        self._advance(now_s)
        if not self.quotas:
            return
        self._late.expire(now_s)

    def take_heartbeat(
        self, now_s: float, leaving: bool = False
    ) -> _outboxes.Outgoing | None:
        """Return the heartbeat that is due, ``None`` if none is.

        A changed view is sent early, so that all views soon agree. Once
        ``leaving`` was set, all heartbeats say so.
        """
        self._leaving |= leaving
        if not self.quotas:
            return None
        view = self.view
        since_s = now_s - self._heartbeat_s
        changed = view.digest != self._heartbeat_digest
        urgent = changed and since_s >= _view.URGENT_HEARTBEAT_S
        if not (leaving or urgent or since_s >= view.heartbeat_interval_s):
            return None
        self._heartbeat_s = now_s
        self._heartbeat_digest = view.digest
        message = _messages.Message(
            heartbeat=view.heartbeat(now_s, self._leaving)
        )
        recipients = view.recipients(now_s)
        if not recipients:
            return None
        return _outboxes.Outgoing(recipients, message)

    def take_outgoing(self) -> list[_outboxes.Outgoing]:
        """Return the queries and answers to send, in batches."""
        return self._outboxes.take()

    def take_transitions(self) -> list[Transition]:
        """Return the losses of homes, and their ends, since the last call."""
        found, self._transitions = self._transitions, []
        return found

    # Internals.

    def _advance(self, now_s: float) -> None:
        self._active.advance(now_s)
        self.view.refresh(now_s, self._active.now_s)

    def _fallback(self, organisation: str) -> _fallback.Fallback:
        found = self._fallbacks.get(organisation)
        if found is None:
            found = self._fallbacks[organisation] = _fallback.Fallback()
        return found

    def _query(
        self,
        organisation: str,
        cost: float,
        home: str,
        now_s: float,
        on_decision: OnDecision | None,
    ) -> int:
        self._sequence += 1
        query = _messages.Query(self._sequence, organisation, cost)
        self._pending[self._sequence] = _Pending(
            query, home, now_s, on_decision
        )
        self._outboxes.add_query(home, query)
        return self._sequence

    def _on_answer_timeout(self, pending: _Pending, now_s: float) -> None:
        """Decide by the own share, or wait longer for a slow home."""
        self.view.suspend(pending.home, now_s + SUSPENDED_S)
        if pending.on_decision is None:
            self._give_up(pending, None, now_s)
            return
        query = pending.query
        decision = self._decide_alone(query.organisation, query.cost, now_s)
        if decision.granted or not self.view.heard(pending.home, now_s):
            self._give_up(pending, decision, now_s)
        else:
            pending.rejection = decision

    def _give_up(
        self, pending: _Pending, decision: Decision | None, now_s: float
    ) -> None:
        """Stop waiting; what a late answer grants is given back."""
        query = pending.query
        del self._pending[query.sequence]
        if query.cost > 0.0:
            self._late.add(
                _late_queries.LateQuery(
                    query, pending.home, pending.asked_s, now_s
                )
            )
        if pending.on_decision is not None and decision is not None:
            pending.on_decision(decision)

    def _on_answer(
        self, sender: str, answer: _messages.Answer, now_s: float
    ) -> None:
        pending = self._pending.get(answer.sequence)
        if pending is not None and pending.home != sender:
            return
        if pending is None:
            self._on_late_answer(sender, answer, now_s)
            return
        del self._pending[answer.sequence]
        self.view.note_answer(sender, now_s - pending.asked_s)
        self._apply_answer(pending, answer, now_s)

    def _on_late_answer(
        self, sender: str, answer: _messages.Answer, now_s: float
    ) -> None:
        """Give back what a home granted too late."""
        late = self._late.take(answer.sequence, sender)
        if late is None:
            return
        self.view.note_answer(sender, now_s - late.asked_s)
        query = late.query
        if answer.wait_s == 0.0:
            self.refund(query.organisation, query.cost, sender, now_s)

    def _apply_answer(
        self, pending: _Pending, answer: _messages.Answer, now_s: float
    ) -> None:
        query = pending.query
        organisation = query.organisation
        if organisation not in self.quotas:
            decision = Decision(True, 0.0, False)
        elif answer.wait_s >= 0.0:
            self._fallback(organisation).note_share(answer.share_per_s, now_s)
            self._leave_fallback(organisation)
            granted = answer.wait_s == 0.0
            wait_s = min(answer.wait_s, WAIT_LIMIT_S)
            decision = Decision(granted, wait_s, False, pending.home)
            if granted and pending.on_decision is None and query.cost > 0.0:
                self.refund(organisation, query.cost, pending.home, now_s)
        elif pending.on_decision is None:
            return
        else:
            # The views differ, or the configurations.
            self.view.suspend(pending.home, now_s + _view.DELAY_S)
            decision = self._decide_alone(organisation, query.cost, now_s)
        if pending.on_decision is not None:
            pending.on_decision(decision)

    def _decide_alone(
        self, organisation: str, cost: float, now_s: float
    ) -> Decision:
        quota = self.quotas.get(organisation)
        if quota is None:
            return Decision(True, 0.0, True)
        view = self.view
        fallback = self._fallback(organisation)
        division = _fallback.Division(view.divisor, view.rank, view.isolated)
        excess = self._bounds.excess(quota)
        active_s = self._active.now_s
        if not fallback.active:
            fallback.enter(quota, division, excess, now_s, active_s)
            self._transitions.append(
                Transition(
                    organisation,
                    view.home(organisation),
                    True,
                    fallback.share_per_s,
                )
            )
        wait_s = fallback.take(quota, division, excess, cost, active_s)
        return Decision(not wait_s, wait_s, True)

    def _leave_fallback(self, organisation: str) -> None:
        fallback = self._fallback(organisation)
        if not fallback.active:
            return
        fallback.leave(self._active.now_s)
        self._transitions.append(
            Transition(
                organisation,
                self.view.home(organisation),
                False,
                fallback.share_per_s,
            )
        )

"""Decides whether an entry's copy of the keys is fresh enough to use.

The copy is confirmed as of the time at which a read of the configuration's
head was sent, by this entry or by the peer that relayed it. Keyed requests
are rejected once that time is further back than ``bound_s``, with one
exception.

While the whole store is unavailable nobody can withdraw a key, so entries may
continue as long as all of them know that all are cut off. An entry is blind
if it is cut off and has no commit in flight. Its answer then states that it
has committed no change beyond the revision it names; the asker may rely on
that for ``bound_s`` after sending the question. See docs/design/keys.md for
the proof.
"""

import typing

import attrs

from .. import errors

#: Time after an asker's first question during which answers list the covered
#: entries, in seconds. It restarts when the asker's row appears.
INTRODUCTION_S = 120.0
#: Allowance for clock drift over ``max_outage_s``, in seconds.
CLOCK_MARGIN_S = 1.0


@attrs.frozen
class KeyFreshnessReport:
    """An entry's answer to a peer about the freshness of its keys."""

    #: Incarnation of the answering entry.
    incarnation: str
    #: Newest configuration revision that it has applied.
    revision: int
    #: Time since that was confirmed as the newest; ``None`` if never.
    age_s: float | None
    #: Whether it is cut off from the store and has no commit in flight.
    blind: bool
    #: Entries known to it, if it is blind. The asker needs their answers too
    #: before it may continue during an outage.
    known: tuple[str, ...] = ()
    #: Entries that need its answer before they may continue while blind. Only
    #: new askers receive them.
    covered: tuple[str, ...] = ()


@attrs.define(slots=False, eq=False)
class CommitHeld(errors.BilberrydealError):
    """This entry may not commit a change yet; nothing was written."""

    code: typing.ClassVar[errors.ErrorCode] = (
        errors.ErrorCode.STORE_UNAVAILABLE
    )

    #: ``introductions`` or ``not joined``.
    reason: str
    #: Delay before the next attempt, in seconds.
    retry_after_s: float


@attrs.frozen
class _BlindAnswer:
    """The last answer of a blind peer."""

    #: When the question was sent.
    sent_s: float
    #: Newest revision that the peer had applied.
    revision: int


class Freshness:
    """Decides whether keyed requests are accepted and changes committed.

    All times are monotonic seconds of this process. All entries must use the
    same bounds.
    """

    def __init__(
        self,
        own: str,
        bound_s: float,
        max_outage_s: float,
        max_call_s: float,
        margin_s: float = CLOCK_MARGIN_S,
    ) -> None:
        self.own = own
        self.bound_s = bound_s
        #: Subtracted from ``max_outage_s`` to allow for clock drift.
        self.margin_s = margin_s
        #: Maximum time after the last renewal of its member row for which an
        #: entry accepts keyed requests without a confirmed copy.
        self.max_outage_s = max_outage_s
        #: Maximum time after which a commit without a response may still
        #: take effect.
        self.max_call_s = max_call_s
        self.revision = 0
        self._confirmed_s: float | None = None
        self._renewed_s: float | None = None
        self._known_peers: dict[str, float] = {}
        self._removed_members: tuple[frozenset[str], float] | None = None
        self._members_read = False
        self._required_peers: set[str] | None = None
        self._registered: frozenset[str] = frozenset()
        self._covered: set[str] = set()
        self._first_question_s: dict[str, float] = {}
        self._blind_answers: dict[str, _BlindAnswer] = {}
        self._commits_in_flight = 0
        self._unknown_commit_s: float | None = None

    # Events of this entry.

    def applied(self, revision: int) -> None:
        """Record the newest revision applied here."""
        self.revision = max(self.revision, revision)

    def confirmed(self, sent_s: float) -> None:
        """Record a read of the head whose revision has been applied.

        ``sent_s`` is the time at which the read was sent.
        """
        self._confirm(sent_s)
        if self._unknown_commit_s is not None and sent_s >= (
            self._unknown_commit_s + self.max_call_s
        ):
            self._unknown_commit_s = None

    def renewed(self, sent_s: float) -> None:
        """Record a renewal of the own member row, sent at ``sent_s``."""
        self._renewed_s = max(self._renewed_s or sent_s, sent_s)

    def joined(self, present: frozenset[str], now_s: float) -> None:
        """Record the member rows read after the own row was written."""
        if self._required_peers is None:
            self._required_peers = set(present - {self.own})
        self.members(present, present, now_s)

    def members(
        self,
        present: frozenset[str],
        recently_renewed: frozenset[str],
        now_s: float,
    ) -> None:
        """Record the entries that have member rows at ``now_s``.

        A new entry becomes a known peer at once. One whose row was deleted
        remains a known peer until a read of the head sent after that, which
        shows its last change. ``recently_renewed`` are the entries whose
        rows changed within ``max_outage_s``. The others no longer accept
        requests while blind, so no introduction to them is required.
        """
        self._members_read = True
        for incarnation in present - {self.own}:
            self._known_peers.setdefault(incarnation, now_s)
        removed = frozenset(self._known_peers) - present
        self._removed_members = (removed, now_s)
        self._covered -= self._registered - present
        for newcomer in present - self._registered:
            self._first_question_s.pop(newcomer, None)
        self._registered = present
        if self._required_peers is not None:
            self._required_peers &= recently_renewed

    # Exchanges with peers.

    def answer(self, asker: str, now_s: float) -> KeyFreshnessReport:
        """Return the answer to a peer's question."""
        self._known_peers[asker] = now_s
        self._covered.add(asker)
        first_s = self._first_question_s.setdefault(asker, now_s)
        blind = self._is_blind(now_s)
        age_s = None
        if self._confirmed_s is not None:
            age_s = now_s - self._confirmed_s
        covered: set[str] = set()
        if now_s - first_s <= INTRODUCTION_S:
            covered = self._covered
        return KeyFreshnessReport(
            incarnation=self.own,
            revision=self.revision,
            age_s=age_s,
            blind=blind,
            known=tuple(sorted(self._known_peers)) if blind else (),
            covered=tuple(sorted(covered)),
        )

    def learn(self, knowledge: KeyFreshnessReport, sent_s: float) -> None:
        """Process a peer's answer to a question sent at ``sent_s``.

        Call this after the peer's revisions were applied; while some are
        missing the answer confirms nothing.
        """
        peer = knowledge.incarnation
        for name in (peer, *knowledge.known):
            if name != self.own:
                self._known_peers.setdefault(name, sent_s)
        self._covered.add(peer)
        # If the peer's row was deleted before this entry joined, the entries
        # that the peer covers may have forgotten it and would then not learn
        # of this entry.
        if peer in self._registered:
            self._covered.update(knowledge.covered)
        self._covered.discard(self.own)
        if knowledge.blind:
            self._blind_answers[peer] = _BlindAnswer(
                sent_s, knowledge.revision
            )
        else:
            self._blind_answers.pop(peer, None)
        if knowledge.age_s is not None and knowledge.revision <= self.revision:
            self._confirm(sent_s - knowledge.age_s)

    # Decisions.

    def accepts(self, now_s: float) -> bool:
        """Return whether keyed requests are accepted."""
        return self.is_confirmed(now_s) or self._accepts_while_blind(now_s)

    def require_fresh(self, now_s: float) -> None:
        """Raise a ``Refusal`` unless keyed requests are accepted."""
        if not self.accepts(now_s):
            raise errors.Refusal(
                reason=errors.ErrorCode.KEYS_STALE,
                message="Keys cannot be checked at this moment.",
                status=503,
                retry_after_s=self.bound_s,
            )

    def may_remove(self, incarnation: str, now_s: float) -> bool:
        """Return whether a member row may be deleted before it expires.

        Rows otherwise expire after ``max_outage_s``. The entry must be
        covered: it needs an answer of this entry before it continues while
        blind, and with it the answers of all entries introduced since. The
        caller has seen its row unchanged for more than ``bound_s``, so this
        entry's row is younger and no newcomer misses both.
        """
        return (
            incarnation in self._covered
            and self._renewed_s is not None
            and now_s - self._renewed_s <= self.bound_s
        )

    def begin_commit(self, now_s: float) -> None:
        """Start to commit a change, or raise :class:`CommitHeld`.

        Until :meth:`end_commit` this entry does not answer as blind.
        """
        if self._required_peers is None:
            raise CommitHeld("not joined", self.bound_s)
        if self._required_peers - self._covered:
            raise CommitHeld("introductions", self.bound_s)
        self._commits_in_flight += 1

    def end_commit(self, known: bool, now_s: float) -> None:
        """Finish a commit; ``known`` is whether its outcome is known."""
        self._commits_in_flight -= 1
        if not known:
            self._unknown_commit_s = max(
                self._unknown_commit_s or now_s, now_s
            )

    def _confirm(self, as_of_s: float) -> None:
        self._confirmed_s = max(self._confirmed_s or as_of_s, as_of_s)
        if self._removed_members is None or as_of_s < self._removed_members[1]:
            return
        removed, read_s = self._removed_members
        self._removed_members = None
        for incarnation in removed:
            # An entry that asked after the rows were read has a newer row.
            if self._known_peers[incarnation] <= read_s:
                del self._known_peers[incarnation]

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether the copy was confirmed within ``bound_s``."""
        return (
            self._confirmed_s is not None
            and now_s - self._confirmed_s <= self.bound_s
        )

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the last confirmation, if there was one."""
        if self._confirmed_s is None:
            return None
        return now_s - self._confirmed_s

    def _is_blind(self, now_s: float) -> bool:
        return (
            not self.is_confirmed(now_s)
            and not self._commits_in_flight
            and self._unknown_commit_s is None
        )

    def _accepts_while_blind(self, now_s: float) -> bool:
        if self._confirmed_s is None or not self._members_read:
            return False
        if self._renewed_s is None:
            return False
        limit_s = self.max_outage_s - self.margin_s
        if now_s > self._renewed_s + limit_s:
            return False
        if not self._is_blind(now_s):
            return False
        return all(
            self._is_peer_blind(peer, now_s) for peer in self._known_peers
        )

    def _is_peer_blind(self, peer: str, now_s: float) -> bool:
        answer = self._blind_answers.get(peer)
        return (
            answer is not None
            and now_s - answer.sent_s <= self.bound_s
            and answer.revision <= self.revision
        )

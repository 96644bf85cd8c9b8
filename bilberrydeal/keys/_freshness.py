"""Whether this entry's knowledge of keys is fresh enough to act on.

Knowledge is confirmed as of the time at which a read of the configuration's
head was sent, by this entry or by a peer that handed it on. Keyed requests
are refused once that lies further back than the bound, with one exception.

In an outage of the whole store nobody can withdraw a key, so entries may go
on as long as all of them know that all are cut off. A peer's answer "blind"
says that no change beyond the revision it names has been committed by that
peer, nor is one on its way; the asker relies on it for the bound, counted
from the question. See docs/design/keys.md for the argument.
"""

import typing

import attrs

from .. import errors

#: An asker is told who is covered for so long after its first question,
#: counted anew once it has a row.
INTRODUCTION_S = 120.0
#: Covers drift of clocks over the longest pact, in seconds.
MARGIN_S = 1.0


@attrs.frozen
class PeerKnowledge:
    """What an entry answers to a peer about its knowledge of keys."""

    #: Incarnation of the entry that answers.
    incarnation: str
    #: Newest revision of the configuration that it has applied.
    revision: int
    #: How long ago that was confirmed as the newest; ``None`` if never.
    age_s: float | None
    #: Whether it is cut off and has no commit on its way.
    blind: bool
    #: Entries that it knows, when it is blind: the asker needs the answers
    #: of these too.
    known: tuple[str, ...] = ()
    #: Entries that would come to need its answer before they go on blind,
    #: told to askers that are new.
    covered: tuple[str, ...] = ()


@attrs.define(slots=False, eq=False)
class CommitHeld(errors.BilberrydealError):
    """A change cannot be committed here yet; nothing was written."""

    code: typing.ClassVar[errors.ErrorCode] = (
        errors.ErrorCode.STORE_UNAVAILABLE
    )

    #: ``introductions`` or ``not joined``.
    reason: str
    #: When to try again, in seconds.
    retry_after_s: float


@attrs.frozen
class _BlindAnswer:
    """The last answer of a peer that was blind."""

    #: When the question was sent.
    sent_s: float
    #: Revision that the peer had applied.
    revision: int


class Freshness:
    """Decides whether keyed requests are taken and changes committed.

    All times are this process's monotonic seconds. The bounds must be the
    same in every entry.
    """

    def __init__(
        self,
        own: str,
        bound_s: float,
        pact_longest_s: float,
        call_longest_s: float,
        margin_s: float = MARGIN_S,
    ) -> None:
        self.own = own
        self.bound_s = bound_s
        #: Subtracted from the longest pact for drift of clocks.
        self.margin_s = margin_s
        #: Longest time after the last renewal of the own row that an entry
        #: goes on without confirmed knowledge.
        self.pact_longest_s = pact_longest_s
        #: Longest time after which a lost commit may still take effect.
        self.call_longest_s = call_longest_s
        self.revision = 0
        self._confirmed_s: float | None = None
        self._renewed_s: float | None = None
        self._known: dict[str, float] = {}
        self._dropped: tuple[frozenset[str], float] | None = None
        self._members_read = False
        self._must_meet: set[str] | None = None
        self._present: frozenset[str] = frozenset()
        self._covered: set[str] = set()
        self._asked_first_s: dict[str, float] = {}
        self._blind: dict[str, _BlindAnswer] = {}
        self._commits = 0
        self._unsettled_s: float | None = None

    # What happens to this entry.

    def applied(self, revision: int) -> None:
        """Note the newest revision applied here."""
        self.revision = max(self.revision, revision)

    def confirmed(self, sent_s: float) -> None:
        """Note a read of the head; all that it names has been applied.

        ``sent_s`` is when the read was sent.
        """
        self._confirm(sent_s)
        if self._unsettled_s is not None and sent_s >= (
            self._unsettled_s + self.call_longest_s
        ):
            self._unsettled_s = None

    def renewed(self, sent_s: float) -> None:
        """Note a renewal of the own member row, sent at ``sent_s``."""
        self._renewed_s = max(self._renewed_s or sent_s, sent_s)

    def joined(self, present: frozenset[str], now_s: float) -> None:
        """Note the member rows read after the own row was written."""
        if self._must_meet is None:
            self._must_meet = set(present - {self.own})
        self.members(present, present, now_s)

    def members(
        self, present: frozenset[str], young: frozenset[str], now_s: float
    ) -> None:
        """Note the entries that have rows, known at ``now_s``.

        A new one counts at once. One whose row is gone counts until the
        head was read after that, so that its last change is known here.
        ``young`` are those whose rows changed within the longest pact; the
        others no longer go on blind, so that they need not be met.
        """
        self._members_read = True
        for incarnation in present - {self.own}:
            self._known.setdefault(incarnation, now_s)
        gone = frozenset(self._known) - present
        self._dropped = (gone, now_s)
        self._covered -= self._present - present
        for newcomer in present - self._present:
            self._asked_first_s.pop(newcomer, None)
        self._present = present
        if self._must_meet is not None:
            self._must_meet &= young

    # Exchanges with peers.

    def answer(self, asker: str, now_s: float) -> PeerKnowledge:
        """Return what to tell a peer."""
        self._known[asker] = now_s
        self._covered.add(asker)
        first_s = self._asked_first_s.setdefault(asker, now_s)
        blind = self._is_blind_itself(now_s)
        age_s = None
        if self._confirmed_s is not None:
            age_s = now_s - self._confirmed_s
        covered: set[str] = set()
        if now_s - first_s <= INTRODUCTION_S:
            covered = self._covered
        return PeerKnowledge(
            incarnation=self.own,
            revision=self.revision,
            age_s=age_s,
            blind=blind,
            known=tuple(sorted(self._known)) if blind else (),
            covered=tuple(sorted(covered)),
        )

    def learn(self, knowledge: PeerKnowledge, sent_s: float) -> None:
        """Take a peer's answer to a question sent at ``sent_s``.

        Call it after the peer's revisions were applied; while some are
        missing the answer confirms nothing.
        """
        peer = knowledge.incarnation
        for name in (peer, *knowledge.known):
            if name != self.own:
                self._known.setdefault(name, sent_s)
        self._covered.add(peer)
        # One whose row went before this entry joined may be forgotten by
        # those that it covers, without their seeing this entry.
        if peer in self._present:
            self._covered.update(knowledge.covered)
        self._covered.discard(self.own)
        if knowledge.blind:
            self._blind[peer] = _BlindAnswer(sent_s, knowledge.revision)
        else:
            self._blind.pop(peer, None)
        if knowledge.age_s is not None and knowledge.revision <= self.revision:
            self._confirm(sent_s - knowledge.age_s)

    # Decisions.

    def accepts(self, now_s: float) -> bool:
        """Return whether keyed requests are taken."""
        return self.is_confirmed(now_s) or self._goes_on_blind(now_s)

    def require(self, now_s: float) -> None:
        """Raise the refusal of a keyed request unless they are taken."""
        if not self.accepts(now_s):
            raise errors.Refusal(
                reason=errors.ErrorCode.KEYS_STALE,
                sentence="Keys cannot be checked at this moment.",
                status=503,
                retry_after_s=self.bound_s,
            )

    def may_remove(self, incarnation: str, now_s: float) -> bool:
        """Return whether an entry's row may go before the longest pact.

        That entry would come to need an answer of this one before it goes
        on blind, and with it those of all entries introduced since. The
        row of this one is younger, so that no newcomer misses both: the
        caller has seen the other unchanged for more than the bound.
        """
        return (
            incarnation in self._covered
            and self._renewed_s is not None
            and now_s - self._renewed_s <= self.bound_s
        )

    def begin_commit(self, now_s: float) -> None:
        """Begin to commit a change, or raise :class:`CommitHeld`.

        Until :meth:`end_commit` no peer is answered "blind".
        """
        if self._must_meet is None:
            raise CommitHeld("not joined", self.bound_s)
        if self._must_meet - self._covered:
            raise CommitHeld("introductions", self.bound_s)
        self._commits += 1

    def end_commit(self, known: bool, now_s: float) -> None:
        """End a commit; ``known`` tells whether its outcome is known."""
        self._commits -= 1
        if not known:
            self._unsettled_s = max(self._unsettled_s or now_s, now_s)

    def _confirm(self, as_of_s: float) -> None:
        self._confirmed_s = max(self._confirmed_s or as_of_s, as_of_s)
        if self._dropped is None or as_of_s < self._dropped[1]:
            return
        gone, read_s = self._dropped
        self._dropped = None
        for incarnation in gone:
            # One that introduced itself since has a newer row.
            if self._known[incarnation] <= read_s:
                del self._known[incarnation]

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether knowledge was confirmed within the bound."""
        return (
            self._confirmed_s is not None
            and now_s - self._confirmed_s <= self.bound_s
        )

    def age_s(self, now_s: float) -> float | None:
        """Return the age of what is confirmed, ``None`` for nothing."""
        if self._confirmed_s is None:
            return None
        return now_s - self._confirmed_s

    def _is_blind_itself(self, now_s: float) -> bool:
        return (
            not self.is_confirmed(now_s)
            and not self._commits
            and self._unsettled_s is None
        )

    def _goes_on_blind(self, now_s: float) -> bool:
        if self._confirmed_s is None or not self._members_read:
            return False
        if self._renewed_s is None:
            return False
        longest_s = self.pact_longest_s - self.margin_s
        if now_s > self._renewed_s + longest_s:
            return False
        if not self._is_blind_itself(now_s):
            return False
        return all(self._is_blind(peer, now_s) for peer in self._known)

    def _is_blind(self, peer: str, now_s: float) -> bool:
        answer = self._blind.get(peer)
        return (
            answer is not None
            and now_s - answer.sent_s <= self.bound_s
            and answer.revision <= self.revision
        )

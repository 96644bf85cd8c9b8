"""Key freshness with partial outages, joins, pauses and withdrawals."""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from bilberrydeal import errors
from bilberrydeal import keys

BOUND_S = 5.0
MARGIN_S = 1.0
PACT_S = 20.0
CALL_S = 2.0


def _freshness(name: str) -> keys.Freshness:
    return keys.Freshness(
        name,
        bound_s=BOUND_S,
        margin_s=MARGIN_S,
        max_outage_s=PACT_S,
        max_call_s=CALL_S,
    )


@attrs.define
class Table:
    """Model of the store: committed revisions and member rows."""

    revision: int = 0
    #: Commit time of each revision; each one withdraws a key.
    committed_s: dict[int, float] = attrs.Factory(dict)
    #: Time of the last renewal of each member row.
    rows: dict[str, float] = attrs.Factory(dict)


@attrs.define
class Entry:
    """Model of an entry and its connectivity."""

    freshness: keys.Freshness
    #: Whether it can reach the store.
    store: bool = True
    #: Entries in the same group can reach each other.
    group: int = 0
    joined: bool = False
    renewed_s: float = float("-inf")
    #: Time at which a commit with a lost response takes effect.
    late_s: float | None = None


class Entries(stateful.RuleBasedStateMachine):
    """No entry takes a key past the bound after its withdrawal."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.table = Table()
        self.entries: dict[str, Entry] = {}
        self.count = 0
        for _ in range(2):
            self._join()
        for name in list(self.entries):
            self._sync(name)

    # Helpers.

    def _join(self, group: int = 0, store: bool = True) -> str:
        self.count += 1
        name = f"e{self.count}"
        self.entries[name] = Entry(_freshness(name), store=store, group=group)
        self._renew(name)
        return name

    def _renew(self, name: str) -> None:
        entry = self.entries[name]
        if not entry.store or (entry.joined and name not in self.table.rows):
            return
        self.table.rows[name] = self.now_s
        entry.joined = True
        entry.renewed_s = self.now_s
        entry.freshness.renewed(self.now_s)
        entry.freshness.joined(frozenset(self.table.rows), self.now_s)

    def _read(self, name: str) -> None:
        entry = self.entries[name]
        if entry.store:
            entry.freshness.applied(self.table.revision)
            entry.freshness.confirmed(self.now_s)

    def _exchange(self, asker: str, answerer: str) -> None:
        one = self.entries[asker]
        other = self.entries[answerer]
        if one.group == other.group and asker != answerer:
            answer = other.freshness.answer(asker, self.now_s)
            one.freshness.learn(answer, self.now_s)

    def _sync(self, name: str) -> None:
        self._renew(name)
        self._read(name)
        for other in self.entries:
            self._exchange(name, other)

    def _effect(self) -> None:
        self.table.revision += 1
        self.table.committed_s[self.table.revision] = self.now_s

    def _any(self, data: strategies.DataObject) -> str:
        return data.draw(strategies.sampled_from(sorted(self.entries)))

    # What happens.

    @stateful.rule(seconds=strategies.sampled_from([1.0, 3.0, 7.0]))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        for name, entry in self.entries.items():
            if entry.late_s is not None and entry.late_s <= self.now_s:
                entry.late_s = None
                # It takes effect only while its entry is a member.
                if name in self.table.rows:
                    self._effect()

    @stateful.rule(
        rounds=strategies.sampled_from([2, 14]),
        steps=strategies.sets(strategies.sampled_from(["rows", "head"])),
        paused=strategies.sets(strategies.integers(1, 4), max_size=1),
    )
    def live_on(self, rounds: int, steps: set[str], paused: set[int]) -> None:
        """All entries but some exchange, and do the given steps."""
        names = [n for n in self.entries if int(n[1:]) not in paused]
        for _ in range(rounds):
            self.pass_time(0.5)
            for name in names:
                if "rows" in steps:
                    self._renew(name)
                if "head" in steps:
                    self._read(name)
                for other in names:
                    self._exchange(name, other)
            self.no_late_acceptance()

    @stateful.rule(
        data=strategies.data(),
        cut=strategies.sampled_from(["none", "all", "some"]),
        apart=strategies.booleans(),
        rounds=strategies.sampled_from([0, 14]),
    )
    def cut(
        self,
        data: strategies.DataObject,
        cut: str,
        apart: bool,
        rounds: int,
    ) -> None:
        """Cut entries off the store, and groups from each other."""
        for entry in self.entries.values():
            entry.store = cut == "none"
            if cut == "some":
                entry.store = data.draw(strategies.booleans())
            entry.group = 0
            if apart:
                entry.group = data.draw(strategies.integers(0, 1))
        self.live_on(rounds, {"rows", "head"}, set())

    @stateful.precondition(lambda self: len(self.entries) < 4)
    @stateful.rule(
        group=strategies.integers(0, 1),
        store=strategies.booleans(),
        withdraws=strategies.booleans(),
        rounds=strategies.sampled_from([0, 14]),
    )
    def join(
        self, group: int, store: bool, withdraws: bool, rounds: int
    ) -> None:
        name = self._join(group, store)
        self._read(name)
        for other in self.entries:
            self._exchange(name, other)
        if withdraws:
            self._withdraw(name, lost=False)
        self.live_on(rounds, {"rows", "head"}, set())

    @stateful.rule(data=strategies.data())
    def leave(self, data: strategies.DataObject) -> None:
        name = self._any(data)
        if self.entries[name].store and len(self.entries) > 2:
            del self.entries[name]
            self.table.rows.pop(name, None)

    @stateful.rule(data=strategies.data())
    def excuse_and_sweep(self, data: strategies.DataObject) -> None:
        """Rows that were not renewed for the longest pact are let go."""
        limit_s = PACT_S
        young = {
            name
            for name, renewed_s in self.table.rows.items()
            if self.now_s - renewed_s <= limit_s
        }
        present = frozenset(self.table.rows)
        for name in sorted(young):
            entry = self.entries[name]
            if entry.store:
                entry.freshness.members(present, frozenset(young), self.now_s)
        if data.draw(strategies.booleans()):
            for name in set(self.table.rows) - young:
                del self.table.rows[name]

    @stateful.rule(data=strategies.data())
    def sweep_covered(self, data: strategies.DataObject) -> None:
        """One that covers another, and renewed since, removes its row."""
        sweeper = self._any(data)
        name = self._any(data)
        entry = self.entries[sweeper]
        renewed_s = self.table.rows.get(name, float("inf"))
        able = entry.store and renewed_s <= entry.renewed_s
        if able and entry.freshness.may_remove(name, self.now_s):
            del self.table.rows[name]

    @stateful.rule(data=strategies.data(), lost=strategies.booleans())
    def withdraw(self, data: strategies.DataObject, lost: bool) -> None:
        """Commit the withdrawal, sometimes with a lost, late effect."""
        self._withdraw(self._any(data), lost)

    def _withdraw(self, name: str, lost: bool) -> None:
        entry = self.entries[name]
        if not entry.store or not entry.joined or entry.late_s is not None:
            return
        try:
            entry.freshness.begin_commit(self.now_s)
        except keys.CommitHeld:
            return
        if lost:
            entry.late_s = self.now_s + CALL_S
        elif name in self.table.rows:
            self._effect()
            entry.freshness.applied(self.table.revision)
        entry.freshness.end_commit(known=not lost, now_s=self.now_s)

    @stateful.invariant()
    def no_late_acceptance(self) -> None:
        longest_s = BOUND_S + MARGIN_S
        old = [
            revision
            for revision, committed_s in self.table.committed_s.items()
            if self.now_s > committed_s + longest_s
        ]
        for name, entry in self.entries.items():
            freshness = entry.freshness
            knows = freshness.revision >= max(old, default=0)
            assert knows or not freshness.accepts(self.now_s), name


Entries.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
)
TestEntries = Entries.TestCase


def _pair() -> tuple[keys.Freshness, keys.Freshness]:
    one, other = _freshness("a"), _freshness("b")
    for freshness in (one, other):
        freshness.renewed(0.0)
        freshness.joined(frozenset("ab"), 0.0)
        freshness.confirmed(0.0)
    return one, other


def test_total_outage_is_tolerated_up_to_the_limit() -> None:
    one, other = _pair()
    served = []
    now_s = 0.0
    while now_s < PACT_S + 5:
        now_s += 0.5
        one.learn(other.answer("a", now_s), now_s)
        other.learn(one.answer("b", now_s), now_s)
        served.append(one.accepts(now_s))
    expected = [0.5 * (n + 1) <= PACT_S - MARGIN_S for n in range(len(served))]
    assert served == expected
    with pytest.raises(errors.Refusal) as caught:
        one.require_fresh(now_s)
    assert caught.value.reason is errors.ErrorCode.KEYS_STALE


def test_answer_with_missing_revision_ends_acceptance() -> None:
    """The missing revision may withdraw a key."""
    one, other = _pair()
    one.learn(other.answer("a", 7.0), 7.0)
    assert one.accepts(8.0)
    other.confirmed(8.0)
    other.applied(1)
    one.learn(other.answer("a", 8.0), 8.0)
    # The peer has a revision that is missing here.
    assert not one.accepts(8.0)
    one.applied(1)
    one.learn(other.answer("a", 8.0), 8.0)
    assert one.accepts(8.0)


def test_blind_answer_expires_after_the_bound() -> None:
    one, other = _pair()
    one.learn(other.answer("a", 7.0), 7.0)
    assert one.accepts(7.0 + BOUND_S)
    assert not one.accepts(7.1 + BOUND_S)


def test_entry_with_commit_in_flight_is_not_blind() -> None:
    """Peers could otherwise accept a key that the commit withdraws."""
    one, other = _pair()
    one.learn(other.answer("a", 1.0), 1.0)
    now_s = BOUND_S + 1
    assert one.answer("b", now_s).blind
    one.begin_commit(now_s)
    assert not one.answer("b", now_s).blind
    one.end_commit(known=False, now_s=now_s)
    assert not one.answer("b", now_s).blind
    # Read sent after the latest time at which the commit can take effect.
    one.confirmed(now_s + CALL_S)
    assert one.answer("b", now_s + CALL_S + BOUND_S + 1).blind


def test_introduction_through_a_peer_reaches_all_entries() -> None:
    """An entry could otherwise keep accepting a key that another withdrew."""
    one, other = _pair()
    new = _freshness("c")
    new.joined(frozenset("abc"), 1.0)
    new.learn(other.answer("c", 1.0), 1.0)
    with pytest.raises(keys.CommitHeld):
        new.begin_commit(1.0)
    other.learn(one.answer("b", 2.0), 2.0)
    new.learn(other.answer("c", 3.0), 3.0)
    new.begin_commit(3.0)
    # The first entry learns of the new one without reaching it.
    one.learn(other.answer("a", 8.0), 8.0)
    assert not one.accepts(8.0)


def test_new_entry_is_introduced_before_it_commits() -> None:
    one, _ = _pair()
    new = _freshness("c")
    with pytest.raises(keys.CommitHeld):
        new.begin_commit(1.0)
    new.joined(frozenset("ac"), 1.0)
    with pytest.raises(keys.CommitHeld):
        new.begin_commit(1.0)
    new.learn(one.answer("c", 1.0), 1.0)
    new.begin_commit(1.0)


def test_peer_without_row_introduces_nobody() -> None:
    """Entries that forgot the peer would not learn of the new entry."""
    _, other = _pair()
    new = _freshness("c")
    # The row of "b" was deleted earlier, so "a" may have forgotten it.
    new.joined(frozenset("ac"), 1.0)
    new.learn(other.answer("c", 1.0), 1.0)
    other.answer("a", 1.0)
    new.learn(other.answer("c", 2.0), 2.0)
    with pytest.raises(keys.CommitHeld):
        new.begin_commit(2.0)


def test_departed_entry_is_needed_until_next_head_read() -> None:
    one, other = _pair()
    assert not one.may_remove("b", 1.0)
    one.learn(other.answer("a", 1.0), 1.0)
    assert one.may_remove("b", 1.0)
    assert not one.may_remove("a", 1.0)
    assert not one.may_remove("b", BOUND_S + 1.0)
    one.members(frozenset("a"), frozenset("a"), 2.0)
    assert not one.accepts(BOUND_S + 1.5)
    one.confirmed(1.9)
    assert not one.accepts(1.9 + BOUND_S + 1)
    one.confirmed(2.0)
    # It is the only entry now and continues.
    assert one.accepts(2.0 + BOUND_S + 1)
    # An entry that asks again is needed again.
    one.answer("b", 2.0 + BOUND_S + 1)
    assert not one.accepts(2.0 + BOUND_S + 1)


def test_entry_that_asked_after_the_read_is_not_forgotten() -> None:
    """Its newer row is not part of the members that were read."""
    one, _ = _pair()
    one.members(frozenset("a"), frozenset("a"), 2.0)
    one.answer("b", 3.0)
    one.confirmed(4.0)
    assert not one.accepts(4.0 + BOUND_S + 1)

"""Leases over a store that comes back from an older copy."""

import collections.abc
import typing

import attrs
import pytest

from bilberrydeal import errors
from bilberrydeal import leases
from bilberrydeal import ports
from bilberrydeal import store

BOUNDS = leases.LeaseBounds(ttl_s=6.0, margin_s=0.5, max_call_s=2.0)
#: Time that a successor waits, in seconds.
WAIT_S = 8.5
#: Steps of the time in the model, in seconds.
STEP_S = 3.0
#: Number of actions that the model plays in every order after each prefix.
DEPTH = 4

Result = typing.TypeVar("Result")


def run(work: collections.abc.Coroutine[object, object, Result]) -> Result:
    """Run a coroutine that never waits."""
    try:
        work.send(None)
    except StopIteration as end:
        return typing.cast(Result, end.value)
    raise AssertionError("a call waited")


@attrs.frozen
class Copy:
    """Rows and version of the store at one time."""

    rows: dict[tuple[str, str], ports.Row]
    version: int


@attrs.define
class Store:
    """Rows in one era; transactions may be applied late."""

    era: int | None = 1
    version: int = 0
    rows: dict[tuple[str, str], ports.Row] = attrs.Factory(dict)
    late: list[ports.Transaction] = attrs.Factory(list)

    def apply(self, transaction: ports.Transaction) -> ports.Committed:
        for check in transaction.checks:
            row = self.rows.get((check.table, check.key))
            version = row.version if row else 0
            if version != check.version:
                raise errors.TableConflict(check.table, check.key, version)
        self.version += 1
        for write in transaction.writes:
            assert write.value is not None
            self.rows[write.table, write.key] = ports.Row(
                write.table, write.key, self.version, write.value
            )
        return ports.Committed((self.version,) * len(transaction.writes))

    def copy(self) -> Copy:
        return Copy(dict(self.rows), self.version)

    def restore(self, copy: Copy) -> None:
        self.rows = dict(copy.rows)
        self.version = copy.version
        if self.era is not None:
            self.era += 1


class Client(store.StoreClient):
    """A client that knows the era of its last response."""

    def __init__(self, shared: Store, clock: "Clock", name: str) -> None:
        self._shared = shared
        self._clock_of_world = clock
        self._name = name
        self._nonces = 0
        self.known_era: int | None = None
        #: What happens to the next commit: empty, ``lost`` or ``late``.
        self.next_fault = ""

    @property
    def era(self) -> int | None:
        return self.known_era

    def now_s(self) -> float:
        return self._clock_of_world.now_s

    def nonce(self) -> str:
        self._nonces += 1
        return f"{self._name}.{self._nonces}"

    async def read(
        self, keys: collections.abc.Sequence[ports.RowKey]
    ) -> tuple[ports.Row | None, ...]:
        self.known_era = self._shared.era
        return tuple(
            self._shared.rows.get((key.table, key.key)) for key in keys
        )

    async def commit_resolved(
        self,
        transaction: ports.Transaction,
        marker: ports.RowKey,
        nonce: str,
        marker_is_immutable: bool = False,
    ) -> ports.Committed:
        if transaction.era not in (None, self.known_era):
            raise errors.OutcomeUnknown("commit")
        fault, self.next_fault = self.next_fault, ""
        if fault == "late":
            self._shared.late.append(transaction)
            raise errors.OutcomeUnknown("commit")
        self.known_era = self._shared.era
        committed = self._shared.apply(transaction)
        if fault == "lost" or transaction.era not in (None, self.known_era):
            raise errors.OutcomeUnknown("commit")
        return committed


@attrs.define
class Clock:
    """The time of the model."""

    now_s: float = 1_000.0


@attrs.frozen
class Act:
    """A call under a lease, as its receiver sees it."""

    holder: str
    token: int
    at_s: float
    #: Latest time at which it takes effect.
    ends_s: float


class World:
    """Two processes that compete for a lease, and the calls that they make.

    Whoever holds the lease acts after each action.
    """

    def __init__(self, era: int | None = 1) -> None:
        self.clock = Clock()
        self.store = Store(era=era)
        self.copy = self.store.copy()
        self.acts: list[Act] = []
        self.clients = {
            name: Client(self.store, self.clock, name) for name in "ab"
        }
        self.leases = {
            name: leases.Lease(client, "duty", name, BOUNDS)
            for name, client in self.clients.items()
        }

    def play(self, action: str) -> None:
        """Play one action, let the holders act, and check."""
        kind, _space, name = action.partition(" ")
        if kind == "wait":
            self.clock.now_s += STEP_S
        elif kind == "copy":
            self.copy = self.store.copy()
        elif kind == "restore":
            self.store.restore(self.copy)
        elif kind == "deliver":
            self._deliver()
        else:
            if kind != "tick":
                self.clients[name].next_fault = kind
            run(self.leases[name].tick())
            self.clients[name].next_fault = ""
        for holder in "ab":
            self._act(holder)

    def _deliver(self) -> None:
        for transaction in self.store.late:
            try:
                self.store.apply(transaction)
            except errors.TableConflict:
                continue
        self.store.late.clear()

    def _act(self, name: str) -> None:
        lease, now_s = self.leases[name], self.clock.now_s
        if not lease.is_held(now_s):
            return
        call_s = min(lease.remaining_s(now_s), BOUNDS.max_call_s)
        act = Act(name, lease.fence(now_s), now_s, now_s + call_s)
        for before in self.acts:
            if before.holder == name:
                continue
            assert before.token < act.token, "token given out twice or lower"
            assert before.ends_s <= now_s, "calls of two holders overlap"
        returned = self._left_and_returned(name)
        assert returned is None or now_s - returned >= BOUNDS.ttl_s, "A, B, A"
        self.acts.append(act)

    def _left_and_returned(self, name: str) -> float | None:
        """Return when a holder acted last before another one did."""
        last = [act for act in self.acts if act.holder != name]
        if not last:
            return None
        earlier = [
            act.at_s
            for act in self.acts
            if act.holder == name and act.at_s <= last[-1].at_s
        ]
        return max(earlier, default=None)

    def state(self) -> object:
        """Return what determines how the world goes on."""
        return (
            self.store.era,
            self.store.version,
            tuple(sorted((k, str(v)) for k, v in self.store.rows.items())),
            str(self.store.late),
            str(self.copy),
            tuple(
                (
                    self.clients[name].known_era,
                    str(
                        {
                            key: value
                            for key, value in vars(lease).items()
                            if key not in ("_client", "_lock")
                        }
                    ),
                )
                for name, lease in self.leases.items()
            ),
            self.clock.now_s,
            tuple(self.acts),
        )


ACTIONS = (
    *(f"{kind} {name}" for kind in ("tick", "lost", "late") for name in "ab"),
    "copy",
    "restore",
    "deliver",
    "wait",
)


def replay(path: tuple[str, ...]) -> World:
    """Return the world after some actions."""
    world = World()
    for action in path:
        world.play(action)
    return world


def search(prefix: tuple[str, ...], depth: int) -> int:
    """Play all orders of actions after a prefix; return the states found."""
    frontier = [prefix]
    seen: set[object] = {hash(replay(prefix).state())}
    for _level in range(depth):
        reached = []
        for path in frontier:
            for action in ACTIONS:
                try:
                    world = replay((*path, action))
                except AssertionError as error:
                    raise AssertionError((*path, action)) from error
                state = hash(world.state())
                if state not in seen:
                    seen.add(state)
                    reached.append((*path, action))
        frontier = reached
    return len(seen)


#: The first process holds the lease, and the second one has seen it.
HELD = ("tick a", "tick b", "wait", "wait", "wait", "tick a", "tick b")
#: A second restore, after the holder acquired the lease anew.
RENEWED = (*HELD, "restore", "tick a", "tick b")
#: The second process took over in the second era.
TAKEN_OVER = (*HELD, "restore", "tick b", "wait", "wait", "wait", "tick b")
#: The second process is about to take over.
EXPIRED = (*HELD, "copy", "wait", "wait", "wait")
#: The second process has not seen the token that the copy lacks.
UNSEEN = (*HELD[:-1], "restore", "tick b", "wait", "wait", "wait")
#: The row has again the version at which the second process saw it first.
SAME_VERSION = (*HELD, "wait", "tick a", "wait", "restore", "tick a")
#: The second process acquires the lease late, in the first or second era
#: after, on rows of the versions that it has checked.
LATE_ANEW = ("tick a", *("wait",) * 3, "tick a", "deliver", "tick b")
LATE = (*HELD, *("wait",) * 3, "late b", "restore", *LATE_ANEW, "wait", "wait")
LATE_TWICE = (
    *HELD,
    *("wait",) * 3,
    "late b",
    "restore",
    "restore",
    *LATE_ANEW,
    "wait",
    "wait",
)
PREFIXES = {
    "new": (),
    "held": HELD,
    "renewed": RENEWED,
    "taken over": TAKEN_OVER,
    "expired": EXPIRED,
    "unseen": UNSEEN,
    "same version": SAME_VERSION,
    "late": LATE,
    "late twice": LATE_TWICE,
}


@pytest.mark.parametrize("prefix", PREFIXES)
def test_no_order_of_restores_and_takeovers_breaks_a_lease(
    prefix: str,
) -> None:
    """Tokens are unique and rise, and holders take turns only after a TTL."""
    assert search(PREFIXES[prefix], DEPTH) > 100


@pytest.mark.parametrize("copied", [False, True])
def test_holder_acts_on_after_a_restore(copied: bool) -> None:
    """The rows of the copy name the holder, or nobody."""
    world = replay(HELD)
    token = world.acts[-1].token
    if copied:
        world.play("copy")
    world.play("restore")
    world.play("tick a")
    assert world.leases["a"].is_held(world.clock.now_s)
    assert world.acts[-1].token > token


def test_lease_is_not_held_once_a_new_era_is_known() -> None:
    """Other calls of the process may be the first to show the new era."""
    world = replay(HELD)
    world.play("restore")
    world.clients["a"].known_era = world.store.era
    now_s = world.clock.now_s
    assert not world.leases["a"].is_held(now_s)
    with pytest.raises(leases.LeaseLost):
        world.leases["a"].transaction(now_s, ())
    assert world.leases["a"].may_renew(now_s)
    world.play("tick a")
    assert world.leases["a"].is_held(now_s)


def test_expired_lease_is_not_acquired_anew_without_a_wait() -> None:
    world = replay((*HELD, "wait", "wait", "restore", "tick a"))
    assert not world.leases["a"].may_renew(world.clock.now_s)
    for _ in range(int(WAIT_S // STEP_S)):
        world.play("wait")
        world.play("tick a")
        assert not world.leases["a"].is_held(world.clock.now_s)
    world.play("wait")
    world.play("tick a")
    assert world.leases["a"].is_held(world.clock.now_s)


@pytest.mark.parametrize("era", [None, 1])
def test_released_lease_is_acquired_at_once_within_an_era(
    era: int | None,
) -> None:
    world = World(era)
    for action in HELD:
        world.play(action)
    world.acts.clear()
    run(world.leases["a"].release())
    world.play("tick b")
    assert world.leases["b"].is_held(world.clock.now_s)


def test_tokens_without_an_era_are_small() -> None:
    world = World(era=None)
    world.play("tick a")
    assert world.acts[-1].token == 1

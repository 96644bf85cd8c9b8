"""Gateways that learn by hints when to poll the store."""

import collections.abc
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from ... import ports
from ..cluster_state import _freshness
from ..cluster_state import _store_hints
from ..messaging import _datagrams

#: Time within which gateways must know a change, in seconds.
LIMIT_S = 3.0
#: Step of the simulation, in seconds.
STEP_S = 0.05
#: Pause between polls of a gateway without hints, in seconds.
PAUSE_S = 0.85
GATEWAYS = 12
TABLE = "endpoints"


@attrs.define
class Store:
    """A table whose version grows with each write."""

    number: int = 1
    era: int = 1
    #: Version of the last change that matters, with its time.
    changed: tuple[ports.StoreVersion, float] = (
        ports.StoreVersion(0, 1),
        0.0,
    )

    @property
    def version(self) -> ports.StoreVersion:
        """Return the latest version."""
        return ports.StoreVersion(self.number, self.era)

    def write(self, matters: bool, now_s: float) -> None:
        """Write a row."""
        self.number += 1
        if matters:
            self.changed = (self.version, now_s)

    def restore(self, writes: int, now_s: float) -> None:
        """Lose the last writes; what matters is written again."""
        self.number = max(self.number - writes, 0)
        self.era += 1
        self.write(matters=True, now_s=now_s)


class FakeDatagrams(_datagrams.Datagrams):
    """Hands datagrams to the network of the simulation."""

    def __init__(
        self, deliver: collections.abc.Callable[[bytes], None]
    ) -> None:
        super().__init__()
        self._deliver = deliver

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Send a datagram to all other gateways."""
        self._deliver(self.encode(datagram))
        return 0


@attrs.define(eq=False)
class Gateway:
    """A gateway of the simulation."""

    position: int
    hints: _store_hints.StoreHints = attrs.field(init=False)
    datagrams: FakeDatagrams = attrs.field(init=False)
    table: _store_hints.FollowedTable = attrs.field(init=False)
    #: It runs and reaches the store from then on.
    well_from_s: float = 0.0
    #: It does not run until then.
    frozen_until_s: float = 0.0
    polled_s: float = -10.0
    hinted_s: float = -10.0
    #: Version of the last change that it knows.
    known: ports.StoreVersion = ports.StoreVersion(-1, 0)
    polls: int = 0


class World:
    """Gateways, the network between them and a store."""

    def __init__(self, seed: int, loss: float) -> None:
        self.now_s = 0.0
        self.store = Store()
        self._rng = random.Random(seed)
        self._loss = loss
        self._in_flight: list[tuple[float, Gateway, bytes]] = []
        self.gateways = [self._gateway(n) for n in range(GATEWAYS)]

    def _gateway(self, position: int) -> Gateway:
        gateway = Gateway(position)
        gateway.datagrams = FakeDatagrams(
            lambda data: self._deliver(gateway, data)
        )
        gateway.hints = _store_hints.StoreHints(
            gateway.datagrams,
            f"g{position}",
            lambda: (("127.0.0.1", 1),) * (GATEWAYS - 1),
            lambda: position,
            3,
            LIMIT_S,
            lambda: self.now_s,
        )
        gateway.table = gateway.hints.follow(TABLE)
        return gateway

    def _deliver(self, sender: Gateway, data: bytes) -> None:
        """Lose some datagrams, and delay and reorder the others."""
        for gateway in self.gateways:
            if gateway is not sender and self._rng.random() >= self._loss:
                at_s = self.now_s + self._rng.uniform(0.0, 0.3)
                self._in_flight.append((at_s, gateway, data))

    async def step(self) -> None:
        """Advance the time by one step."""
        self.now_s += STEP_S
        self.store.write(matters=False, now_s=self.now_s)
        due = [each for each in self._in_flight if each[0] <= self.now_s]
        self._in_flight = [
            each for each in self._in_flight if each[0] > self.now_s
        ]
        for _at_s, gateway, data in due:
            gateway.datagrams.datagram_received(data, ("127.0.0.1", 1))
        for gateway in self.gateways:
            if self.now_s >= gateway.frozen_until_s:
                await self._run(gateway)
        self._check()

    async def _run(self, gateway: Gateway) -> None:
        pause_s = PAUSE_S
        if gateway.hints.relies_on(gateway.table):
            pause_s = gateway.table.due_s() - gateway.polled_s
        if self.now_s - gateway.polled_s >= pause_s:
            self._poll(gateway)
        if self.now_s - gateway.hinted_s >= _store_hints.HINT_INTERVAL_S:
            gateway.hinted_s = self.now_s
            await gateway.hints.run_once()

    def _poll(self, gateway: Gateway) -> None:
        gateway.polled_s = self.now_s
        if self.now_s < gateway.well_from_s:
            return
        gateway.polls += 1
        version = self.store.version
        before = gateway.table.version
        assert before is None or not before.newer_than(version)
        changed, _at_s = self.store.changed
        gateway.table.note_poll(version, changed != gateway.known, self.now_s)
        gateway.known = changed

    def _check(self) -> None:
        changed, at_s = self.store.changed
        for gateway in self.gateways:
            since_s = max(at_s, gateway.well_from_s, gateway.frozen_until_s)
            if self.now_s - since_s > LIMIT_S:
                assert gateway.known == changed, gateway.position


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["change", "restore", "freeze", "cut", "calm"]
        ),
        strategies.integers(0, 4),
        strategies.integers(1, 120),
        strategies.integers(0, 40),
    ),
    max_size=16,
)
#: All watchers lose the store just before a change.
WATCHERS_CUT = [
    ("calm", 0, 1, 40),
    *(("cut", position, 120, 0) for position in range(3)),
    ("change", 0, 1, 40),
]
#: All watchers stop just before a change.
WATCHERS_FROZEN = [
    ("calm", 0, 1, 40),
    *(("freeze", position, 120, 0) for position in range(3)),
    ("change", 0, 1, 40),
]


#: The store goes back, and again, while the watchers know a higher version.
RESTORED_TWICE = [
    ("calm", 0, 1, 40),
    ("change", 0, 1, 20),
    ("restore", 0, 60, 20),
    ("restore", 0, 30, 40),
    ("change", 0, 1, 40),
]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.example(RESTORED_TWICE, 1, 0.0)
@hypothesis.example(WATCHERS_CUT, 1, 0.0)
@hypothesis.example(WATCHERS_FROZEN, 1, 0.0)
@hypothesis.given(
    EVENTS,
    strategies.integers(0, 2**32),
    strategies.sampled_from([0.0, 0.05, 0.5, 1.0]),
)
async def test_every_change_is_known_in_time(
    events: list[tuple[str, int, int, int]], seed: int, loss: float
) -> None:
    """Datagrams are lost, late and out of order; watchers freeze or are cut.

    No gateway goes back to an older version.
    """
    world = World(seed, loss)
    for kind, position, lasting_steps, steps in events:
        gateway = world.gateways[position]
        until_s = world.now_s + lasting_steps * STEP_S
        if kind == "change":
            world.store.write(matters=True, now_s=world.now_s)
        elif kind == "restore":
            world.store.restore(lasting_steps, world.now_s)
        elif kind == "freeze":
            gateway.frozen_until_s = until_s
        elif kind == "cut":
            gateway.well_from_s = until_s
        for _ in range(steps):
            await world.step()
    for _ in range(int(2 * LIMIT_S / STEP_S)):
        await world.step()


@pytest.mark.parametrize(("loss", "most_share"), [(0.0, 0.4), (0.05, 0.5)])
async def test_hints_save_most_polls(loss: float, most_share: float) -> None:
    """Only the watchers poll all the time."""
    world = World(5, loss)
    for _ in range(int(60.0 / STEP_S)):
        await world.step()
    polls = sum(gateway.polls for gateway in world.gateways)
    assert polls < most_share * GATEWAYS * 60.0 / PAUSE_S


@pytest.mark.parametrize(
    ("peers", "watchers", "apply_limit_s", "used"),
    [
        (4, 3, 3.0, False),
        (30, 3, 2.0, False),
        (30, 0, 3.0, False),
        (30, 3, 3.0, True),
    ],
)
def test_hints_are_used_in_larger_fleets_with_time_for_a_poll(
    peers: int, watchers: int, apply_limit_s: float, used: bool
) -> None:
    hints = _store_hints.StoreHints(
        _datagrams.Datagrams(),
        "g1",
        lambda: (("127.0.0.1", 1),) * peers,
        lambda: 7,
        watchers,
        apply_limit_s,
        lambda: 0.0,
    )
    assert hints.used is used
    assert hints.watching is not used


def test_hint_of_a_version_that_the_store_lacks_is_dropped() -> None:
    table = _store_hints.FollowedTable()
    table.note_poll(ports.StoreVersion(10), False, 1.0)
    table.note_hint(ports.StoreVersion(1_000), 4.0, 5.0)
    assert table.due_s() < 1.0
    table.note_poll(ports.StoreVersion(11), False, 1.1)
    assert table.due_s() == 5.0


@pytest.mark.parametrize(
    ("hint", "outdated", "valid"),
    [
        (ports.StoreVersion(9, 2), False, True),
        (ports.StoreVersion(11, 2), True, True),
        # Of the era before: its versions were given out again.
        (ports.StoreVersion(11, 1), False, False),
        (ports.StoreVersion(11, None), False, False),
        # Of an era that this gateway has not seen.
        (ports.StoreVersion(0, 3), True, True),
    ],
)
def test_hint_is_compared_with_its_era(
    hint: ports.StoreVersion, outdated: bool, valid: bool
) -> None:
    table = _store_hints.FollowedTable()
    table.note_poll(ports.StoreVersion(10, 2), False, 1.0)
    table.note_hint(hint, 4.0, 5.0)
    assert table.outdated is outdated
    assert (table.hints_valid_until_s == 5.0) is valid


def test_hints_of_a_new_era_name_no_version_of_the_old_one() -> None:
    table = _store_hints.FollowedTable()
    table.note_poll(ports.StoreVersion(10, 1), True, 1.0)
    table.note_poll(ports.StoreVersion(4, 2), False, 2.0)
    assert table.changed_version == ports.StoreVersion(0, 2)


@pytest.mark.parametrize(
    ("hint", "may_deny", "may_use"),
    [
        # Nothing has changed since what is known.
        (ports.StoreVersion(9), True, True),
        (ports.StoreVersion(10), True, True),
        (ports.StoreVersion(11), False, False),
    ],
)
def test_hint_tells_whether_what_is_known_is_the_newest(
    hint: ports.StoreVersion, may_deny: bool, may_use: bool
) -> None:
    """Gateways that rely on hints refused requests between their polls."""
    freshness = _freshness.TableFreshness(LIMIT_S)
    table = _store_hints.FollowedTable(freshness)
    table.note_poll(ports.StoreVersion(10), False, 1.0)
    freshness.note_confirmed(1.0)
    table.note_hint(hint, 4.0, 5.0)
    assert freshness.may_deny(6.0) is may_deny
    assert freshness.may_use(6.0) is may_use

import collections

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal.systems.limits import _slots

#: How long a turn lasts here, in seconds.
TURN_S = 8.0


@attrs.frozen
class Division:
    """What some needs should give."""

    needs: tuple[float, ...]
    slots: int
    shares: tuple[int, ...]


def shares(
    needs: tuple[float, ...],
    slots: int,
    turns: _slots.Turns | None = None,
    now_s: float = 0.0,
) -> tuple[int, ...]:
    named = {f"e{number:03d}": need for number, need in enumerate(needs)}
    found = _slots.slot_shares(
        named, slots, slots, turns or _slots.Turns(), now_s, TURN_S
    )
    return tuple(found[name] for name in named)


@pytest.mark.parametrize(
    "division",
    [
        Division((), 4, ()),
        Division((1.0, 1.0), 0, (0, 0)),
        Division((0.0, 0.0, 0.0), 6, (2, 2, 2)),
        Division((10.0, 10.0), 8, (4, 4)),
        # An idle entry keeps one where there are plenty.
        Division((3.0, 0.0), 12, (10, 2)),
        # One turn goes round; all others go where they are filled.
        Division((40.0, 0.2, 0.2), 10, (9, 1, 0)),
        Division((5_000.0, 5_000.0), 4_000, (2_000, 2_000)),
    ],
)
def test_slots_go_where_they_are_filled(division: Division) -> None:
    assert shares(division.needs, division.slots) == division.shares


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(st.floats(0.0, 200.0), min_size=1, max_size=60),
    st.integers(0, 3_000),
)
def test_no_more_is_divided_than_there_is(
    needs: list[float], slots: int
) -> None:
    found = shares(tuple(needs), slots)
    assert min(found) >= 0
    group = -(-slots // _slots.UNITS_LIMIT)
    assert slots - group < sum(found) <= slots or not slots


def test_every_entry_in_need_gets_its_turn() -> None:
    needs = (40.0, *[0.3] * 7)
    turns = _slots.Turns()
    held: collections.Counter[int] = collections.Counter()
    for step in range(28):
        found = shares(needs, 10, turns, step * TURN_S / 2)
        held.update(n for n, slots in enumerate(found[1:]) if slots)
        assert sum(found) == 10
    assert sorted(held) == list(range(7))
    assert set(held.values()) == {4}


def test_all_take_turns_where_nothing_is_lost() -> None:
    turns = _slots.Turns()
    held = [shares((0.5,) * 12, 6, turns, step * TURN_S) for step in range(4)]
    assert [sum(each) for each in held] == [6] * 4
    assert [sum(each) for each in zip(*held, strict=True)] == [2] * 12


@pytest.mark.parametrize(
    ("concurrency", "slots"), [(1.0, 1), (19.0, 19), (20.0, 21), (64.0, 67)]
)
def test_the_stated_error_bounds_what_is_allowed(
    concurrency: float, slots: int
) -> None:
    assert _slots.allowed(concurrency) == slots
    assert slots <= concurrency * 1.05

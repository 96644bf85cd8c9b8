import collections

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal.systems.limits import _slots

#: Length of a time slice, in seconds.
TIME_SLICE_S = 8.0


@attrs.frozen
class Division:
    """Needs of entries and the expected shares."""

    needs: tuple[float, ...]
    slots: int
    shares: tuple[int, ...]


def shares(
    needs: tuple[float, ...],
    slots: int,
    time_sharing: _slots.SlotTimeSharing | None = None,
    now_s: float = 0.0,
) -> tuple[int, ...]:
    named = {f"e{number:03d}": need for number, need in enumerate(needs)}
    found = _slots.slot_shares(
        named,
        slots,
        slots,
        time_sharing or _slots.SlotTimeSharing(),
        now_s,
        TIME_SLICE_S,
    )
    return tuple(found[name] for name in named)


@pytest.mark.parametrize(
    "division",
    [
        Division((), 4, ()),
        Division((1.0, 1.0), 0, (0, 0)),
        Division((0.0, 0.0, 0.0), 6, (2, 2, 2)),
        Division((10.0, 10.0), 8, (4, 4)),
        # An idle entry keeps slots that no other entry needs.
        Division((3.0, 0.0), 12, (10, 2)),
        # One slot is shared over time; the others go where they are used.
        Division((40.0, 0.2, 0.2), 10, (9, 1, 0)),
        Division((5_000.0, 5_000.0), 4_000, (2_000, 2_000)),
    ],
)
def test_slots_go_where_they_are_used(division: Division) -> None:
    """Guards against slots granted to entries that leave them idle."""
    assert shares(division.needs, division.slots) == division.shares


# Guards against negative shares and against granting too many or too few
# slots in total.
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


def test_every_unserved_entry_gets_a_time_slice() -> None:
    """Guards against starvation of entries that need less than one slot."""
    needs = (40.0, *[0.3] * 7)
    time_sharing = _slots.SlotTimeSharing()
    held: collections.Counter[int] = collections.Counter()
    for step in range(28):
        found = shares(needs, 10, time_sharing, step * TIME_SLICE_S / 2)
        held.update(n for n, slots in enumerate(found[1:]) if slots)
        assert sum(found) == 10
    assert sorted(held) == list(range(7))
    assert set(held.values()) == {4}


def test_equal_entries_share_all_slots_over_time() -> None:
    """Guards against unequal time slices if sharing loses no utilisation."""
    time_sharing = _slots.SlotTimeSharing()
    held = [
        shares((0.5,) * 12, 6, time_sharing, step * TIME_SLICE_S)
        for step in range(4)
    ]
    assert [sum(each) for each in held] == [6] * 4
    assert [sum(each) for each in zip(*held, strict=True)] == [2] * 12


@pytest.mark.parametrize(
    ("concurrency", "slots"), [(1.0, 1), (19.0, 19), (20.0, 21), (64.0, 67)]
)
def test_tolerance_bounds_the_concurrency(
    concurrency: float, slots: int
) -> None:
    """Guards against concurrency more than 5% above the limit."""
    assert _slots.max_concurrency(concurrency) == slots
    assert slots <= concurrency * 1.05

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal.systems import queueing
from bilberrydeal.systems.queueing import _demand

SLOTS = 16
WEIGHTS = (1.0, 2.0, 5.0)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.floats(0.0, 600.0)),
        min_size=1,
        max_size=60,
    )
)
def test_none_claims_more_than_its_share(
    requests: list[tuple[int, float]],
) -> None:
    demand = _demand.Demand()
    for number, weight in enumerate(WEIGHTS):
        demand.claim(str(number), weight, 0.0, SLOTS, 0.0)
    claimed_s = [0.0, 0.0, 0.0]
    asked_s = [0.0, 0.0, 0.0]
    for number, run_time_s in requests:
        claimed_s[number] += demand.claim(
            str(number), WEIGHTS[number], run_time_s, SLOTS, 0.0
        )
        asked_s[number] += run_time_s
    for number, weight in enumerate(WEIGHTS):
        share_s = SLOTS * weight / sum(WEIGHTS) * _demand.MEMORY_S
        expected_s = min(asked_s[number], share_s)
        assert claimed_s[number] == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ("quiet_s", "known", "part"),
    [(1.0, 2, 0.25), (_demand.FORGET_S + 1.0, 1, 1.0)],
)
def test_who_sends_nothing_has_no_share(
    quiet_s: float, known: int, part: float
) -> None:
    demand = _demand.Demand()
    demand.claim("quiet", 3.0, 1.0, SLOTS, 0.0)
    counted_s = demand.claim("busy", 1.0, 1e9, SLOTS, quiet_s)
    assert len(demand) == known
    assert counted_s == pytest.approx(part * SLOTS * _demand.MEMORY_S)


@pytest.mark.parametrize(("senders", "expected"), [(1, 8), (8, 13)])
def test_a_flood_keeps_no_more_slots_than_its_share(
    senders: int, expected: int
) -> None:
    """One of eight is due 2 slots; with a burst of them, 3 are kept free."""
    queue = queueing.WeightedFair()
    assert queue.pop(0.0, SLOTS) is None
    for number in range(senders):
        queue.push(_request(f"first{number}", f"{number}", 0, 0.0), 0.0)
    for number in range(400):
        queue.push(_request(f"short{number}", "0", 0, 2.0), 0.0)
    for number in range(max(senders, 400)):
        queue.remove(f"first{number}")
        queue.remove(f"short{number}")
    for number in range(SLOTS):
        queue.push(_request(f"long{number}", f"{senders - 1}", 2, 60.0), 0.0)
    begun = 0
    while queue.pop(0.0, SLOTS) is not None:
        begun += 1
    assert begun == expected


def _request(
    key: str, organisation: str, request_class: int, run_time_s: float
) -> queueing.QueuedRequest:
    return queueing.QueuedRequest(
        key,
        organisation,
        1.0,
        request_class,
        1_000.0,
        10.0,
        0.0,
        run_time_s,
    )

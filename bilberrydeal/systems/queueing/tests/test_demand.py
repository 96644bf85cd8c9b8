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
def test_counted_demand_is_bounded_by_the_share(
    requests: list[tuple[int, float]],
) -> None:
    """Guards against counting demand beyond an organisation's share."""
    demand = _demand.Demand()
    for number, weight in enumerate(WEIGHTS):
        demand.record_request(str(number), weight, 0.0, SLOTS, 0.0)
    counted_s = [0.0, 0.0, 0.0]
    requested_s = [0.0, 0.0, 0.0]
    for number, run_time_s in requests:
        counted_s[number] += demand.record_request(
            str(number), WEIGHTS[number], run_time_s, SLOTS, 0.0
        )
        requested_s[number] += run_time_s
    for number, weight in enumerate(WEIGHTS):
        share_s = SLOTS * weight / sum(WEIGHTS) * _demand.DECAY_TIME_S
        expected_s = min(requested_s[number], share_s)
        assert counted_s[number] == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ("quiet_s", "known", "part"),
    [(1.0, 2, 0.25), (_demand.IDLE_TIMEOUT_S + 1.0, 1, 1.0)],
)
def test_idle_organisations_have_no_share(
    quiet_s: float, known: int, part: float
) -> None:
    """Guards against idle organisations keeping a share of the slots."""
    demand = _demand.Demand()
    demand.record_request("quiet", 3.0, 1.0, SLOTS, 0.0)
    counted_s = demand.record_request("busy", 1.0, 1e9, SLOTS, quiet_s)
    assert len(demand) == known
    assert counted_s == pytest.approx(part * SLOTS * _demand.DECAY_TIME_S)


@pytest.mark.parametrize(("senders", "expected"), [(1, 8), (8, 13)])
def test_flood_reserves_no_more_slots_than_its_share(
    senders: int, expected: int
) -> None:
    """Guards against a flood of short requests reserving too many slots.

    The share of one of eight senders is 2 slots; allowing for bursts, 3 are
    reserved.
    """
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
    started = 0
    while queue.pop(0.0, SLOTS) is not None:
        started += 1
    assert started == expected


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

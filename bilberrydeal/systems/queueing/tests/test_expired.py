from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal.systems import queueing

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 4.0}
#: With this deadline and run time the safe start is at 87, the latest at 90.
DEADLINE_S = 100.0
RUN_TIME_S = 10.0


def item(
    key: str, organisation: str, cost: float, deadline_s: float
) -> queueing.QueuedRequest:
    return queueing.QueuedRequest(
        key,
        organisation,
        WEIGHTS[organisation],
        1,
        deadline_s,
        cost,
        0.0,
        RUN_TIME_S,
    )


@pytest.mark.parametrize(
    ("now_s", "waiting", "expected"),
    [
        pytest.param(86.0, {"a": 9, "b": 2}, {}, id="all can start safely"),
        pytest.param(88.0, {"a": 9, "b": 2}, {"a": 7}, id="one large backlog"),
        pytest.param(88.0, {"a": 2, "b": 4, "c": 8}, {}, id="equal backlogs"),
        pytest.param(88.0, {"a": 9}, {}, id="single organisation"),
        pytest.param(91.0, {"a": 3, "b": 2}, {"a": 3, "b": 2}, id="late"),
    ],
)
def test_large_backlogs_lose_requests_that_may_end_late(
    now_s: float, waiting: dict[str, int], expected: dict[str, int]
) -> None:
    """Guards against starting requests of a large backlog too late."""
    queue = queueing.WeightedFair()
    for name, count in waiting.items():
        for number in range(count):
            queue.push(item(f"{name}{number}", name, 1.0, DEADLINE_S), 0.0)
    removed: dict[str, int] = {}
    for late in queue.pop_expired(now_s):
        removed[late.organisation] = removed.get(late.organisation, 0) + 1
    assert removed == expected


# Guards against removing requests that could meet their deadline. Safe starts
# are one second apart, and the queue is checked between them.
@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(WEIGHTS)), st.integers(1, 64)),
        min_size=1,
        max_size=40,
    )
)
@example([("c", 24), ("a", 1), ("a", 1), ("a", 12), ("c", 32)])
def test_none_within_its_share_loses_what_can_end_in_time(
    requests: list[tuple[str, int]],
) -> None:
    """Looked at before each request that should begin, one a second."""
    queue = queueing.WeightedFair()
    waiting = {}
    for number, (name, cost) in enumerate(requests):
        one = item(str(number), name, float(cost), DEADLINE_S + number)
        queue.push(one, 0.0)
        waiting[one.key] = one
    for second in range(len(requests) + 4):
        now_s = DEADLINE_S - 1.3 * RUN_TIME_S + second + 0.5
        shares = _over_shares(waiting)
        for late in queue.pop_expired(now_s):
            if late.latest_start_s >= now_s:
                assert shares[late.organisation] > 1.0
            else:
                assert late.latest_start_s >= now_s - 1.0
            del waiting[late.key]
    assert not waiting
    assert len(queue) == 0


def _over_shares(
    waiting: dict[str, queueing.QueuedRequest],
) -> dict[str, float]:
    """Return each organisation's waiting cost relative to its share."""
    costs: dict[str, float] = {}
    for one in waiting.values():
        costs[one.organisation] = costs.get(one.organisation, 0.0) + one.cost
    weight = sum(WEIGHTS[name] for name in costs)
    whole = sum(costs.values())
    return {
        name: cost * weight / (whole * WEIGHTS[name])
        for name, cost in costs.items()
    }

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal.systems import queueing

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 4.0}
#: Requests of this deadline and run time should begin at 87 and must at 90.
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
        pytest.param(86.0, {"a": 9, "b": 2}, {}, id="all can begin"),
        pytest.param(88.0, {"a": 9, "b": 2}, {"a": 7}, id="one has plenty"),
        pytest.param(88.0, {"a": 2, "b": 4, "c": 8}, {}, id="all alike"),
        pytest.param(88.0, {"a": 9}, {}, id="one alone"),
        pytest.param(91.0, {"a": 3, "b": 2}, {"a": 3, "b": 2}, id="late"),
    ],
)
def test_who_has_plenty_gives_up_what_may_end_late(
    now_s: float, waiting: dict[str, int], expected: dict[str, int]
) -> None:
    queue = queueing.WeightedFair()
    for name, count in waiting.items():
        for number in range(count):
            queue.push(item(f"{name}{number}", name, 1.0, DEADLINE_S), 0.0)
    given_up: dict[str, int] = {}
    for late in queue.expired(now_s):
        given_up[late.organisation] = given_up.get(late.organisation, 0) + 1
    assert given_up == expected


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(WEIGHTS)), st.integers(1, 64)),
        min_size=1,
        max_size=40,
    )
)
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
        for late in queue.expired(now_s):
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
    """Return what waits of each over its share of all that waits."""
    costs: dict[str, float] = {}
    for one in waiting.values():
        costs[one.organisation] = costs.get(one.organisation, 0.0) + one.cost
    weight = sum(WEIGHTS[name] for name in costs)
    whole = sum(costs.values())
    return {
        name: cost * weight / (whole * WEIGHTS[name])
        for name, cost in costs.items()
    }

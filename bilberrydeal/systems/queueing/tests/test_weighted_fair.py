import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal.systems import queueing

#: Maximum cost of a generated request.
COST_LIMIT = 100


def item(
    key: str, organisation: str, cost: float = 1.0, **fields: float
) -> queueing.QueuedRequest:
    request = queueing.QueuedRequest(
        key, organisation, 1.0, 1, 1_000.0, cost, 0.0
    )
    return attrs.evolve(request, **fields)  # type: ignore[arg-type]


def pop_key(queue: queueing.Queue, now_s: float = 0.0) -> str:
    found = queue.pop(now_s)
    assert found is not None
    return found.key


# Guards against served costs drifting apart relative to the weights: any two
# organisations differ by at most one request each.
@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.floats(1.0, 8.0), min_size=2, max_size=4),
    st.lists(st.integers(1, COST_LIMIT), min_size=30, max_size=60),
)
def test_backlogged_organisations_get_their_weights(
    weights: list[float], costs: list[int]
) -> None:
    """No two differ by more than one request each, over their weights."""
    queue = queueing.WeightedFair()
    for number, weight in enumerate(weights):
        for position, cost in enumerate(costs):
            key = f"{number}-{position}"
            queue.push(item(key, str(number), cost, weight=weight), 0.0)
    served = dict.fromkeys(map(str, range(len(weights))), 0.0)
    for _ in range(len(costs)):
        found = queue.pop(0.0)
        assert found is not None
        served[found.organisation] += found.cost / found.weight
    bound = 2.0 * COST_LIMIT / min(weights)
    assert max(served.values()) - min(served.values()) <= bound


def test_idling_earns_no_credit() -> None:
    """Guards against a burst of service for organisations that were idle."""
    queue = queueing.WeightedFair()
    for number in range(100):
        queue.push(item(f"busy{number}", "busy"), 0.0)
    for _ in range(50):
        assert pop_key(queue).startswith("busy")
    for number in range(20):
        queue.push(item(f"idle{number}", "idle"), 0.0)
    keys = [pop_key(queue) for _ in range(20)]
    assert sum(key.startswith("idle") for key in keys) in (9, 10, 11)


def test_actual_costs_are_charged() -> None:
    """Guards against sharing by estimated costs that are too low."""
    queue = queueing.WeightedFair()
    for number in range(40):
        queue.push(item(f"cheap{number}", "cheap"), 0.0)
        queue.push(item(f"dear{number}", "dear"), 0.0)
    served = {"cheap": 0, "dear": 0}
    for _ in range(40):
        found = queue.pop(0.0)
        assert found is not None
        served[found.organisation] += 1
        queue.record_end(found, 3.0 if found.organisation == "dear" else 1.0)
    assert served["cheap"] >= 2.5 * served["dear"]


def test_urgent_requests_overtake_lower_classes() -> None:
    """Guards against short requests delaying a long one past its deadline."""
    queue = queueing.WeightedFair()
    queue.push(item("long", "o", request_class=2, deadline_s=10.0), 0.0)
    for number in range(20):
        queue.push(
            item(f"short{number}", "o", request_class=0, deadline_s=99.0), 0.0
        )
    assert pop_key(queue, 0.0) == "short0"
    assert pop_key(queue, 9.5) == "long"


@pytest.mark.parametrize(
    ("slots", "expected"), [(8, 4), (4, 2), (2, 1), (None, 9)]
)
def test_slots_are_reserved_for_lower_classes(
    slots: int | None, expected: int
) -> None:
    """Guards against long requests occupying all slots.

    At most half of the slots are reserved for short requests.
    """
    queue = queueing.WeightedFair()
    for number in range(40):
        short = item(f"s{number}", "o", request_class=0, run_time_s=2.0)
        queue.push(short, 0.0)
        queue.remove(short.key)
    for number in range(9):
        long = item(f"l{number}", "o", request_class=2, run_time_s=60.0)
        queue.push(long, 0.0)
    started = 0
    while queue.pop(0.0, slots) is not None:
        started += 1
    assert started == expected


@pytest.mark.parametrize("name", queueing.QUEUES.names())
def test_late_requests_are_returned_and_cancelled_ones_removed(
    name: str,
) -> None:
    """Guards against serving late or cancelled requests."""
    queue = queueing.QUEUES.get(name)()
    queue.push(item("late", "o", deadline_s=5.0, run_time_s=2.0), 0.0)
    queue.push(item("gone", "o"), 0.0)
    queue.push(item("kept", "o"), 0.0)
    assert queue.remove("gone") is not None
    assert queue.remove("gone") is None
    assert queue.pop_expired(2.9) == []
    assert [late.key for late in queue.pop_expired(3.1)] == ["late"]
    assert len(queue) == 1
    assert pop_key(queue) == "kept"
    assert queue.pop(0.0) is None


def test_overflow_removes_from_the_largest_backlog() -> None:
    """Guards against a large backlog displacing other organisations."""
    queue = queueing.WeightedFair()
    queue.push(item("small", "small"), 0.0)
    for number in range(10):
        queue.push(item(f"big{number}", "big"), 0.0)
    shed = queue.pop_overflow(4, 0.0)
    assert [late.organisation for late in shed] == ["big"] * 7
    assert len(queue) == 4


def test_expected_wait_depends_on_the_organisation() -> None:
    """Guards against refusing requests because of another's backlog."""
    queue = queueing.WeightedFair()
    for number in range(200):
        queue.push(item(f"big{number}", "big", cost=10.0), 0.0)
    for second in range(20):
        queue.pop(float(second))
    soon = {"deadline_s": 50.0}
    big = item("one more", "big", cost=10.0, **soon)
    small = item("first", "small", cost=10.0, **soon)
    assert queueing.expected_lateness_s(queue, big, 20.0) > 100.0
    assert queueing.expected_lateness_s(queue, small, 20.0) == 0.0


# Guards against requests lost or duplicated by any sequence of calls.
@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["push", "pop", "remove", "expired", "ended"]),
            st.integers(0, 5),
            st.integers(0, 3),
        ),
        max_size=80,
    )
)
def test_nothing_is_lost_or_doubled(
    steps: list[tuple[str, int, int]],
) -> None:
    queue = queueing.WeightedFair()
    waiting: set[str] = set()
    last = None
    for number, (step, organisation, request_class) in enumerate(steps):
        now_s = float(number)
        if step == "push":
            queue.push(
                item(
                    f"r{number}",
                    f"o{organisation}",
                    request_class=request_class,
                    deadline_s=now_s + 5.0 * (organisation + 1),
                ),
                now_s,
            )
            waiting.add(f"r{number}")
        elif step == "pop":
            last = queue.pop(now_s)
            assert (last is None) == (not waiting)
            if last is not None:
                waiting.remove(last.key)
        elif step == "remove" and waiting:
            key = sorted(waiting)[0]
            assert queue.remove(key) is not None
            waiting.remove(key)
        elif step == "expired":
            waiting -= {late.key for late in queue.pop_expired(now_s)}
        elif step == "ended" and last is not None:
            queue.record_end(last, 50.0)
            last = None
        assert len(queue) == len(waiting)

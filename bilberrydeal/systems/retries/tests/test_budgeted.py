import attrs
import pytest

from bilberrydeal.systems import retries

ATTEMPT = retries.Attempt("route", "e0", 1, False, False, 100.0)


@pytest.mark.parametrize(
    ("change", "allowed"),
    [
        ({}, True),
        ({"started": True}, False),
        ({"started": True, "idempotent": True}, True),
        ({"number": 4}, False),
        ({"deadline_s": 0.5, "expected_s": 0.6}, False),
    ],
)
def test_only_safe_and_timely_retries_are_made(
    change: dict[str, object], allowed: bool
) -> None:
    """Guards against running a request twice and against futile retries."""
    retrier = retries.BudgetedRetrier(1)
    attempt = attrs.evolve(ATTEMPT, **change)  # type: ignore[arg-type]
    assert (retrier.delay_s(attempt, 0.0) is not None) == allowed


def test_retries_stay_below_a_share_of_the_successes() -> None:
    """Guards against retry storms while many requests fail."""
    retrier = retries.BudgetedRetrier(1)
    retried = 0
    for number in range(1_000):
        attempt = attrs.evolve(ATTEMPT, endpoint_id=f"e{number % 7}")
        retried += retrier.delay_s(attempt, 0.0) is not None
        if number % 2:
            retrier.succeeded("route", f"e{number % 7}", 0.0)
    assert retried <= 10 + 500 * 0.1


def test_one_endpoint_cannot_exhaust_the_route_budget() -> None:
    """Guards against a failing endpoint blocking retries at the others."""
    retrier = retries.BudgetedRetrier(1)
    while retrier.delay_s(ATTEMPT, 0.0) is not None:
        retrier.succeeded("route", "e1", 0.0)
    for _ in range(50):
        retrier.succeeded("route", "e1", 0.0)
    other = attrs.evolve(ATTEMPT, endpoint_id="e1")
    assert retrier.delay_s(ATTEMPT, 0.0) is None
    assert retrier.delay_s(other, 0.0) is not None

"""Tests that extra sends stay within this process's share."""

import pytest

from ... import retries

LIMITS = retries.WindowLimits(window_s=10.0, ratio=0.2, base_allowance=50.0)


def _granted(budget: retries.WindowBudget, members: int, now_s: float) -> int:
    granted = 0
    while budget.permits("shop", 1, members, now_s):
        budget.spend("shop", now_s)
        granted += 1
    return granted


def test_base_allowance_is_divided_between_members() -> None:
    """Guards against each process using the whole base allowance."""
    assert _granted(retries.WindowBudget(LIMITS), 1, 0.0) == 35
    assert _granted(retries.WindowBudget(LIMITS), 5, 0.0) == 7


def test_requests_increase_the_budget() -> None:
    """Guards against a budget that ignores the request rate."""
    budget = retries.WindowBudget(LIMITS)
    for _ in range(100):
        budget.record_request("shop", 0.0)
    assert _granted(budget, 5, 0.0) == 21
    assert _granted(budget, 5, 5.0) == 0


def test_extra_sends_expire_with_the_window() -> None:
    """Guards against a budget that never recovers."""
    budget = retries.WindowBudget(LIMITS)
    _granted(budget, 5, 0.0)
    assert _granted(budget, 5, 10.1) == 7


def test_services_have_separate_budgets() -> None:
    """Guards against one service exhausting the budget of another."""
    budget = retries.WindowBudget(LIMITS)
    _granted(budget, 5, 0.0)
    assert budget.permits("other", 1, 5, 0.0)


def test_reserved_sends_count_until_they_are_released() -> None:
    """Guards against releases that restore nothing or too much."""
    budget = retries.WindowBudget(LIMITS)
    for _ in range(6):
        budget.spend("shop", 0.0)
    assert budget.reserve("shop", 1, 5, 0.0)
    assert not budget.permits("shop", 1, 5, 0.0)
    budget.release("shop", 1)
    assert budget.permits("shop", 1, 5, 0.0)
    assert not budget.permits("shop", 2, 5, 0.0)


def test_requests_that_fail_together_share_what_is_left() -> None:
    """Guards against each of them getting the same part of the budget."""
    budget = retries.WindowBudget(LIMITS)
    granted = [budget.reserve("shop", 2, 5, 0.0) for _ in range(10)]
    assert granted.count(True) == 3


@pytest.mark.parametrize(
    ("now_s", "granted"), [(100.0, 0), (109.9, 0), (110.0, 7), (500.0, 7)]
)
def test_new_process_has_no_base_allowance_for_a_window(
    now_s: float, granted: int
) -> None:
    """Guards against sends of the process before that count as well."""
    budget = retries.WindowBudget(LIMITS, started_s=100.0)
    assert _granted(budget, 5, now_s) == granted


def test_new_process_uses_what_its_own_requests_allow() -> None:
    """Guards against a new process that never retries."""
    budget = retries.WindowBudget(LIMITS, started_s=100.0)
    for _ in range(100):
        budget.record_request("shop", 100.0)
    assert _granted(budget, 5, 100.0) == 14

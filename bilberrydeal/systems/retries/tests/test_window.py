"""Extra sends stay within this process's share."""

from ... import retries

BOUNDS = retries.WindowBounds(window_s=10.0, ratio=0.2, slack=50.0)


def _granted(budget: retries.WindowBudget, members: int, now_s: float) -> int:
    granted = 0
    while budget.has_room("shop", 1, members, now_s):
        budget.spend("shop", now_s)
        granted += 1
    return granted


def test_the_slack_is_shared_by_the_members() -> None:
    assert _granted(retries.WindowBudget(BOUNDS), 1, 0.0) == 35
    assert _granted(retries.WindowBudget(BOUNDS), 5, 0.0) == 7


def test_requests_earn_extra_sends() -> None:
    budget = retries.WindowBudget(BOUNDS)
    for _ in range(100):
        budget.note_request("shop", 0.0)
    assert _granted(budget, 5, 0.0) == 21
    assert _granted(budget, 5, 5.0) == 0


def test_the_window_slides() -> None:
    budget = retries.WindowBudget(BOUNDS)
    _granted(budget, 5, 0.0)
    assert _granted(budget, 5, 10.1) == 7


def test_services_have_budgets_of_their_own() -> None:
    budget = retries.WindowBudget(BOUNDS)
    _granted(budget, 5, 0.0)
    assert budget.has_room("other", 1, 5, 0.0)


def test_what_does_not_count_is_given_back() -> None:
    budget = retries.WindowBudget(BOUNDS)
    _granted(budget, 5, 0.0)
    assert not budget.has_room("shop", 1, 5, 0.0)
    budget.refund("shop", 0.0)
    assert budget.has_room("shop", 1, 5, 0.0)
    assert not budget.has_room("shop", 2, 5, 0.0)

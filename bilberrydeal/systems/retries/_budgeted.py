"""A retrier with budgets that grow with successes."""

import random

from . import _base

#: Retries added to a budget by one success.
RETRIES_PER_SUCCESS = 0.1
#: Initial and maximum budget, in retries.
MAX_BUDGET = 10.0
#: Maximum number of attempts of one request, including the first.
MAX_ATTEMPTS = 4
#: Maximum delay of the first retry, in seconds; doubles with each retry.
INITIAL_BACKOFF_S = 0.02
#: Maximum delay of any retry, in seconds.
MAX_BACKOFF_S = 2.0


@_base.RETRIERS.register("budgeted")
class BudgetedRetrier:
    """Limits retries by a budget for each route and for each endpoint.

    A retry is charged to both budgets. Retries thus stay below a tenth of the
    successes whatever fails, and one failing endpoint cannot exhaust the
    budget of the route.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._route_budgets: dict[str, float] = {}
        self._endpoint_budgets: dict[str, float] = {}

    def succeeded(self, route: str, endpoint_id: str, now_s: float) -> None:
        """Increase the budgets of the route and the endpoint."""
        _increase_budget(self._route_budgets, route)
        _increase_budget(self._endpoint_budgets, endpoint_id)

    def delay_s(self, attempt: _base.Attempt, now_s: float) -> float | None:
        """Return a random delay if a retry is safe, in budget and in time."""
        if attempt.started and not attempt.idempotent:
            return None
        if attempt.number >= MAX_ATTEMPTS:
            return None
        max_delay_s = INITIAL_BACKOFF_S * 2.0 ** (attempt.number - 1)
        delay_s = self._random.uniform(0.0, min(max_delay_s, MAX_BACKOFF_S))
        if now_s + delay_s + attempt.expected_s > attempt.deadline_s:
            return None
        route_budget = self._route_budgets.get(attempt.route, MAX_BUDGET)
        endpoint_budget = self._endpoint_budgets.get(
            attempt.endpoint_id, MAX_BUDGET
        )
        if min(route_budget, endpoint_budget) < 1.0:
            return None
        self._route_budgets[attempt.route] = route_budget - 1.0
        self._endpoint_budgets[attempt.endpoint_id] = endpoint_budget - 1.0
        return delay_s


def _increase_budget(budgets: dict[str, float], key: str) -> None:
    budget = budgets.get(key, MAX_BUDGET)
    budgets[key] = min(MAX_BUDGET, budget + RETRIES_PER_SUCCESS)

"""Retries within budgets that successes earn."""

import random

from . import _base

#: Retries that one success earns.
EARNED_SHARE = 0.1
#: Retries that a budget holds at most, and at first.
BUDGET_LIMIT = 10.0
#: Tries of one request, the first among them.
TRIES_LIMIT = 4
#: Longest wait before the first retry, in seconds; doubles with each.
FIRST_BACKOFF_S = 0.02
#: Longest wait before any retry, in seconds.
BACKOFF_LIMIT_S = 2.0


@_base.RETRIERS.register("budgeted")
class BudgetedRetrier:
    """Holds a budget for each route and for each link.

    A retry takes one from both; so retries stay below a tenth of the
    successes, whatever fails, and one failing link cannot use up the route.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._routes: dict[str, float] = {}
        self._links: dict[str, float] = {}

    def succeeded(self, route: str, endpoint_id: str, now_s: float) -> None:
        """Earn a part of a retry for the route and the link."""
        _earn(self._routes, route)
        _earn(self._links, endpoint_id)

    def delay_s(self, attempt: _base.Attempt, now_s: float) -> float | None:
        """Return a random wait, if a retry is allowed and can help."""
        if attempt.started and not attempt.idempotent:
            return None
        if attempt.number >= TRIES_LIMIT:
            return None
        longest_s = FIRST_BACKOFF_S * 2.0 ** (attempt.number - 1)
        delay_s = self._random.uniform(0.0, min(longest_s, BACKOFF_LIMIT_S))
        if now_s + delay_s + attempt.expected_s > attempt.deadline_s:
            return None
        route = self._routes.get(attempt.route, BUDGET_LIMIT)
        link = self._links.get(attempt.endpoint_id, BUDGET_LIMIT)
        if min(route, link) < 1.0:
            return None
        self._routes[attempt.route] = route - 1.0
        self._links[attempt.endpoint_id] = link - 1.0
        return delay_s


def _earn(budgets: dict[str, float], key: str) -> None:
    budget = budgets.get(key, BUDGET_LIMIT)
    budgets[key] = min(BUDGET_LIMIT, budget + EARNED_SHARE)

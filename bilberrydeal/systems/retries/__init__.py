"""Retry policies and retry budgets."""

from ._base import Attempt
from ._base import Retrier
from ._base import RETRIERS
from ._budgeted import BudgetedRetrier
from ._never import NeverRetrier
from ._window import BudgetUse
from ._window import WindowBudget
from ._window import WindowLimits

__all__ = [
    "Attempt",
    "BudgetUse",
    "BudgetedRetrier",
    "NeverRetrier",
    "RETRIERS",
    "Retrier",
    "WindowBudget",
    "WindowLimits",
]

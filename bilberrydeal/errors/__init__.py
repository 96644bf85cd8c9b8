"""Exception classes, each with a stable error code."""

from ._base import BilberrydealError
from ._codes import ErrorCode
from ._codes import Executed
from ._refusals import Refusal
from ._store import HistoryGone
from ._store import OutcomeUnknown
from ._store import StoreUnavailable
from ._store import TableConflict

__all__ = [
    "BilberrydealError",
    "ErrorCode",
    "Executed",
    "HistoryGone",
    "OutcomeUnknown",
    "Refusal",
    "StoreUnavailable",
    "TableConflict",
]

"""Rate and concurrency limits across all processes."""

from ._base import Admission
from ._base import Limiter
from ._base import LIMITERS
from ._bucket import Bucket
from ._exchanged import ExchangedLimiter
from ._home_selection import first_entries
from ._home_selection import home_entry
from ._local import LocalLimiter
from ._messages import NeedReport
from ._messages import NeedReportRequest
from ._messages import OrganisationNeed
from ._messages import OrganisationShare
from ._messages import OutgoingMessage
from ._messages import ShareGrant
from ._turns import ProcessGroup
from ._turns import TurnShare

__all__ = [
    "Admission",
    "Bucket",
    "ExchangedLimiter",
    "LIMITERS",
    "Limiter",
    "LocalLimiter",
    "NeedReport",
    "NeedReportRequest",
    "OrganisationNeed",
    "OrganisationShare",
    "OutgoingMessage",
    "ProcessGroup",
    "ShareGrant",
    "TurnShare",
    "first_entries",
    "home_entry",
]

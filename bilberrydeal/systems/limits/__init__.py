"""Rate and concurrency limits of organisations across all entries."""

from ._base import Admission
from ._base import Limiter
from ._base import LIMITERS
from ._exchanged import ExchangedLimiter
from ._home_selection import home
from ._local import LocalLimiter
from ._messages import NeedAsk
from ._messages import NeedReport
from ._messages import OrganisationNeed
from ._messages import OrganisationShare
from ._messages import Outgoing
from ._messages import ShareGrant

__all__ = [
    "Admission",
    "ExchangedLimiter",
    "LIMITERS",
    "Limiter",
    "LocalLimiter",
    "NeedAsk",
    "NeedReport",
    "OrganisationNeed",
    "OrganisationShare",
    "Outgoing",
    "ShareGrant",
    "home",
]

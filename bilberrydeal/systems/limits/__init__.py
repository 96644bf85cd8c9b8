"""Limits of organisations, held over all entries."""

from ._base import Admission
from ._base import Limiter
from ._base import LIMITERS
from ._local import LocalLimiter
from ._messages import NeedReport
from ._messages import OrganisationNeed
from ._messages import OrganisationShare
from ._messages import Outgoing
from ._messages import ShareGrant

__all__ = [
    "Admission",
    "LIMITERS",
    "Limiter",
    "LocalLimiter",
    "NeedReport",
    "OrganisationNeed",
    "OrganisationShare",
    "Outgoing",
    "ShareGrant",
]

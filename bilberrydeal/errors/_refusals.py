"""The error that is returned to a caller."""

import attrs

from . import _base
from . import _codes


@attrs.define(slots=False, eq=False)
class Refusal(_base.BilberrydealError):
    """A refused request, which gets an error body as its response.

    ``executed`` is ``NO`` only if that is proven, so that a caller may retry
    a request that is not idempotent.
    """

    #: Error code of the reason.
    reason: _codes.ErrorCode
    #: Human-readable explanation, one sentence.
    message: str
    #: HTTP status of the response.
    status: int
    #: Whether the request may have been executed.
    executed: _codes.Executed = _codes.Executed.NO
    #: Delay after which a retry may succeed, in seconds; ``None`` if a retry
    #: cannot succeed.
    retry_after_s: float | None = None
    #: Whether ``executed`` applies to all requests with the same idempotency
    #: key instead of only this one.
    covers_key: bool = False

    def __str__(self) -> str:
        return f"{self.reason.value}: {self.message}"

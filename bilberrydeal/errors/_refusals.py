"""The failure that a caller sees."""

import attrs

from . import _base
from . import _codes


@attrs.define(slots=False, eq=False)
class Refusal(_base.BilberrydealError):
    """A request that gets an error body instead of an answer.

    ``executed`` is ``NO`` only where that is proved, so that a caller may
    repeat a request that is not idempotent.
    """

    #: Stable code of the reason.
    reason: _codes.ErrorCode
    #: One sentence for a person.
    sentence: str
    #: HTTP status of the answer.
    status: int
    #: What is known about execution.
    executed: _codes.Executed = _codes.Executed.NO
    #: When a retry can help, in seconds; ``None`` where none can.
    retry_after_s: float | None = None
    #: Whether ``executed`` holds for all requests under the same idempotency
    #: key rather than for this one only.
    covers_key: bool = False

    def __str__(self) -> str:
        return f"{self.reason.value}: {self.sentence}"

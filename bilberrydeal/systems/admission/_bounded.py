"""Admission control by a limit of requests in flight."""

from ... import errors
from .. import _entities
from .. import _tables
from . import _base

#: Retry delay of refused requests, in seconds.
RETRY_AFTER_S = 1.0


@_base.ADMISSION.register("bounded")
class BoundedAdmission:
    """Admits requests up to the limit, regardless of organisation."""

    def __init__(self, requests_limit: int) -> None:
        self.requests_limit = requests_limit
        self._in_flight = 0

    def admit(
        self,
        tables: _tables.Tables,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _base.AdmissionDecision:
        """Refuse the request if the limit is reached."""
        if self._in_flight >= self.requests_limit:
            return _base.AdmissionDecision(
                errors.ErrorCode.OVERLOADED, RETRY_AFTER_S
            )
        self._in_flight += 1
        return _base.AdmissionDecision()

    def release(
        self,
        request: _entities.PendingRequest,
        now_s: float,
        shed: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record that an admitted request has ended."""
        self._in_flight -= 1

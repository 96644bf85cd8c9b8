"""The interface of admission controls."""

import collections.abc
import typing

import attrs

from ... import errors
from ... import registry
from .. import _entities
from .. import _tables


@attrs.frozen
class AdmissionDecision:
    """The decision whether a request is admitted."""

    #: Why the request is refused as not run; ``None`` if it is admitted.
    refusal: errors.ErrorCode | None = None
    #: Delay before a retry, in seconds.
    retry_after_s: float = 0.0


class AdmissionControl(typing.Protocol):
    """Decides before routing whether a request is admitted.

    Call ``release`` exactly once for each admitted request, when it ends.
    """

    def admit(
        self,
        tables: _tables.Tables,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> AdmissionDecision:
        """Admit or refuse a request."""

    def release(
        self,
        request: _entities.PendingRequest,
        now_s: float,
        shed: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record that an admitted request has ended.

        ``shed`` means that the endpoint refused the request because of load,
        with ``retry_after_s`` as retry delay.
        """


#: Admission controls by name; called with the limit of requests in flight.
ADMISSION: registry.Registry[
    collections.abc.Callable[[int], AdmissionControl]
] = registry.Registry("admission control")

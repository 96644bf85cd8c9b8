"""What every admission control does."""

import collections.abc
import typing

import attrs

from ... import errors
from ... import registry
from .. import _entities
from .. import _tables


@attrs.frozen
class Verdict:
    """Whether a request is taken in."""

    #: Why it is refused as not run; ``None`` for one that is taken in.
    refusal: errors.ErrorCode | None = None
    #: When a retry can help, in seconds.
    retry_after_s: float = 0.0


class AdmissionControl(typing.Protocol):
    """Decides before routing whether a request is taken in.

    Each request that is taken in is released once, when it has ended.
    """

    def admit(
        self,
        tables: _tables.Tables,
        request: _entities.PendingRequest,
        now_s: float,
    ) -> Verdict:
        """Take a request in, or say why not and when to come back."""

    def release(
        self,
        request: _entities.PendingRequest,
        now_s: float,
        shed: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        """Note that a request that was taken in has ended.

        ``shed`` says that its endpoint refused it for load, and told to
        come back after ``retry_after_s``.
        """


#: Admission controls by name; made with the bound of requests in flight.
ADMISSION: registry.Registry[
    collections.abc.Callable[[int], AdmissionControl]
] = registry.Registry("admission control")

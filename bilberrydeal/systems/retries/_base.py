"""The interface of retriers."""

import collections.abc
import typing

import attrs

from ... import registry


@attrs.frozen
class Attempt:
    """An attempt of a request that failed or was refused."""

    #: Name of the route in the configuration.
    route: str
    #: The endpoint of the attempt.
    endpoint_id: str
    #: Number of the attempt, starting at 1.
    number: int
    #: Whether the request may have run at least in part.
    started: bool
    #: Whether the request may run more than once.
    idempotent: bool
    #: Deadline of the caller, monotonic.
    deadline_s: float
    #: Expected duration of an attempt, in seconds.
    expected_s: float = 0.0


class Retrier(typing.Protocol):
    """Decides on retries, which are made by entries only, at no later hop.

    Example::

        retrier = RETRIERS.get("budgeted")(seed)
        retrier.succeeded(route, endpoint_id, now_s)
        delay_s = retrier.delay_s(attempt, now_s)
        if delay_s is None:
            ...  # return the failure to the caller
    """

    def succeeded(self, route: str, endpoint_id: str, now_s: float) -> None:
        """Record that a first attempt succeeded."""

    def delay_s(self, attempt: Attempt, now_s: float) -> float | None:
        """Return the delay of a retry, in seconds; ``None`` for no retry."""


#: Retriers by their names in settings; called with a seed.
RETRIERS: registry.Registry[collections.abc.Callable[[int], Retrier]] = (
    registry.Registry("retrier")
)

"""What every retrier does."""

import collections.abc
import typing

import attrs

from ... import registry


@attrs.frozen
class Attempt:
    """A try of a request that failed or was refused."""

    #: Name of the route in the configuration.
    route: str
    #: The endpoint that was tried.
    endpoint_id: str
    #: Number of this try, from 1.
    number: int
    #: Whether any part of it may have run.
    started: bool
    #: Whether the request may run more than once.
    idempotent: bool
    #: When the caller stops waiting, monotonic.
    deadline_s: float
    #: Time that a try needs, as expected, in seconds.
    expected_s: float = 0.0


class Retrier(typing.Protocol):
    """Decides on retries; only the entry retries, no hop behind it does.

    Example::

        retrier = RETRIERS.get("budgeted")(seed)
        retrier.succeeded(route, endpoint_id, now_s)
        delay_s = retrier.delay_s(attempt, now_s)
        if delay_s is None:
            ...  # give the caller the refusal at once
    """

    def succeeded(self, route: str, endpoint_id: str, now_s: float) -> None:
        """Note that a first try succeeded."""

    def delay_s(self, attempt: Attempt, now_s: float) -> float | None:
        """Return when to try again, in seconds; ``None`` for never."""


#: Retriers by the names that settings use; made with a seed.
RETRIERS: registry.Registry[collections.abc.Callable[[int], Retrier]] = (
    registry.Registry("retrier")
)

"""Port to the rate-limited store of model weights."""

import typing

import attrs

from .. import errors


@attrs.define(slots=False, eq=False)
class WeightsBusy(errors.BilberrydealError):
    """The rate limit of the weight store is exceeded."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.PLATFORM_REFUSED

    #: Delay before the next attempt, in seconds.
    retry_after_s: float


class WeightStore(typing.Protocol):
    """Admits weight downloads; raises the table service's errors."""

    async def admit(self, model: str, version: str, timeout_s: float) -> None:
        """Acquire a slot for one download, or raise :class:`WeightsBusy`."""

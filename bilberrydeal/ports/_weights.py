"""Port to the rate-limited store of model weights."""

import typing

import attrs

from .. import errors


@attrs.define(slots=False, eq=False)
class WeightsBusy(errors.BilberrydealError):
    """The store's rate limit is reached; ask again later."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.PLATFORM_REFUSED

    #: When to ask again, in seconds.
    retry_after_s: float


class WeightStore(typing.Protocol):
    """Admits downloads of weights; errors as those of the table service."""

    async def admit(self, model: str, version: str, timeout_s: float) -> None:
        """Take a slot for one download, or raise :class:`WeightsBusy`."""

"""Port to one plain service."""

import typing

import attrs

from .. import errors


@attrs.frozen
class PlainRequest:
    """One call of a plain service."""

    #: Identity of the request, handed to the service as a header.
    request_id: str
    #: HTTP method.
    method: str
    #: Path and query.
    path: str
    #: Organisation for which it runs, empty on an open route.
    organisation: str
    #: Content type of the body.
    content_type: str
    #: The body.
    body: bytes


@attrs.frozen
class PlainResponse:
    """The answer of a plain service."""

    #: HTTP status.
    status: int
    #: Content type of the body.
    content_type: str
    #: The body.
    body: bytes


@attrs.define(slots=False, eq=False)
class PlainFailure(errors.BilberrydealError):
    """The service did not answer."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: Whether the service may have begun the work.
    started: bool


class PlainService(typing.Protocol):
    """One plain service; calls raise :class:`PlainFailure`."""

    async def call(
        self, request: PlainRequest, timeout_s: float
    ) -> PlainResponse:
        """Make one call; never repeats it."""

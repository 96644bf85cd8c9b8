"""Port to a plain HTTP service, one that runs no model."""

import typing

import attrs

from .. import errors


@attrs.frozen
class PlainRequest:
    """A request to a plain service."""

    #: Identifier of the request, sent to the service as a header.
    request_id: str
    #: HTTP method.
    method: str
    #: Path and query.
    path: str
    #: Organisation of the caller, empty on a route without keys.
    organisation: str
    #: Content type of the body.
    content_type: str
    #: The body.
    body: bytes


@attrs.frozen
class PlainResponse:
    """The response of a plain service."""

    #: HTTP status.
    status: int
    #: Content type of the body.
    content_type: str
    #: The body.
    body: bytes


@attrs.define(slots=False, eq=False)
class PlainFailure(errors.BilberrydealError):
    """The service did not respond."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: Whether the service may have started to execute the request.
    started: bool


class PlainService(typing.Protocol):
    """A plain service; calls raise :class:`PlainFailure`."""

    async def call(
        self, request: PlainRequest, timeout_s: float
    ) -> PlainResponse:
        """Send one request, without retries."""

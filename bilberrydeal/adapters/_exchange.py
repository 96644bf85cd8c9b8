"""HTTP exchanges; errors show whether a call may have taken effect."""

import math
import typing

import aiohttp
import attrs
import msgspec

from .. import decoding
from .. import errors
from .. import telemetry
from . import _ending_protocol

LOG = telemetry.logger("adapters")

#: Share of a call's timeout allowed for connecting. It is below 1 so that a
#: failed connection can be distinguished from a missing response.
CONNECT_TIMEOUT_SHARE = 0.6

#: Largest body of a response, in bytes; more without its end is no response.
BODY_LIMIT_BYTES = 64 * 1024 * 1024

#: Longest delay that a peer may advise, in seconds.
RETRY_AFTER_LIMIT_S = 60.0

HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503

#: Errors raised before any byte of the request is sent.
NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
#: Errors raised when the request may have arrived.
MAYBE_SENT = (aiohttp.ClientError, TimeoutError, OSError)

Decoded = typing.TypeVar("Decoded")


@attrs.frozen
class Response:
    """A complete HTTP response."""

    #: HTTP status code.
    status: int
    #: Content type of the body.
    content_type: str
    #: Value of ``Retry-After`` in seconds, if present.
    retry_after_s: float | None
    #: Undecoded body.
    body: bytes

    def decode(self, response_type: type[Decoded]) -> Decoded:
        """Decode the JSON body; raises one of ``decoding.DECODE_ERRORS``."""
        return msgspec.json.decode(self.body, type=response_type)


def open_session(connection_limit: int) -> aiohttp.ClientSession:
    """Return a session that uses a connection for one call only.

    A peer may send a second copy of an answer late. On a connection that is
    kept open, the client library takes it for the answer to the next call.
    A limit of 0 allows any number of connections at a time.

    Example::

        async with open_session(connection_limit=100) as session:
            table = HttpTable(session, url)
    """
    session = aiohttp.ClientSession(
        connector=_ending_protocol.EndingConnector(connection_limit)
    )
    disable_retries(session)
    return session


def disable_retries(session: aiohttp.ClientSession) -> None:
    """Disable automatic retries of the client library.

    By default it retries GET, PUT and DELETE once after a lost connection,
    even if the request may have arrived. There is no public option for this.
    """
    session._retry_connection = False


def timeout(total_s: float) -> aiohttp.ClientTimeout:
    """Return a timeout that leaves time for ``NOT_SENT`` to be raised."""
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=total_s * CONNECT_TIMEOUT_SHARE
    )


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    body_limit_bytes: int = BODY_LIMIT_BYTES,
) -> Response:
    """Send one request and return its response, without retries."""
    disable_retries(session)
    _ending_protocol.REQUEST_BYTES.set(len(body))
    async with session.request(
        method,
        url,
        data=body or None,
        headers=headers,
        allow_redirects=False,
        timeout=timeout(timeout_s),
    ) as response:
        body = await _read_body(response, body_limit_bytes)
        if _delimited_by_eof(response) and _connection_failed(response):
            raise aiohttp.ClientPayloadError("connection failed in a body")
        return Response(
            status=response.status,
            content_type=response.headers.get("Content-Type", ""),
            retry_after_s=retry_after_s(response),
            body=body,
        )


async def _read_body(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Return the body; raises ``ClientPayloadError`` if it is too large."""
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > limit_bytes:
            raise aiohttp.ClientPayloadError("body too large")
    return bytes(body)


def _delimited_by_eof(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the end of the connection ends the body."""
    if response.status in (HTTP_NO_CONTENT, HTTP_NOT_MODIFIED):
        return False
    coding = response.headers.get("Transfer-Encoding", "")
    return response.content_length is None and "chunked" not in coding.lower()


def _connection_failed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the connection was reset or timed out, not closed.

    The client library takes both for the end of a body that has no length.
    There is no public way to tell them apart.
    """
    protocol = response._protocol
    if protocol is None:
        return False
    if _ending_protocol.reset_after_end(protocol):
        return True
    return isinstance(protocol.exception(), aiohttp.ClientOSError)


def retry_after_s(response: aiohttp.ClientResponse) -> float | None:
    """Return ``Retry-After`` in seconds, bounded; ``None`` if unusable."""
    value = response.headers.get("Retry-After")
    if value is None:
        return None
    try:
        delay_s = float(value)
    except ValueError:
        delay_s = math.nan
    # Comparisons with a value that is no number are false.
    if not 0.0 <= delay_s < math.inf:
        LOG.warning("Delay ignored.", url=str(response.url), value=value)
        return None
    if delay_s > RETRY_AFTER_LIMIT_S:
        LOG.warning("Delay bounded.", url=str(response.url), value=value)
    return min(delay_s, RETRY_AFTER_LIMIT_S)


async def read(
    session: aiohttp.ClientSession,
    url: str,
    timeout_s: float,
    body: object,
    response_type: type[Decoded],
) -> Decoded:
    """Make a read-only call and decode its response.

    A lost or unreadable response is ``StoreUnavailable``.
    """
    try:
        response = await write(session, url, timeout_s, body)
        return response.decode(response_type)
    except (errors.OutcomeUnknown, *decoding.DECODE_ERRORS) as error:
        raise errors.StoreUnavailable(operation=url) from error


async def write(
    session: aiohttp.ClientSession,
    url: str,
    timeout_s: float,
    body: object,
    method: str = "POST",
) -> Response:
    """Make a call that may have an effect.

    Returns responses with status 200, 404, 409 and 429. Raises
    :class:`~bilberrydeal.errors.StoreUnavailable` if the call had no effect
    and :class:`~bilberrydeal.errors.OutcomeUnknown` if it may have had one.
    """
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        response = await exchange(session, method, url, timeout_s, data)
    except NOT_SENT as error:
        raise errors.StoreUnavailable(operation=url) from error
    except MAYBE_SENT as error:
        raise errors.OutcomeUnknown(operation=url) from error
    if response.status == HTTP_UNAVAILABLE:
        raise errors.StoreUnavailable(
            operation=url, retry_after_s=response.retry_after_s
        )
    if response.status in (
        HTTP_OK,
        HTTP_NOT_FOUND,
        HTTP_CONFLICT,
        HTTP_TOO_MANY_REQUESTS,
    ):
        return response
    raise errors.OutcomeUnknown(operation=url)

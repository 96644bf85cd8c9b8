"""One HTTP exchange, its failures told apart by whether it took effect."""

import typing

import aiohttp
import attrs
import msgspec

from .. import errors

#: Share of a call's time limit after which connecting is given up, so that
#: a connection that never opened is told from an answer that never came.
CONNECT_SHARE = 0.6

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503

#: Raised before any byte of the request was sent.
NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
#: Raised when the request may have arrived.
LOST = (aiohttp.ClientError, TimeoutError, OSError)

Answer = typing.TypeVar("Answer")


@attrs.frozen
class Reply:
    """A whole HTTP answer."""

    #: HTTP status.
    status: int
    #: Content type of the body.
    content_type: str
    #: Value of ``Retry-After`` in seconds, if there is one.
    retry_after_s: float | None
    #: The body.
    body: bytes

    def decode(self, shape: type[Answer]) -> Answer:
        """Return the body as an instance of ``shape``."""
        return msgspec.json.decode(self.body, type=shape)


def never_repeat(session: aiohttp.ClientSession) -> None:
    """Keep the client library from sending a request a second time.

    By itself it repeats GET, PUT and DELETE once after a lost connection,
    also when the request may have arrived; it has no public switch.
    """
    session._retry_connection = False


def timeout(total_s: float) -> aiohttp.ClientTimeout:
    """Return a time limit under which ``NOT_SENT`` is raised in time."""
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=total_s * CONNECT_SHARE
    )


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request and return its answer; never repeats it."""
    never_repeat(session)
    async with session.request(
        method,
        url,
        data=body or None,
        headers=headers,
        allow_redirects=False,
        timeout=timeout(timeout_s),
    ) as response:
        return Reply(
            status=response.status,
            content_type=response.headers.get("Content-Type", ""),
            retry_after_s=retry_after_s(response),
            body=await response.read(),
        )


def retry_after_s(response: aiohttp.ClientResponse) -> float | None:
    """Return the seconds of ``Retry-After``, if it names any."""
    try:
        return float(response.headers["Retry-After"])
    except (KeyError, ValueError):
        return None


async def read(
    session: aiohttp.ClientSession, url: str, timeout_s: float, body: object
) -> Reply:
    """Make a call without effect; a lost answer is ``StoreUnavailable``."""
    try:
        return await write(session, url, timeout_s, body)
    except errors.OutcomeUnknown as error:
        raise errors.StoreUnavailable(operation=url) from error


async def write(
    session: aiohttp.ClientSession,
    url: str,
    timeout_s: float,
    body: object,
    method: str = "POST",
) -> Reply:
    """Make a call with an effect.

    Returns answers with status 200, 404, 409 and 429. Raises
    :class:`~bilberrydeal.errors.StoreUnavailable` where the call had no
    effect and :class:`~bilberrydeal.errors.OutcomeUnknown` where it may have.
    """
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        reply = await exchange(session, method, url, timeout_s, data)
    except NOT_SENT as error:
        raise errors.StoreUnavailable(operation=url) from error
    except LOST as error:
        raise errors.OutcomeUnknown(operation=url) from error
    if reply.status == HTTP_UNAVAILABLE:
        raise errors.StoreUnavailable(
            operation=url, retry_after_s=reply.retry_after_s
        )
    if reply.status in (
        HTTP_OK,
        HTTP_NOT_FOUND,
        HTTP_CONFLICT,
        HTTP_TOO_MANY,
    ):
        return reply
    raise errors.OutcomeUnknown(operation=url)

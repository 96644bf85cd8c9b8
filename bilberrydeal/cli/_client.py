"""HTTP client for the operator routes of an entry."""

import asyncio
import enum
import typing
import urllib.parse

import aiohttp
import attrs
import msgspec

from .. import errors

#: Timeout of one call, in seconds.
CALL_TIMEOUT_S = 20.0

Body = typing.TypeVar("Body")


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line process."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


@attrs.define(slots=False, eq=False)
class CallFailed(errors.BilberrydealError):
    """A call that failed: rejected by the entry or without a response."""

    #: Error message for the operator.
    message: str
    #: Exit code of the process.
    exit_code: ExitCode

    def __str__(self) -> str:
        return self.message


@attrs.frozen
class _ErrorDetail:
    code: str
    message: str
    executed: str = "unknown"


@attrs.frozen
class _ErrorBody:
    error: _ErrorDetail


@attrs.frozen
class Client:
    """Calls the operator routes of one entry."""

    #: Base URL of the entry or of the load balancer.
    url: str
    #: Operator key, sent as the bearer token.
    key: str = attrs.field(repr=False)

    def get(self, path: str, response_type: type[Body]) -> Body:
        """Send a GET request and return the decoded response."""
        return self._call("GET", path, None, response_type)

    def put(self, path: str, body: object, response_type: type[Body]) -> Body:
        """Send a PUT request and return the decoded response."""
        return self._call("PUT", path, body, response_type)

    def post(self, path: str, body: object, response_type: type[Body]) -> Body:
        """Send a POST request and return the decoded response."""
        return self._call("POST", path, body, response_type)

    def delete(self, path: str, response_type: type[Body]) -> Body:
        """Send a DELETE request and return the decoded response."""
        return self._call("DELETE", path, None, response_type)

    def _call(
        self, method: str, path: str, body: object, response_type: type[Body]
    ) -> Body:
        content = asyncio.run(self._send(method, path, body))
        return msgspec.json.decode(content, type=response_type)

    async def _send(self, method: str, path: str, body: object) -> bytes:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        data = None if body is None else msgspec.json.encode(body)
        url = f"{self.url}/operator/v1{path}"
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, data=data, headers=headers
                ) as response,
            ):
                content = await response.read()
                if response.status >= 300:
                    raise _error_from_response(response.status, content)
                return content
        except (aiohttp.ClientError, TimeoutError) as error:
            raise CallFailed(
                message=f"No response from {self.url}: "
                f"{type(error).__name__}.",
                exit_code=ExitCode.UNREACHABLE,
            ) from error


def quote_path_segment(name: str) -> str:
    """Percent-encode a name for use as one path segment."""
    return urllib.parse.quote(name, safe="")


def create_client(url: str, key: str) -> Client:
    """Return a client; raise :class:`CallFailed` if the key is empty."""
    if not key:
        raise CallFailed(
            message="Set the operator key in BILBERRYDEAL_OPERATOR_KEY.",
            exit_code=ExitCode.USAGE,
        )
    return Client(url=url.rstrip("/"), key=key)


def _error_from_response(status: int, content: bytes) -> CallFailed:
    try:
        detail = msgspec.json.decode(content, type=_ErrorBody).error
        message = f"{detail.code}: {detail.message}"
        if detail.executed != "no":
            message += " The change may have been applied: read it back."
    except msgspec.MsgspecError:
        message = f"The entry responded with status {status}."
    conflict = status == 409
    return CallFailed(
        message=message,
        exit_code=ExitCode.CONFLICT if conflict else ExitCode.FAILED,
    )

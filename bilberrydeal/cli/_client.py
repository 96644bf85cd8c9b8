"""Calls the operators' routes of an entry."""

import asyncio
import enum
import typing
import urllib.parse

import aiohttp
import attrs
import msgspec

from .. import errors

#: Longest wait for one call, in seconds.
CALL_TIMEOUT_S = 20.0

Body = typing.TypeVar("Body")


class ExitCode(enum.IntEnum):
    """What the process says when it ends."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


@attrs.define(slots=False, eq=False)
class CallFailed(errors.BilberrydealError):
    """A call that the entry refused or did not answer."""

    #: What to tell the operator.
    sentence: str
    #: What the process says when it ends.
    exit_code: ExitCode

    def __str__(self) -> str:
        return self.sentence


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
    """Calls one entry."""

    #: Base URL of the entry or of the balancer.
    url: str
    #: The operators' key.
    key: str = attrs.field(repr=False)

    def get(self, path: str, kind: type[Body]) -> Body:
        """Read something."""
        return self._call("GET", path, None, kind)

    def put(self, path: str, body: object, kind: type[Body]) -> Body:
        """Set something."""
        return self._call("PUT", path, body, kind)

    def post(self, path: str, body: object, kind: type[Body]) -> Body:
        """Create something."""
        return self._call("POST", path, body, kind)

    def delete(self, path: str, kind: type[Body]) -> Body:
        """Remove something."""
        return self._call("DELETE", path, None, kind)

    def _call(
        self, method: str, path: str, body: object, kind: type[Body]
    ) -> Body:
        answer = asyncio.run(self._send(method, path, body))
        return msgspec.json.decode(answer, type=kind)

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
                ) as answer,
            ):
                content = await answer.read()
                if answer.status >= 300:
                    raise _failure(answer.status, content)
                return content
        except (aiohttp.ClientError, TimeoutError) as error:
            raise CallFailed(
                sentence=f"{self.url} did not answer: {type(error).__name__}.",
                exit_code=ExitCode.UNREACHABLE,
            ) from error


def quoted(name: str) -> str:
    """Return a name as a part of a path."""
    return urllib.parse.quote(name, safe="")


def client(url: str, key: str) -> Client:
    """Return a client, or raise :class:`CallFailed` without a key."""
    if not key:
        raise CallFailed(
            sentence="Give the operators' key in BILBERRYDEAL_OPERATOR_KEY.",
            exit_code=ExitCode.USAGE,
        )
    return Client(url=url.rstrip("/"), key=key)


def _failure(status: int, content: bytes) -> CallFailed:
    try:
        detail = msgspec.json.decode(content, type=_ErrorBody).error
        sentence = f"{detail.code}: {detail.message}"
        if detail.executed != "no":
            sentence += " The change may have been made: read it back."
    except msgspec.MsgspecError:
        sentence = f"The entry answered with status {status}."
    conflict = status == 409
    return CallFailed(
        sentence=sentence,
        exit_code=ExitCode.CONFLICT if conflict else ExitCode.FAILED,
    )

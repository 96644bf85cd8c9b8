"""Operator routes that read and change the configuration."""

import collections.abc
import secrets
import typing

import attrs
import msgspec
import sanic
from sanic import response

from ... import configuration
from ... import decoding
from ... import errors
from ... import keys
from ... import operators
from ... import telemetry
from .. import http_api
from . import _operator_rows

LOG = telemetry.logger("operator")
PREFIX = "/operator/v1"
#: Default Retry-After for a failed change, in seconds.
RETRY_AFTER_S = 1.0

Body = typing.TypeVar("Body")
Handler = collections.abc.Callable[
    ..., collections.abc.Awaitable[response.HTTPResponse]
]


@attrs.frozen
class _Route:
    """An operator route."""

    #: Path below the prefix.
    path: str
    method: str
    handler: Handler


class Commit(typing.Protocol):
    """Commits a configuration change."""

    async def __call__(self, change: configuration.Change, author: str) -> int:
        """Commit the change and return its revision."""


class OperatorRoutes:
    """Reads and changes the configuration for operators."""

    def __init__(
        self,
        key_hash: str,
        pepper: bytes,
        current: collections.abc.Callable[[], configuration.Configuration],
        commit: Commit,
    ) -> None:
        self._key_hash = key_hash
        self._pepper = pepper
        self._current = current
        self._commit = commit

    def install(self, app: typing.Any, body_timeout_s: float) -> None:
        """Add the routes to the application."""
        for route in self._all_routes():
            http_api.add_route(
                app,
                PREFIX + route.path,
                [route.method],
                self.require_operator_key(route.handler),
                body_timeout_s,
            )

    def _all_routes(self) -> collections.abc.Iterator[_Route]:
        yield _Route("/keys", "GET", self._keys)
        yield _Route("/keys", "POST", self._issue_key)
        yield _Route("/keys/<name:str>", "DELETE", self._withdraw_key)
        for kind in _operator_rows.KINDS:
            yield from self._row_routes(kind)

    def require_operator_key(self, handler: Handler) -> http_api.Handler:
        """Return a handler that requires the operator key."""

        async def authenticated_handler(
            request: sanic.Request,
        ) -> response.HTTPResponse:
            self._authenticate(request)
            try:
                return await handler(request, **request.match_info)
            except errors.Refusal:
                raise
            except errors.BilberrydealError as error:
                raise _change_refusal(error) from error

        return authenticated_handler

    def _authenticate(self, request: sanic.Request) -> None:
        header = str(request.headers.get("authorization", ""))
        scheme, _, secret = header.partition(" ")
        key_hash = keys.hash_key(secret.strip(), b"")
        if scheme.lower() != "bearer" or not secrets.compare_digest(
            key_hash, self._key_hash
        ):
            raise errors.Refusal(
                reason=errors.ErrorCode.OPERATOR_KEY_REJECTED,
                message="Invalid operator key.",
                status=401,
            )

    async def _change(
        self, change: configuration.Change, author: str = "operator"
    ) -> response.HTTPResponse:
        revision = await self._commit(change, author)
        return _json_response(operators.Committed(revision))

    async def _keys(self, request: sanic.Request) -> response.HTTPResponse:
        current = self._current()
        rows = [
            operators.KeyShown(k.key_id, k.organisation, k.withdrawn, k.label)
            for k in current.keys.values()
        ]
        rows.sort(key=lambda row: (row.organisation, row.key_id))
        return _json_response(operators.KeyList(current.revision, rows))

    async def _issue_key(
        self, request: sanic.Request
    ) -> response.HTTPResponse:
        body = _decode(request, operators.KeyInput)
        key = keys.new_key()
        record = configuration.KeyRecord(
            key_id=key.key_id,
            organisation=body.organisation,
            key_hash=keys.hash_key(key.secret, self._pepper),
            label=body.label,
        )
        revision = await self._commit(
            configuration.IssueKey(record), "operator"
        )
        return _json_response(
            operators.KeyIssued(revision, key.key_id, key.secret)
        )

    async def _withdraw_key(
        self, request: sanic.Request, name: str
    ) -> response.HTTPResponse:
        return await self._change(configuration.WithdrawKey(name))

    def _row_routes(
        self, kind: _operator_rows.RowKind
    ) -> collections.abc.Iterator[_Route]:
        """Yield the routes that list, set and remove rows of a kind."""
        row_path = kind.path + "/<name:str>"

        async def listed(request: sanic.Request) -> response.HTTPResponse:
            return _json_response(kind.list_body(self._current()))

        async def put(
            request: sanic.Request, name: str
        ) -> response.HTTPResponse:
            body = _decode(request, kind.input_type)
            change = kind.set_change(_row_name(name), body)
            return await self._change(change)

        yield _Route(kind.path, "GET", listed)
        yield _Route(row_path, "PUT", put)
        remove_type = kind.remove_type
        if remove_type is None:
            return

        async def delete(
            request: sanic.Request, name: str
        ) -> response.HTTPResponse:
            change = remove_type(name, _expected_revision(request))
            return await self._change(change)

        yield _Route(row_path, "DELETE", delete)


def _json_response(body: object) -> response.HTTPResponse:
    return http_api.json_response(msgspec.json.encode(body))


def _decode(request: sanic.Request, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(request.body, type=kind)
    except decoding.DECODE_ERRORS as error:
        raise _bad_request(f"Invalid request body: {error}.") from error


def _row_name(name: str) -> str:
    if not _operator_rows.is_name(name):
        raise _bad_request(f"A name must match {operators.ROW_NAME}.")
    return name


def _expected_revision(request: sanic.Request) -> int:
    value = request.args.get("expected_revision", "")
    if not value.isdecimal():
        raise _bad_request("expected_revision must be a number.")
    return int(value)


def _bad_request(message: str) -> errors.Refusal:
    return errors.Refusal(
        reason=errors.ErrorCode.BAD_REQUEST, message=message, status=400
    )


_STATUSES = {
    errors.ErrorCode.NOT_FOUND: 404,
    errors.ErrorCode.REVISION_CONFLICT: 409,
    errors.ErrorCode.STORE_CONFLICT: 409,
}


def _change_refusal(error: errors.BilberrydealError) -> errors.Refusal:
    """Convert the error of a failed change to a refusal."""
    unknown = isinstance(error, errors.OutcomeUnknown)
    retry_after_s = getattr(error, "retry_after_s", None)
    is_final = error.code in _STATUSES
    return errors.Refusal(
        reason=error.code,
        message=str(error),
        status=_STATUSES.get(error.code, 503),
        executed=(errors.Executed.UNKNOWN if unknown else errors.Executed.NO),
        retry_after_s=None if is_final else retry_after_s or RETRY_AFTER_S,
    )

"""Operators' routes for the configuration."""

import collections.abc
import secrets
import typing

import attrs
import msgspec
import sanic
from sanic import response

from ... import configuration
from ... import errors
from ... import keys
from ... import operators
from ... import telemetry
from .. import front
from . import _operator_rows

LOG = telemetry.logger("operator")
PREFIX = "/operator/v1"
#: Operators are told to try again after this time, in seconds.
RETRY_AFTER_S = 1.0

Body = typing.TypeVar("Body")
Handler = collections.abc.Callable[
    ..., collections.abc.Awaitable[response.HTTPResponse]
]


@attrs.frozen
class _Route:
    """One of the operators' routes."""

    #: Path below the prefix.
    path: str
    method: str
    handler: Handler


class Commit(typing.Protocol):
    """Commits one change of the configuration."""

    async def __call__(self, change: configuration.Change, author: str) -> int:
        """Return the revision of the change once it is committed."""


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
            front.add_route(
                app,
                PREFIX + route.path,
                [route.method],
                self.guarded(route.handler),
                body_timeout_s,
            )

    def _all_routes(self) -> collections.abc.Iterator[_Route]:
        yield _Route("/keys", "GET", self._keys)
        yield _Route("/keys", "POST", self._issue_key)
        yield _Route("/keys/<name:str>", "DELETE", self._withdraw_key)
        for kind in _operator_rows.KINDS:
            yield from self._row_routes(kind)

    def guarded(self, handler: Handler) -> front.Handler:
        """Return a handler that asks for the operators' key first."""

        async def serve(request: sanic.Request) -> response.HTTPResponse:
            self._authenticate(request)
            try:
                return await handler(request, **request.match_info)
            except errors.Refusal:
                raise
            except errors.BilberrydealError as error:
                raise _refusal(error) from error

        return serve

    def _authenticate(self, request: sanic.Request) -> None:
        given = str(request.headers.get("authorization", ""))
        scheme, _, secret = given.partition(" ")
        found = keys.hash_key(secret.strip(), b"")
        if scheme.lower() != "bearer" or not secrets.compare_digest(
            found, self._key_hash
        ):
            raise errors.Refusal(
                reason=errors.ErrorCode.OPERATOR_KEY_REJECTED,
                sentence="This is not the operators' key.",
                status=401,
            )

    async def _change(
        self, change: configuration.Change, author: str = "operator"
    ) -> response.HTTPResponse:
        revision = await self._commit(change, author)
        return _answer(operators.Committed(revision))

    async def _keys(self, request: sanic.Request) -> response.HTTPResponse:
        current = self._current()
        rows = [
            operators.KeyShown(k.key_id, k.organisation, k.withdrawn, k.label)
            for k in current.keys.values()
        ]
        rows.sort(key=lambda row: (row.organisation, row.key_id))
        return _answer(operators.KeyList(current.revision, rows))

    async def _issue_key(
        self, request: sanic.Request
    ) -> response.HTTPResponse:
        given = _decode(request, operators.KeyInput)
        made = keys.new_key()
        record = configuration.KeyRecord(
            key_id=made.key_id,
            organisation=given.organisation,
            key_hash=keys.hash_key(made.secret, self._pepper),
            label=given.label,
        )
        revision = await self._commit(
            configuration.IssueKey(record), "operator"
        )
        return _answer(operators.KeyIssued(revision, made.key_id, made.secret))

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
            return _answer(kind.list_body(self._current()))

        async def put(
            request: sanic.Request, name: str
        ) -> response.HTTPResponse:
            given = _decode(request, kind.given)
            change = kind.set_change(_row_name(name), given)
            return await self._change(change)

        yield _Route(kind.path, "GET", listed)
        yield _Route(row_path, "PUT", put)
        remove = kind.remove
        if remove is None:
            return

        async def delete(
            request: sanic.Request, name: str
        ) -> response.HTTPResponse:
            change = remove(name, _expected_revision(request))
            return await self._change(change)

        yield _Route(row_path, "DELETE", delete)


def _answer(body: object) -> response.HTTPResponse:
    return front.json_answer(msgspec.json.encode(body))


def _decode(request: sanic.Request, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(request.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _bad_request(f"The body is not valid: {error}.") from error


def _row_name(name: str) -> str:
    if not _operator_rows.is_name(name):
        raise _bad_request(f"A name must match {operators.ROW_NAME}.")
    return name


def _expected_revision(request: sanic.Request) -> int:
    given = request.args.get("expected_revision", "")
    if not given.isdecimal():
        raise _bad_request("expected_revision takes a number.")
    return int(given)


def _bad_request(sentence: str) -> errors.Refusal:
    return errors.Refusal(
        reason=errors.ErrorCode.BAD_REQUEST, sentence=sentence, status=400
    )


_STATUSES = {
    errors.ErrorCode.NOT_FOUND: 404,
    errors.ErrorCode.REVISION_CONFLICT: 409,
    errors.ErrorCode.STORE_CONFLICT: 409,
}


def _refusal(error: errors.BilberrydealError) -> errors.Refusal:
    """Return what an operator is told of a failed change."""
    unknown = isinstance(error, errors.OutcomeUnknown)
    asked_s = getattr(error, "retry_after_s", None)
    known = error.code in _STATUSES
    return errors.Refusal(
        reason=error.code,
        sentence=str(error),
        status=_STATUSES.get(error.code, 503),
        executed=(errors.Executed.UNKNOWN if unknown else errors.Executed.NO),
        retry_after_s=None if known else asked_s or RETRY_AFTER_S,
    )

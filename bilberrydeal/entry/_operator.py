"""Operators' routes for the configuration."""

import collections.abc
import re
import secrets
import typing

import attrs
import msgspec
import sanic
from sanic import response

from .. import configuration
from .. import errors
from .. import keys
from .. import operators
from .. import telemetry
from . import _http

LOG = telemetry.logger("operator")
PREFIX = "/operator/v1"
#: Operators are told to try again after this time, in seconds.
RETRY_AFTER_S = 1.0

Body = typing.TypeVar("Body")
Row = typing.TypeVar(
    "Row",
    configuration.Organisation,
    configuration.Route,
    configuration.Model,
)
Handler = collections.abc.Callable[
    ..., collections.abc.Awaitable[response.HTTPResponse]
]


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
        for path, method, handler in (
            ("/organisations", "GET", self._organisations),
            ("/organisations/<name:str>", "PUT", self._set_organisation),
            ("/keys", "GET", self._keys),
            ("/keys", "POST", self._issue_key),
            ("/keys/<name:str>", "DELETE", self._withdraw_key),
            ("/routes", "GET", self._routes),
            ("/routes/<name:str>", "PUT", self._set_route),
            ("/routes/<name:str>", "DELETE", self._remove_route),
            ("/models", "GET", self._models),
            ("/models/<name:str>", "PUT", self._set_model),
            ("/models/<name:str>", "DELETE", self._remove_model),
        ):
            _http.add_route(
                app,
                PREFIX + path,
                [method],
                self.guarded(handler),
                body_timeout_s,
            )

    def guarded(self, handler: Handler) -> _http.Handler:
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

    async def _organisations(
        self, request: sanic.Request
    ) -> response.HTTPResponse:
        current = self._current()
        rows = sorted(current.organisations.values(), key=lambda o: o.name)
        return _answer(operators.OrganisationList(current.revision, rows))

    async def _set_organisation(
        self, request: sanic.Request, name: str
    ) -> response.HTTPResponse:
        given = _decode(request, operators.OrganisationInput)
        row = _row(configuration.Organisation, name, given)
        return await self._change(
            configuration.SetOrganisation(row, given.expected_revision)
        )

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

    async def _routes(self, request: sanic.Request) -> response.HTTPResponse:
        current = self._current()
        rows = sorted(current.routes.values(), key=lambda route: route.name)
        return _answer(operators.RouteList(current.revision, rows))

    async def _set_route(
        self, request: sanic.Request, name: str
    ) -> response.HTTPResponse:
        given = _decode(request, operators.RouteInput)
        row = _row(configuration.Route, name, given)
        return await self._change(
            configuration.SetRoute(row, given.expected_revision)
        )

    async def _remove_route(
        self, request: sanic.Request, name: str
    ) -> response.HTTPResponse:
        expected = _expected_revision(request)
        return await self._change(configuration.RemoveRoute(name, expected))

    async def _models(self, request: sanic.Request) -> response.HTTPResponse:
        current = self._current()
        rows = sorted(current.models.values(), key=lambda model: model.name)
        return _answer(operators.ModelRows(current.revision, rows))

    async def _set_model(
        self, request: sanic.Request, name: str
    ) -> response.HTTPResponse:
        given = _decode(request, operators.ModelInput)
        row = _row(configuration.Model, name, given)
        return await self._change(
            configuration.SetModel(row, given.expected_revision)
        )

    async def _remove_model(
        self, request: sanic.Request, name: str
    ) -> response.HTTPResponse:
        expected = _expected_revision(request)
        return await self._change(configuration.RemoveModel(name, expected))


def _answer(body: object) -> response.HTTPResponse:
    return _http.json_answer(msgspec.json.encode(body))


def _decode(request: sanic.Request, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(request.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _bad_request(f"The body is not valid: {error}.") from error


def _row(kind: type[Row], name: str, given: attrs.AttrsInstance) -> Row:
    """Return a row with the fields of an input of the same names."""
    fields = attrs.asdict(given, recurse=False)
    del fields["expected_revision"]
    return kind(name=_row_name(name), **fields)


def _row_name(name: str) -> str:
    if re.match(operators.ROW_NAME, name) is None:
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

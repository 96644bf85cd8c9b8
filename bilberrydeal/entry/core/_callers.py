"""Caller requests, independent of the HTTP library."""

import collections.abc
import math

import attrs

from ... import configuration
from ... import errors

DEADLINE_HEADER = "x-deadline-s"
IDEMPOTENCY_HEADER = "idempotency-key"
TRACE_HEADER = "traceparent"
#: Longest idempotency key, in characters.
IDEMPOTENCY_KEY_LIMIT = 200
#: Paths of the completions protocol; they exist without a configured route.
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
_BUILT_IN_ROUTES = {
    path: configuration.Route(
        name=path.removeprefix("/v1/").replace("/", "-"),
        path=path,
        methods=(method,),
        idempotent=True,
    )
    for path, method in (
        (CHAT_PATH, "POST"),
        (COMPLETION_PATH, "POST"),
        (MODELS_PATH, "GET"),
    )
}


@attrs.frozen
class CallerRequest:
    """One request as received from a caller."""

    method: str
    path: str
    #: Path and query string.
    target: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    #: When it was received, monotonic.
    received_at_s: float

    @property
    def authorization(self) -> str | None:
        """The ``Authorization`` header."""
        return self.headers.get("authorization")

    @property
    def content_type(self) -> str:
        """The ``Content-Type`` header, empty without one."""
        return self.headers.get("content-type", "")


def find_route(
    routes: collections.abc.Mapping[str, configuration.Route],
    method: str,
    path: str,
) -> configuration.Route:
    """Return the route of a request, or raise a refusal (404 or 405).

    An exact path takes precedence over a pattern, a longer pattern over a
    shorter one. A configured route replaces the built-in one of its path.
    """
    matching = [route for route in routes.values() if _matches(route, path)]
    if not matching and path in _BUILT_IN_ROUTES:
        matching = [_BUILT_IN_ROUTES[path]]
    if not matching:
        raise errors.Refusal(
            reason=errors.ErrorCode.UNKNOWN_ROUTE,
            message="No route matches this path.",
            status=404,
        )
    matching.sort(key=lambda route: (route.path != path, -len(route.path)))
    for route in matching:
        if method in route.methods:
            return route
    raise errors.Refusal(
        reason=errors.ErrorCode.METHOD_NOT_ALLOWED,
        message=f"This route allows {', '.join(matching[0].methods)}.",
        status=405,
    )


def _matches(route: configuration.Route, path: str) -> bool:
    if route.path.endswith("*"):
        return path.startswith(route.path[:-1])
    return path == route.path


def deadline_s(
    caller: CallerRequest,
    route: configuration.Route,
    default_s: float,
    max_s: float,
) -> float:
    """Return when the caller stops waiting, monotonic seconds."""
    value = caller.headers.get(DEADLINE_HEADER)
    if value is None:
        return caller.received_at_s + (route.deadline_s or default_s)
    try:
        remaining_s = float(value)
    except ValueError:
        remaining_s = math.nan
    if not 0.0 < remaining_s <= max_s:
        raise errors.Refusal(
            reason=errors.ErrorCode.BAD_REQUEST,
            message=(
                f"{DEADLINE_HEADER} must be seconds above 0,"
                f" at most {max_s:g}."
            ),
            status=400,
        )
    return caller.received_at_s + remaining_s


def idempotency_key(caller: CallerRequest) -> str:
    """Return the caller's idempotency key, empty without one."""
    value = caller.headers.get(IDEMPOTENCY_HEADER, "")
    if len(value) > IDEMPOTENCY_KEY_LIMIT or not value.isprintable():
        raise errors.Refusal(
            reason=errors.ErrorCode.BAD_REQUEST,
            message=(
                f"{IDEMPOTENCY_HEADER} must have at most"
                f" {IDEMPOTENCY_KEY_LIMIT} printable characters."
            ),
            status=400,
        )
    return value

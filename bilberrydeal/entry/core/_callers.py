"""What a caller sent, apart from the HTTP library."""

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
#: Paths of the completions protocol; they need no row in the route table.
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
_BUILT_IN = {
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
    """One request as it came in."""

    method: str
    path: str
    #: Path with its query.
    target: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    #: When it came in, monotonic.
    received_at_s: float

    @property
    def authorization(self) -> str | None:
        """The header that carries the key."""
        return self.headers.get("authorization")

    @property
    def content_type(self) -> str:
        """Content type of the body."""
        return self.headers.get("content-type", "")


def find_route(
    routes: collections.abc.Mapping[str, configuration.Route],
    method: str,
    path: str,
) -> configuration.Route:
    """Return the route of a request, or raise a refusal 404 or 405.

    An exact path goes before a pattern, a longer pattern before a shorter;
    a row for a path of the completions protocol replaces its defaults.
    """
    found = [route for route in routes.values() if _matches(route, path)]
    if not found and path in _BUILT_IN:
        found = [_BUILT_IN[path]]
    if not found:
        raise errors.Refusal(
            reason=errors.ErrorCode.UNKNOWN_ROUTE,
            sentence="No route has this path.",
            status=404,
        )
    found.sort(key=lambda route: (route.path != path, -len(route.path)))
    for route in found:
        if method in route.methods:
            return route
    raise errors.Refusal(
        reason=errors.ErrorCode.METHOD_NOT_ALLOWED,
        sentence=f"This route takes {', '.join(found[0].methods)}.",
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
    longest_s: float,
) -> float:
    """Return when the caller stops waiting, monotonic seconds."""
    given = caller.headers.get(DEADLINE_HEADER)
    if given is None:
        return caller.received_at_s + (route.deadline_s or default_s)
    try:
        left_s = float(given)
    except ValueError:
        left_s = math.nan
    if not 0.0 < left_s <= longest_s:
        raise errors.Refusal(
            reason=errors.ErrorCode.BAD_REQUEST,
            sentence=(
                f"{DEADLINE_HEADER} takes seconds above 0,"
                f" at most {longest_s:g}."
            ),
            status=400,
        )
    return caller.received_at_s + left_s


def idempotency_key(caller: CallerRequest) -> str:
    """Return the caller's idempotency key, empty without one."""
    given = caller.headers.get(IDEMPOTENCY_HEADER, "")
    if len(given) > IDEMPOTENCY_KEY_LIMIT or not given.isprintable():
        raise errors.Refusal(
            reason=errors.ErrorCode.BAD_REQUEST,
            sentence=(
                f"{IDEMPOTENCY_HEADER} takes up to {IDEMPOTENCY_KEY_LIMIT}"
                " printable characters."
            ),
            status=400,
        )
    return given

import pytest

from bilberrydeal import configuration
from bilberrydeal import errors
from bilberrydeal.entry.core import _callers

ROUTES = {
    route.name: route
    for route in (
        configuration.Route("stock", "/stock/*", ("GET",)),
        configuration.Route("kid", "/stock/kid", ("GET", "POST")),
        configuration.Route("chat", "/v1/chat/completions", request_class=3),
    )
}

FOUND = [
    ("GET", "/stock/lamb", "stock"),
    ("GET", "/stock/kid", "kid"),
    ("POST", "/v1/chat/completions", "chat"),
    ("POST", "/v1/completions", "completions"),
    ("GET", "/v1/models", "models"),
]
REFUSED = [
    ("GET", "/nowhere", 404),
    ("DELETE", "/stock/lamb", 405),
    ("GET", "/v1/completions", 405),
]


@pytest.mark.parametrize(("method", "path", "name"), FOUND)
def test_route_is_found(method: str, path: str, name: str) -> None:
    assert _callers.find_route(ROUTES, method, path).name == name


@pytest.mark.parametrize(("method", "path", "status"), REFUSED)
def test_other_requests_are_refused(
    method: str, path: str, status: int
) -> None:
    with pytest.raises(errors.Refusal) as caught:
        _callers.find_route(ROUTES, method, path)
    assert caught.value.status == status
    assert caught.value.executed is errors.Executed.NO


def _caller(**headers: str) -> _callers.CallerRequest:
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    return _callers.CallerRequest("POST", "/", "/", named, b"", 100.0)


@pytest.mark.parametrize(
    ("given", "expected_s"),
    [({}, 107.0), ({"x_deadline_s": "2.5"}, 102.5)],
)
def test_deadline(given: dict[str, str], expected_s: float) -> None:
    route = configuration.Route("r", "/", deadline_s=7.0)
    found_s = _callers.deadline_s(_caller(**given), route, 60.0, 600.0)
    assert found_s == expected_s


@pytest.mark.parametrize("given", ["", "x", "nan", "inf", "-1", "0", "601"])
def test_bad_deadline_is_refused(given: str) -> None:
    route = configuration.Route("r", "/")
    with pytest.raises(errors.Refusal):
        _callers.deadline_s(_caller(x_deadline_s=given), route, 60.0, 600.0)


@pytest.mark.parametrize("given", ["k" * 201, "a\x00b", "line\nbreak"])
def test_bad_idempotency_key_is_refused(given: str) -> None:
    with pytest.raises(errors.Refusal):
        _callers.idempotency_key(_caller(idempotency_key=given))

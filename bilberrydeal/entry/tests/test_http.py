import types
import typing

import msgspec
import pytest

from bilberrydeal import errors
from bilberrydeal.entry.http_api import _http

KEYED = {"idempotency-key": "order-17"}


@pytest.mark.parametrize(
    ("headers", "covers_key", "executed"),
    [
        ({}, False, "no"),
        (KEYED, False, "unknown"),
        (KEYED, True, "no"),
    ],
)
def test_not_run_with_a_key_must_cover_all_its_requests(
    headers: dict[str, str], covers_key: bool, executed: str
) -> None:
    request: typing.Any = types.SimpleNamespace(headers=headers)
    refusal = errors.Refusal(
        reason=errors.ErrorCode.SHUTTING_DOWN,
        message="Use another.",
        status=503,
        retry_after_s=0.2,
        covers_key=covers_key,
    )
    answer = _http.refusal_response(request, refusal)
    body = msgspec.json.decode(answer.body or b"")
    assert body["error"]["executed"] == executed
    assert answer.headers["Retry-After"] == "1"

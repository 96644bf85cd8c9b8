"""Tests classifying responses and decoding callers' header fields."""

import math

import pytest

from ... import http1
from ... import platform

ResponseClass = platform.ResponseClass
SIGNED = (b"server-signature", b"s")
PROOF = (b"not-executed", b"1")


@pytest.mark.parametrize(
    ("status", "headers", "response_class"),
    [
        (200, [SIGNED], ResponseClass.RESULT),
        (204, [SIGNED], ResponseClass.RESULT),
        (200, [], ResponseClass.INVALID),
        (200, [SIGNED, (b"content-encoding", b"gzip")], ResponseClass.INVALID),
        (500, [SIGNED], ResponseClass.FAILURE),
        (500, [], ResponseClass.FAILURE),
        (504, [SIGNED], ResponseClass.FAILURE),
        (503, [PROOF], ResponseClass.NOT_RUN),
        (429, [PROOF], ResponseClass.NOT_RUN),
        (400, [PROOF], ResponseClass.NOT_RUN),
        (421, [], ResponseClass.NOT_RUN),
        (503, [], ResponseClass.INVALID),
        (429, [], ResponseClass.INVALID),
        (408, [SIGNED], ResponseClass.INVALID),
    ],
)
def test_response_class(
    status: int, headers: list[http1.Header], response_class: ResponseClass
) -> None:
    head = http1.ResponseHead(status, tuple(headers))
    assert platform.classify_response(head) is response_class


def _request(*headers: http1.Header) -> http1.Request:
    return http1.Request(b"GET", b"/", headers, b"", False, 0.0, 0.0)


@pytest.mark.parametrize(
    ("value", "timeout_s"),
    [
        (b"1500", 1.5),
        (b"15000.0", 15.0),
        (b"-5", 0.0),
        (b"soon", math.inf),
        (b"", math.inf),
    ],
)
def test_deadline_field_is_decoded(value: bytes, timeout_s: float) -> None:
    caller = platform.decode_caller(_request((b"deadline-ms", value)))
    assert caller.timeout_s == timeout_s


@pytest.mark.parametrize(
    ("counts", "parts", "tokens"),
    [
        (b"1460,80", b"5c:800,91:410,e4:250", 1460),
        (b"1460, 80", b" 5c:800, 91:660 ", 1460),
        (b"100,5", b"", 100),
        (b"100", b"a:1", None),
        (b"x,y", b"a:1", None),
        (b"1,1", b"a:b", None),
    ],
)
def test_prompt_fields_are_decoded(
    counts: bytes, parts: bytes, tokens: int | None
) -> None:
    caller = platform.decode_caller(
        _request((b"token-usage", counts), (b"prefix-hash", parts))
    )
    found = caller.prompt.tokens if caller.prompt else None
    assert found == tokens


def test_repeated_key_is_ignored() -> None:
    caller = platform.decode_caller(_request((b"key", b"k1"), (b"key", b"k2")))
    assert caller.key is None


def test_connection_field_removes_no_protected_field() -> None:
    request = _request(
        (b"connection", b"request-id, x-hop, model"),
        (b"request-id", b"r1"),
        (b"model", b"m"),
        (b"x-hop", b"1"),
    )
    fields = platform.SendFields("e1", 1.0, None)
    head = platform.forward_head(request, fields)
    assert b"request-id: r1" in head
    assert b"model: m" in head
    assert b"x-hop" not in head

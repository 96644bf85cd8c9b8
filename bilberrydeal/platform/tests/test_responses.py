"""Tests classifying responses and decoding callers' header fields."""

import math

import pytest

from ... import http1
from ... import platform

Verdict = platform.Verdict
SIGNED = (b"server-signature", b"s")
PROOF = (b"not-executed", b"1")


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, [SIGNED], Verdict.ANSWER),
        (204, [SIGNED], Verdict.ANSWER),
        (200, [], Verdict.DEFECT),
        (200, [SIGNED, (b"content-encoding", b"gzip")], Verdict.DEFECT),
        (500, [SIGNED], Verdict.FAILURE),
        (500, [], Verdict.FAILURE),
        (504, [SIGNED], Verdict.FAILURE),
        (503, [PROOF], Verdict.NOT_RUN),
        (429, [PROOF], Verdict.NOT_RUN),
        (400, [PROOF], Verdict.NOT_RUN),
        (421, [], Verdict.NOT_RUN),
        (503, [], Verdict.DEFECT),
        (429, [], Verdict.DEFECT),
        (408, [SIGNED], Verdict.DEFECT),
    ],
)
def test_response_verdict(
    status: int, headers: list[http1.Header], verdict: Verdict
) -> None:
    head = http1.ResponseHead(status, tuple(headers))
    assert platform.verdict(head) is verdict


def _request(*headers: http1.Header) -> http1.Request:
    return http1.Request(b"GET", b"/", headers, b"", False, 0.0, 0.0)


@pytest.mark.parametrize(
    ("value", "patience_s"),
    [
        (b"1500", 1.5),
        (b"15000.0", 15.0),
        (b"-5", 0.0),
        (b"soon", math.inf),
        (b"", math.inf),
    ],
)
def test_deadline_field_is_decoded(value: bytes, patience_s: float) -> None:
    caller = platform.decode_caller(_request((b"deadline-ms", value)))
    assert caller.patience_s == patience_s


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

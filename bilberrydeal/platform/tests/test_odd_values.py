"""Values in responses and requests that are not what they should be."""

import msgspec
import pytest

from ... import http1
from ... import platform
from .. import _caller_fields
from .. import _eras

NESTED = b"[" * 10_000 + b"]" * 10_000


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"kv_handle":"3fa0","tokens":7}', "3fa0"),
        (b'{"kv_handle":"3fa0","tokens":1e9}', "3fa0"),
        (b'{"kv_handle":""}', None),
        (b'{"kv_handle":"a b"}', None),
        (b'{"kv_handle":"a\\r\\nkey: 1"}', None),
        (b'{"kv_handle":"a\\n"}', None),
        (b'{"kv_handle":"\\u0665"}', None),
        (b'{"kv_handle":"' + b"a" * 300 + b'"}', None),
        (b'{"kv_handle":7}', None),
        (b'{"kv_handle":"3fa0","x":' + NESTED + b"}", None),
        (b"\xff", None),
    ],
)
def test_handle_that_is_no_header_value_is_not_used(
    body: bytes, expected: str | None
) -> None:
    """Guards against fields that an engine adds to requests to others."""
    assert platform.EngineApi().decode_kv_handle(body) == expected


def _request(name: bytes, value: bytes) -> http1.Request:
    return http1.Request(
        method=b"POST",
        target=b"/",
        headers=((name, value),),
        body=b"",
        has_body=False,
        started_s=0.0,
        read_s=0.0,
    )


@pytest.mark.parametrize(
    ("value", "expected_s"),
    [
        (b"2000", 2.0),
        (b"-5", 0.0),
        (b"nan", float("inf")),
        (b"inf", float("inf")),
        (b"9" * 5_000, float("inf")),
        (b"soon", float("inf")),
    ],
)
def test_deadline_that_is_no_number_counts_as_absent(
    value: bytes, expected_s: float
) -> None:
    found = _caller_fields.decode_caller(_request(b"deadline-ms", value))
    assert found.timeout_s == expected_s


@pytest.mark.parametrize(
    "value", [b"-1,5", b"5,-1", b"1", b"1e3,5", b"9" * 400 + b",5", b"x,y"]
)
def test_token_counts_out_of_range_count_as_absent(value: bytes) -> None:
    found = _caller_fields.decode_caller(_request(b"token-usage", value))
    assert found.prompt is None


@pytest.mark.parametrize("value", [b"9" * 5_000, b"-1", b"1.5", b""])
def test_era_that_is_no_number_counts_as_absent(value: bytes) -> None:
    tracker = _eras.EraTracker()
    assert tracker.note(value, 1, tracker.start_call()) is None


@pytest.mark.parametrize(
    ("host", "port"),
    [("10.0.0.1", 70_000), ("10.0.0.1", -1), ("x" * 300, 80), ("\x00", 80)],
)
async def test_address_that_cannot_be_used_counts_as_not_reached(
    host: str, port: int
) -> None:
    with pytest.raises(http1.NotSent):
        await http1.connect(host, port, 0.5)


def test_configuration_nested_too_deep_is_unreadable() -> None:
    value = msgspec.json.encode({"version": 1, "routes": [], "services": []})
    nested = value[:-1] + b',"x":' + NESTED + b"}"
    with pytest.raises(platform.RecordInvalid):
        platform.decode_configuration(nested)

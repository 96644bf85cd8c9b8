"""Tests decoding valid, malformed and random platform records."""

import contextlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from ... import catalogue
from ... import platform
from ... import ports

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Shop.Example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 2000,
            "target_latency_ms": 150,
            "priority": 0,
            "traffic_split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 0},
            ],
            "max_attempts": 1,
            "resumable": True,
            "target_gap_ms": 150,
            "new_field": 1,
        },
        {
            "name": "r2",
            "host": "shop.example",
            "path_prefix": "/a/b/",
            "kind": "unsafe",
            "service": "s1",
        },
    ],
    "services": [
        {
            "name": "s1",
            "max_connections": 370,
            "engine": {"slots": 64, "kv_capacity_tokens": 10},
        },
        {"name": "s2"},
    ],
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=6,
)
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)


def _decode(**fields: object) -> object:
    found = {**CONFIG, **fields}
    return platform.decode_configuration(msgspec.json.encode(found))


def test_configuration_is_decoded() -> None:
    found = _decode()
    assert isinstance(found, catalogue.Configuration)
    first, second = found.routes
    assert first.host == b"shop.example"
    assert first.kind is catalogue.RouteKind.STREAM
    assert first.idempotent
    assert first.timeout_s == 2.0
    assert [split.service for split in first.splits] == ["s1"]
    assert second.kind is catalogue.RouteKind.ONCE
    assert not second.idempotent
    assert found.services["s1"].engine is not None
    assert found.services["s2"].engine is None
    assert found.organisations is not None
    assert found.organisations[b"k2"].name == "t1"


def test_configuration_without_tenants_has_no_organisations() -> None:
    found = {name: v for name, v in CONFIG.items() if name != "tenants"}
    decoded = platform.decode_configuration(msgspec.json.encode(found))
    assert decoded.organisations is None


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "seven"},
        {"routes": [{"name": "r"}]},
        {"routes": [{"name": "r", "host": "h", "kind": "odd"}]},
        {"services": None},
        {"tenants": [{"name": 1}]},
    ],
)
def test_invalid_configuration_is_rejected_as_a_whole(
    fields: dict[str, object],
) -> None:
    with pytest.raises(platform.RecordInvalid):
        _decode(**fields)


def test_endpoint_is_decoded() -> None:
    row = {
        "service": "s1",
        "address": "10.0.0.1:8080",
        "zone": "z",
        "slots": 64,
        "state": "draining",
        "stage": "decode",
        "born": 17,
        "version": "v1",
        "models": [],
    }
    found = platform.decode_endpoint("e1", msgspec.json.encode(row))
    assert found.address == "10.0.0.1:8080"
    assert not found.ready
    assert found.role is ports.EngineRole.DECODE
    assert found.started_ms == 17
    assert found.software_version == "v1"


@FUZZ
@hypothesis.given(value=JSON)
def test_decoders_reject_random_json(value: object) -> None:
    data = msgspec.json.encode(value)
    for decode in (
        platform.decode_configuration,
        lambda each: platform.decode_endpoint("e", each),
    ):
        with pytest.raises(platform.RecordInvalid):
            decode(data)


@FUZZ
@hypothesis.given(data=strategies.binary(max_size=200))
def test_decoders_reject_random_bytes(data: bytes) -> None:
    with pytest.raises(platform.RecordInvalid):
        platform.decode_configuration(data)
    with pytest.raises(platform.RecordInvalid):
        platform.decode_endpoint("e", data)


@FUZZ
@hypothesis.given(
    name=strategies.sampled_from(
        [
            "service",
            "address",
            "zone",
            "slots",
            "state",
            "stage",
            "born",
            "version",
        ]
    ),
    value=JSON,
)
def test_field_of_wrong_type_raises_only_record_invalid(
    name: str, value: object
) -> None:
    row: dict[str, object] = {
        "service": "s1",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 1,
        "state": "ready",
        name: value,
    }
    with contextlib.suppress(platform.RecordInvalid):
        platform.decode_endpoint("e", msgspec.json.encode(row))

"""Quotas in the configuration, and what requests cost."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from ... import catalogue
from ... import http1
from ... import platform

TOKENS = catalogue.QuotaUnit.TOKENS
REQUESTS = catalogue.QuotaUnit.REQUESTS


def _decoded(tenant: str, version: int = 1) -> catalogue.Configuration:
    """Return a configuration with one organisation, given as JSON fields."""
    return platform.decode_configuration(
        b'{"version":%d,"routes":[],"services":[],"tenants":['
        b'{"name":"t1","api_keys":["k1"]%b}]}' % (version, tenant.encode())
    )


@pytest.mark.parametrize(
    ("tenant", "expected"),
    [
        ("", None),
        (',"rate_per_s":0,"burst":7', None),
        (',"rate_per_s":null', None),
        (',"rate_per_s":5', catalogue.Quota(REQUESTS, 5.0, 5.0, 0.0)),
        (
            ',"unit":"tokens","plain_tokens":200,"rate_per_s":1128290,'
            '"burst":1128290,"more":[1]',
            catalogue.Quota(TOKENS, 1_128_290.0, 1_128_290.0, 200.0),
        ),
        (
            ',"unit":"requests","rate_per_s":2.5,"burst":0',
            catalogue.Quota(REQUESTS, 2.5, 0.0, 0.0),
        ),
    ],
)
def test_quota_is_decoded(
    tenant: str, expected: catalogue.Quota | None
) -> None:
    found = _decoded(tenant)
    assert found.organisations is not None
    assert found.organisations[b"k1"].quota == expected
    assert found.quotas == ({} if expected is None else {"t1": expected})
    assert found.quota_faults == ()


@pytest.mark.parametrize(
    "tenant",
    [
        ',"unit":"bytes","rate_per_s":5',
        ',"unit":7,"rate_per_s":5',
        ',"unit":["tokens"],"rate_per_s":5',
        ',"rate_per_s":-1',
        ',"rate_per_s":1e300',
        f',"rate_per_s":1{"0" * 400}',
        ',"rate_per_s":1e400',
        ',"rate_per_s":' + "9" * 5_000,
        ',"rate_per_s":"5"',
        ',"rate_per_s":true',
        ',"rate_per_s":{"a":1}',
        ',"rate_per_s":5,"burst":-1',
        ',"rate_per_s":5,"burst":1e16',
        ',"rate_per_s":5,"plain_tokens":"x"',
    ],
)
def test_invalid_quota_is_not_applied_and_nothing_else_is_lost(
    tenant: str,
) -> None:
    """Guards against a configuration lost for one figure."""
    found = _decoded(tenant)
    assert found.organisations is not None
    assert found.organisations[b"k1"] == catalogue.Organisation("t1", None)
    assert found.quotas == {}
    assert len(found.quota_faults) == 1
    assert found.quota_faults[0].startswith("t1: ")
    assert len(found.quota_faults[0]) < 200


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (None, 200.0),
        (b"1460,80", 1_540.0),
        (b"10,20", 30.0),
        (b"0,0", 0.0),
        (b" 1460 , 80 ", 1_540.0),
        (b"1460", 1_460.0),
        (b"1460,", 1_460.0),
        (b"1460,x", 1_460.0),
        (b",80", 200.0),
        (b"x,900", 900.0),
        (b"1460,-1", 1_460.0),
        (b"1460,1000000001", 1_460.0),
        (b"1000000000,1000000000", 2e9),
        (b"", 200.0),
        (b"x,y", 200.0),
        (b"1,2,3", 200.0),
        (b"9" * 5_000, 200.0),
        (b"\xff,\x00", 200.0),
    ],
)
def test_cost_in_tokens(header: bytes | None, expected: float) -> None:
    quota = catalogue.Quota(TOKENS, 5.0, 5.0, 200.0)
    assert platform.quota_cost(quota, header) == expected


@pytest.mark.parametrize("header", [None, b"1460,80", b"x"])
def test_cost_in_requests(header: bytes | None) -> None:
    quota = catalogue.Quota(REQUESTS, 5.0, 5.0, 200.0)
    assert platform.quota_cost(quota, header) == 1.0


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.binary(max_size=40))
def test_any_header_has_a_cost(header: bytes) -> None:
    quota = catalogue.Quota(TOKENS, 5.0, 5.0, 200.0)
    assert 0.0 <= platform.quota_cost(quota, header) <= 2e9


def test_header_is_kept_for_the_cost() -> None:
    request = http1.Request(
        method=b"POST",
        target=b"/",
        headers=((b"token-usage", b"7,1"),),
        body=b"",
        has_body=False,
        started_s=0.0,
        read_s=0.0,
    )
    assert platform.decode_caller(request).token_counts == b"7,1"


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.sampled_from(["unit", "plain_tokens", "rate_per_s", "burst"]),
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | strategies.text(max_size=8),
        lambda inner: strategies.lists(inner, max_size=2),
        max_leaves=4,
    ),
)
def test_no_value_loses_the_configuration(name: str, value: object) -> None:
    fields = {"rate_per_s": 5.0, name: value}
    text = "".join(
        f',"{key}":{msgspec.json.encode(each).decode()}'
        for key, each in fields.items()
    )
    found = _decoded(text)
    for quota in found.quotas.values():
        assert 0.0 < quota.rate_per_s <= platform.AMOUNT_LIMIT
        assert 0.0 <= quota.burst <= platform.AMOUNT_LIMIT

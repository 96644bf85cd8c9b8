"""Addresses that another writer may leave."""

import pytest

from .. import _addresses


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        ("10.0.0.1:80", ("10.0.0.1", 80)),
        ("127.0.0.1:0", ("127.0.0.1", 0)),
        ("::1:65535", ("::1", 65_535)),
    ],
)
def test_address_is_split(address: str, expected: tuple[str, int]) -> None:
    assert _addresses.split_address(address) == expected


@pytest.mark.parametrize(
    "address",
    [
        "",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:-1",
        "10.0.0.1:+80",
        "10.0.0.1: 80",
        "10.0.0.1:8_0",
        "10.0.0.1:65536",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:٨٠",
        "10.0.0:80",
        "10.0.0.1\r\nx:80",
        "shop.example:80",
        "x" * 300 + ":80",
    ],
)
def test_address_is_refused(address: str) -> None:
    with pytest.raises(_addresses.AddressInvalid):
        _addresses.split_address(address)

"""What endpoints tell about themselves in their responses."""

import pytest

from ... import http1
from ... import platform


@pytest.mark.parametrize(
    ("status", "value", "leaving"),
    [
        (200, b"1", True),
        (204, b"1", True),
        (400, b"1", True),
        (500, b"1", True),
        (503, b"1", True),
        (200, b" 1 ", True),
        (200, b"0", False),
        (200, b"", False),
        (200, b"11", False),
        (200, None, False),
        # Another endpoint may have responded.
        (421, b"1", False),
    ],
)
def test_leaving_endpoint_says_so_in_any_response(
    status: int, value: bytes | None, leaving: bool
) -> None:
    headers = [] if value is None else [(b"server-leaving", value)]
    head = http1.ResponseHead(status, tuple(headers))
    assert platform.endpoint_signals(head).leaving is leaving

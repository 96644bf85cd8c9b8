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


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"2", 2.0),
        (503, b"0.25", 0.25),
        (503, b"0", 0.0),
        (503, None, 0.0),
        (503, b"", 0.0),
        (503, b"-1", 0.0),
        (503, b"soon", 0.0),
        (503, b"nan", 0.0),
        (503, b"Fri, 04 Dec 2026 15:00:00 GMT", 0.0),
        (503, b"36000", 600.0),
        (503, b"inf", 600.0),
        # Only an endpoint that turns a request away asks for a pause.
        (429, b"2", 0.0),
        (200, b"2", 0.0),
        (421, b"2", 0.0),
    ],
)
def test_endpoint_asks_for_a_pause(
    status: int, value: bytes | None, pause_s: float
) -> None:
    headers = [] if value is None else [(b"retry-after", value)]
    head = http1.ResponseHead(status, tuple(headers))
    assert platform.endpoint_signals(head).pause_s == pause_s

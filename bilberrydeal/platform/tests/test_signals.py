"""What endpoints tell about themselves in their responses."""

import math

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


@pytest.mark.parametrize(
    ("status", "value", "limit_per_s"),
    [
        (200, b"11.7", 11.7),
        (200, b" 2 ", 2.0),
        (200, b"0", 0.0),
        (500, b"5.4", 5.4),
        (503, b"5.4", 5.4),
        (200, None, math.inf),
        (503, None, math.inf),
        # What is not understood neither names a limit nor ends one.
        (200, b"", None),
        (200, b"-1", None),
        (200, b"nan", None),
        (200, b"inf", None),
        (200, b"few", None),
        # Another endpoint may have responded.
        (421, b"2", None),
        (421, None, None),
    ],
)
def test_endpoint_names_its_request_limit_in_any_response(
    status: int, value: bytes | None, limit_per_s: float | None
) -> None:
    headers = [] if value is None else [(b"server-limit", value)]
    head = http1.ResponseHead(status, tuple(headers))
    assert platform.endpoint_signals(head).limit_per_s == limit_per_s

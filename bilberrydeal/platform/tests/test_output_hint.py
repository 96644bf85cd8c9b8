"""The number of output tokens that a caller expects."""

import pytest

from ... import http1
from ... import platform


@pytest.mark.parametrize(
    ("hint", "held_tokens"),
    [
        (None, 180),
        (b"25", 125),
        (b"80", 180),
        (b"5000", 180),
        (b"-1", 180),
        (b"many", 180),
        (b"", 180),
        (b"99999999999999999999", 180),
    ],
)
def test_output_hint_is_used_up_to_the_limit(
    hint: bytes | None, held_tokens: int
) -> None:
    """Guards against memory that is counted by a false hint."""
    headers = [(b"token-usage", b"100,80")]
    if hint is not None:
        headers.append((b"output-length-hint", hint))
    request = http1.Request(
        b"POST", b"/", tuple(headers), b"", False, 0.0, 0.0
    )
    prompt = platform.decode_caller(request).prompt
    assert prompt is not None
    assert prompt.held_tokens == held_tokens

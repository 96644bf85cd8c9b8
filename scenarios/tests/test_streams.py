"""Streams that were joined and streams that were lost are found."""

import pytest

from scenarios import _lost_gateways
from scenarios import _streams
from standins import users_endpoint


def _events(*written: tuple[int, str]) -> str:
    return "".join(
        users_endpoint.event_of("s1", number, version)
        for number, version in written
    )


@pytest.mark.parametrize(
    ("text", "joined"),
    [
        ("", False),
        (_events((1, "v0"), (2, "v0")), False),
        (_events((1, "v0"), (2, "v1")), True),
        (_events((1, "v0"), (3, "v0")), True),
        (_events((1, "v0"), (1, "v0")), True),
        (_events((2, "v0")), True),
    ],
    ids=["none", "sound", "two_versions", "missing", "twice", "no_first"],
)
def test_events_of_one_version_are_told_from_others(
    text: str, joined: bool
) -> None:
    assert _streams.is_joined("s1", text) == joined


@pytest.mark.parametrize(
    ("went_on", "began", "lost"),
    [(12, 24, False), (11, 24, True), (6, 12, False), (5, 12, True)],
)
def test_streams_are_lost_below_half_the_share_of_new_ones(
    went_on: int, began: int, lost: bool
) -> None:
    counts = _lost_gateways.Counts(24, (went_on, 24), 24, began, ())
    assert counts.is_lost == lost

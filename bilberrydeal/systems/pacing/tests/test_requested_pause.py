"""Pauses for which endpoints ask."""

import pytest

from ... import pacing


@pytest.mark.parametrize(
    ("now_s", "in_flight", "permitted"),
    [
        (10.0, 0, False),
        (14.9, 0, False),
        (15.0, 0, True),
        (15.0, 1, True),
        (15.0, 2, False),
        (60.0, 2, False),
    ],
)
def test_endpoint_gets_nothing_in_its_pause_and_little_after(
    now_s: float, in_flight: int, permitted: bool
) -> None:
    pause = pacing.RequestedPause()
    pause.request(5.0, 10.0)
    assert pause.permits(in_flight, now_s) is permitted


def test_endpoint_without_a_pause_is_not_limited() -> None:
    assert pacing.RequestedPause().permits(1_000, 0.0)


def test_shorter_pause_does_not_end_a_longer_one() -> None:
    pause = pacing.RequestedPause()
    pause.request(5.0, 10.0)
    pause.request(1.0, 11.0)
    assert pause.left_s(12.0) == 3.0


@pytest.mark.parametrize(
    ("accepted_s", "permitted"), [(12, False), (16, True)]
)
def test_only_an_acceptance_after_the_pause_ends_the_trial(
    accepted_s: float, permitted: bool
) -> None:
    pause = pacing.RequestedPause()
    pause.request(5.0, 10.0)
    pause.accepted(accepted_s)
    assert pause.permits(100, 20.0) is permitted


def test_refused_callers_come_back_after_the_pause_and_not_together() -> None:
    times_s = [
        pacing.retry_after_s(4.0, b"r%d" % number) for number in range(100)
    ]
    assert min(times_s) >= 4.0
    assert max(times_s) <= 5.0
    assert len({round(time_s, 1) for time_s in times_s}) >= 8

"""Sends over a narrow link: who goes first, and how long it takes."""

import pytest

from bilberrydeal.systems import pacing

#: Mbit/s at which a byte of a body takes a millisecond.
RATE_MBPS = 0.008 / 0.92
BODY_BYTES = 100


def queue() -> pacing.UplinkQueue:
    return pacing.UplinkQueue(RATE_MBPS, 0.0)


def test_a_send_on_an_idle_link_goes_at_once() -> None:
    assert queue().ask(BODY_BYTES, 1, 0.0).granted


def test_a_send_waits_until_those_before_it_have_nearly_left() -> None:
    uplink = queue()
    uplink.ask(BODY_BYTES, 1, 0.0)
    turn = uplink.ask(BODY_BYTES, 1, 0.0)
    assert not turn.granted
    assert uplink.pause_s(0.0) == pytest.approx(0.08)
    assert uplink.grant(0.07) == []
    assert uplink.grant(0.081) == [turn]
    assert uplink.pause_s(0.081) is None


def test_the_most_urgent_goes_first() -> None:
    uplink = queue()
    uplink.ask(BODY_BYTES, 1, 0.0)
    late, early, first = (uplink.ask(BODY_BYTES, n, 0.0) for n in (6, 1, 0))
    order = [turn for tenths in range(1, 5) for turn in uplink.grant(tenths)]
    assert order == [first, early, late]


def test_who_has_left_takes_no_time() -> None:
    uplink = queue()
    uplink.ask(BODY_BYTES, 1, 0.0)
    gone, stays = (uplink.ask(BODY_BYTES, 1, 0.0) for _ in range(2))
    gone.left = True
    assert uplink.wait_s(1, 0.0) == pytest.approx(0.2)
    assert uplink.grant(0.09) == [stays]


@pytest.mark.parametrize(("rank", "wait_s"), [(0, 0.1), (1, 0.2), (6, 0.3)])
def test_the_wait_is_for_what_is_as_urgent(rank: int, wait_s: float) -> None:
    uplink = queue()
    for other in (1, 1, 6):
        uplink.ask(BODY_BYTES, other, 0.0)
    assert uplink.wait_s(rank, 0.0) == pytest.approx(wait_s)


def test_noted_bytes_delay_what_comes_after() -> None:
    uplink = queue()
    uplink.note(BODY_BYTES, 0.0)
    assert not uplink.ask(BODY_BYTES, 1, 0.0).granted


def test_the_load_of_long_prompts_on_a_narrow_link() -> None:
    """Short urgent prompts wait for one body at most, however many wait."""
    uplink = pacing.UplinkQueue(5.0, 0.0)
    for _ in range(40):
        uplink.ask(9_200, 1, 0.0)
    turn = uplink.ask(4_000, 0, 0.0)
    granted_s = 0.0
    while not turn.granted:
        granted_s += uplink.pause_s(granted_s) or 0.0
        uplink.grant(granted_s)
    assert granted_s < 0.03
    assert uplink.wait_s(1, granted_s) > 0.5

"""When heartbeats are due, and when a link counts as dead."""

import math

import pytest

from bilberrydeal import link
from bilberrydeal import settings

from .. import _pulse

LINK = settings.LinkSettings(idle_heartbeat_s=5.0, silent_bound_s=1.5)
STEP_S = 0.0625


def beats(busy: bool, frames: bool, urgent: bool) -> list[float]:
    """Return when heartbeats are sent in 11 s, each echoed at once."""
    pulse = _pulse.Asker(LINK, lambda: busy, 0.0)
    sent = []
    for step in range(round(11 / STEP_S)):
        now_s = step * STEP_S
        if frames:
            pulse.received(now_s)
        if urgent:
            pulse.urgent()
        beat = pulse.beat(now_s)
        if beat is not None:
            sent.append(now_s)
            pulse.received(now_s)
            pulse.took(link.Echo(beat.beat))
    return sent


@pytest.mark.parametrize(
    ("busy", "frames", "urgent", "pause_s"),
    [
        (False, False, False, 5.0),
        (False, True, False, 5.0),
        (True, True, False, 1.5),
        (True, False, False, 0.5),
        (True, True, True, 0.5),
        (False, False, True, 0.5),
    ],
)
def test_pause_between_heartbeats(
    busy: bool, frames: bool, urgent: bool, pause_s: float
) -> None:
    sent = beats(busy, frames, urgent)
    assert len(sent) == math.ceil(11 / pause_s)
    pauses = {b - a for a, b in zip(sent, sent[1:], strict=False)}
    assert pauses == {pause_s}


def asked(busy: bool) -> _pulse.Asker:
    """Return an entry's end whose first heartbeat was echoed at 0."""
    pulse = _pulse.Asker(LINK, lambda: busy, 0.0)
    beat = pulse.beat(0.0)
    assert beat is not None
    pulse.took(link.Echo(beat.beat))
    assert pulse.established
    return pulse


@pytest.mark.parametrize(
    ("busy", "frames_until_s", "found_s"),
    [(True, 0.0, 1.5), (True, 9.0, 2.5), (False, 0.0, 6.0)],
)
def test_silence_is_found(
    busy: bool, frames_until_s: float, found_s: float
) -> None:
    pulse = asked(busy)
    now_s = 0.0
    while not pulse.silent(now_s):
        now_s += STEP_S
        if now_s <= frames_until_s:
            pulse.received(now_s)
        pulse.beat(now_s)
    assert found_s < now_s <= found_s + STEP_S


@pytest.mark.parametrize(
    ("after_s", "holding"), [(0.0, False), (1.5, False), (1.6, True)]
)
def test_only_an_idle_link_holds_work_back(
    after_s: float, holding: bool
) -> None:
    pulse = asked(busy=False)
    pulse.prove(after_s)
    assert pulse.holding == holding
    if holding:
        beat = pulse.beat(after_s)
        assert beat is not None
        pulse.took(link.Echo(beat.beat + 1))
        assert pulse.holding
        pulse.took(link.Echo(beat.beat))
        assert not pulse.holding


@pytest.mark.parametrize(("busy", "dead_s"), [(True, 3.0), (False, 6.5)])
def test_agent_waits_for_what_the_entry_named(
    busy: bool, dead_s: float
) -> None:
    beat = _pulse.Asker(LINK, lambda: busy, 0.0).beat(0.0)
    assert beat is not None
    pulse = _pulse.Echoer(LINK, 0.0)
    assert pulse.silent(LINK.silent_bound_s + STEP_S)
    assert pulse.took(beat) == link.Echo(beat.beat)
    assert not pulse.silent(dead_s)
    assert pulse.silent(dead_s + STEP_S)
    pulse.received(1.0)
    assert not pulse.silent(dead_s + 1.0)

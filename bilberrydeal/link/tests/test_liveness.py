"""When heartbeats are due, and when a peer counts as dead."""

import math

import pytest

from bilberrydeal import link
from bilberrydeal import settings

from .. import _liveness

LINK = settings.LinkSettings(idle_heartbeat_s=5.0, silent_bound_s=1.5)
STEP_S = 0.0625


def heartbeat_times(busy: bool, frames: bool, urgent: bool) -> list[float]:
    """Return when heartbeats are sent in 11 s, each echoed at once."""
    liveness = _liveness.HeartbeatSender(LINK, lambda: busy, 0.0)
    sent = []
    for step in range(round(11 / STEP_S)):
        now_s = step * STEP_S
        if frames:
            liveness.frame_received(now_s)
        if urgent:
            liveness.request_heartbeat()
        heartbeat = liveness.due_heartbeat(now_s)
        if heartbeat is not None:
            sent.append(now_s)
            liveness.frame_received(now_s)
            liveness.message_received(link.Echo(heartbeat.beat))
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
    sent = heartbeat_times(busy, frames, urgent)
    assert len(sent) == math.ceil(11 / pause_s)
    pauses = {b - a for a, b in zip(sent, sent[1:], strict=False)}
    assert pauses == {pause_s}


def established_sender(busy: bool) -> _liveness.HeartbeatSender:
    """Return an entry's monitor whose first heartbeat was echoed at 0."""
    liveness = _liveness.HeartbeatSender(LINK, lambda: busy, 0.0)
    heartbeat = liveness.due_heartbeat(0.0)
    assert heartbeat is not None
    liveness.message_received(link.Echo(heartbeat.beat))
    assert liveness.established
    return liveness


@pytest.mark.parametrize(
    ("busy", "frames_until_s", "found_s"),
    [(True, 0.0, 1.5), (True, 9.0, 2.5), (False, 0.0, 6.0)],
)
def test_silence_is_detected(
    busy: bool, frames_until_s: float, found_s: float
) -> None:
    liveness = established_sender(busy)
    now_s = 0.0
    while not liveness.timed_out(now_s):
        now_s += STEP_S
        if now_s <= frames_until_s:
            liveness.frame_received(now_s)
        liveness.due_heartbeat(now_s)
    assert found_s < now_s <= found_s + STEP_S


@pytest.mark.parametrize(
    ("after_s", "holding"), [(0.0, False), (1.5, False), (1.6, True)]
)
def test_only_idle_link_pauses_sending(after_s: float, holding: bool) -> None:
    liveness = established_sender(busy=False)
    liveness.pause_if_idle(after_s)
    assert liveness.paused == holding
    if holding:
        heartbeat = liveness.due_heartbeat(after_s)
        assert heartbeat is not None
        liveness.message_received(link.Echo(heartbeat.beat + 1))
        assert liveness.paused
        liveness.message_received(link.Echo(heartbeat.beat))
        assert not liveness.paused


@pytest.mark.parametrize(("busy", "dead_s"), [(True, 3.0), (False, 6.5)])
def test_agent_waits_for_announced_heartbeat(
    busy: bool, dead_s: float
) -> None:
    heartbeat = _liveness.HeartbeatSender(
        LINK, lambda: busy, 0.0
    ).due_heartbeat(0.0)
    assert heartbeat is not None
    liveness = _liveness.HeartbeatReceiver(LINK, 0.0)
    assert liveness.timed_out(LINK.silent_bound_s + STEP_S)
    assert liveness.message_received(heartbeat) == link.Echo(heartbeat.beat)
    assert not liveness.timed_out(dead_s)
    assert liveness.timed_out(dead_s + STEP_S)
    liveness.frame_received(1.0)
    assert not liveness.timed_out(dead_s + 1.0)

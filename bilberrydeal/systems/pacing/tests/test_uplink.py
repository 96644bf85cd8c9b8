"""Tests the order and the delays of transmissions over a slow uplink."""

import pytest

from bilberrydeal.systems import pacing

#: Link rate, in Mbit/s, at which one byte of a body takes 1 ms.
RATE_MBPS = 0.008 / 0.92
BODY_BYTES = 100


def queue() -> pacing.UplinkQueue:
    return pacing.UplinkQueue(RATE_MBPS, 0.0)


def test_transmission_on_idle_link_is_granted_immediately() -> None:
    """Guards against delays on a link without backlog."""
    assert queue().enqueue(BODY_BYTES, 1, 0.0).granted


def test_transmission_waits_until_the_backlog_is_short() -> None:
    """Guards against a long backlog in the kernel."""
    uplink = queue()
    uplink.enqueue(BODY_BYTES, 1, 0.0)
    transmission = uplink.enqueue(BODY_BYTES, 1, 0.0)
    assert not transmission.granted
    assert uplink.next_grant_delay_s(0.0) == pytest.approx(0.08)
    assert uplink.grant(0.07) == []
    assert uplink.grant(0.081) == [transmission]
    assert uplink.next_grant_delay_s(0.081) is None


def test_highest_priority_is_sent_first() -> None:
    """Guards against urgent transmissions waiting behind others."""
    uplink = queue()
    uplink.enqueue(BODY_BYTES, 1, 0.0)
    late, early, first = (
        uplink.enqueue(BODY_BYTES, n, 0.0) for n in (6, 1, 0)
    )
    order = [
        transmission
        for tenths in range(1, 5)
        for transmission in uplink.grant(tenths)
    ]
    assert order == [first, early, late]


def test_every_waiting_transmission_is_returned_by_grant() -> None:
    """Guards against waiters that are never told of their grant.

    A transmission that is queued after the link has become free must not
    grant the ones before it, since only ``grant`` reports them.
    """
    uplink = queue()
    uplink.enqueue(BODY_BYTES, 1, 0.0)
    waiting = uplink.enqueue(BODY_BYTES, 1, 0.0)
    late = uplink.enqueue(BODY_BYTES, 1, 0.3)
    granted = [
        transmission
        for tenths in (3, 4, 5)
        for transmission in uplink.grant(tenths / 10)
    ]
    assert granted == [waiting, late]


def test_cancelled_transmission_uses_no_time() -> None:
    """Guards against reserving link time for cancelled transmissions."""
    uplink = queue()
    uplink.enqueue(BODY_BYTES, 1, 0.0)
    cancelled, remaining = (
        uplink.enqueue(BODY_BYTES, 1, 0.0) for _ in range(2)
    )
    cancelled.cancelled = True
    assert uplink.wait_s(1, 0.0) == pytest.approx(0.2)
    assert uplink.grant(0.09) == [remaining]


@pytest.mark.parametrize(
    ("priority", "wait_s"), [(0, 0.1), (1, 0.2), (6, 0.3)]
)
def test_wait_excludes_less_urgent_transmissions(
    priority: int, wait_s: float
) -> None:
    """Guards against wait estimates that ignore or overrate priorities."""
    uplink = queue()
    for other in (1, 1, 6):
        uplink.enqueue(BODY_BYTES, other, 0.0)
    assert uplink.wait_s(priority, 0.0) == pytest.approx(wait_s)


def test_unqueued_bytes_delay_later_transmissions() -> None:
    """Guards against a kernel backlog that ignores unqueued bytes."""
    uplink = queue()
    uplink.record_sent(BODY_BYTES, 0.0)
    assert not uplink.enqueue(BODY_BYTES, 1, 0.0).granted


def test_urgent_prompt_overtakes_long_prompts() -> None:
    """Guards against an urgent prompt waiting for more than one body."""
    uplink = pacing.UplinkQueue(5.0, 0.0)
    for _ in range(40):
        uplink.enqueue(9_200, 1, 0.0)
    transmission = uplink.enqueue(4_000, 0, 0.0)
    granted_s = 0.0
    while not transmission.granted:
        granted_s += uplink.next_grant_delay_s(granted_s) or 0.0
        uplink.grant(granted_s)
    assert granted_s < 0.03
    assert uplink.wait_s(1, granted_s) > 0.5

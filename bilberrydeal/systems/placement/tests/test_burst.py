"""Bursts at few and many gateways that share the engines."""

import pytest

from ... import placement
from . import burst


@pytest.mark.parametrize("gateways", [5, 31, 68])
def test_burst_ends_in_decisions_and_not_at_deadlines(gateways: int) -> None:
    """Guards against deferred prefills that others overtake until it is late.

    Gateways expected of them only what was queued before.
    """
    played = burst.Burst(
        gateways, placement.TwoStagePlacer(), placement.too_late_after_s, 1
    ).play()
    earlier = burst.Burst(
        gateways, burst.EarlierPlacer(), burst.earlier_patience_s, 1
    ).play()
    assert played.undecided_share < 0.02
    assert played.served_share >= earlier.served_share
    # Refusals are true: no engine is idle meanwhile.
    assert played.busy_share > 0.95

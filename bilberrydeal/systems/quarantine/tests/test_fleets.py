"""Fleets of gateways find the part that crashes engines, and no other."""

import pytest

from . import simulated_fleet

#: Crashes by which a part has to be known, and the time from then on.
KNOWN_AFTER_CRASHES = 5
KNOWN_WITHIN_S = 3.0
SEEDS = range(6)
ROUGH = simulated_fleet.Network(loss=0.3, doubled=0.1, late=0.1, late_s=2.0)


def _fifth_crash_s(fleet: simulated_fleet.Fleet) -> float:
    """Return the time of the fifth crash, or the last if there are fewer."""
    assert fleet.crashes_s
    return fleet.crashes_s[:KNOWN_AFTER_CRASHES][-1]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("per_s", [0.5, 3.0])
@pytest.mark.parametrize("gateways", [1, 4, 31])
def test_crashing_part_reaches_no_engine_after_the_fifth_crash(
    gateways: int, per_s: float, seed: int
) -> None:
    fleet = simulated_fleet.Fleet(
        gateways,
        seed,
        ROUGH,
        crash_interval_s=8.0,
        # As many requests at each gateway.
        sound_per_s=10.0 * gateways,
        engines_count=max(8, gateways * 2),
    )
    fleet.run(5.0)
    fleet.crashing_per_s = per_s
    fleet.run(30.0)
    known_s = _fifth_crash_s(fleet) + KNOWN_WITHIN_S
    assert [at_s for at_s in fleet.sends_s if at_s > known_s] == []
    assert fleet.refused_sound == []
    assert fleet.served_sound > 100


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("gateways", [1, 4])
def test_no_part_is_quarantined_on_days_with_ordinary_crashes(
    gateways: int, seed: int
) -> None:
    fleet = simulated_fleet.Fleet(
        gateways,
        seed,
        ROUGH,
        crash_interval_s=3.0,
        sound_per_s=15.0,
    )

    def trouble(fleet: simulated_fleet.Fleet) -> None:
        step = round(fleet.now_s / simulated_fleet.STEP_S)
        if step % 397 == 0:
            fleet.lose_domain(f"d{step % simulated_fleet.FAILURE_DOMAINS}")
        if step % 211 == 0:
            fleet.cut(step % gateways)
        if step % 499 == 0:
            fleet.restart_gateway(step % gateways)

    fleet.run(60.0, trouble)
    assert fleet.refused_sound == []
    for system in fleet.systems:
        assert system.quarantines(fleet.now_s) == ()

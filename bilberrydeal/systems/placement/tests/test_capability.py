"""Permanent factors of engines, learned from their prefills."""

import math
import random

import pytest

from ... import placement
from .. import _capability
from . import burst
from . import mix

#: Interval between prefills of an engine, in seconds.
INTERVAL_S = 0.25


def _service(
    factors: list[float],
    lasts_s: float,
    noise: float = 0.2,
    transient: float = 1.0,
) -> list[placement.EngineSpeed]:
    """Return engines after prefills without queues.

    The first engine is ``transient`` times slower from second 10 to 15. Some
    prefills meet a queue that is not known of, more at the second engine.
    """
    rng = random.Random(11)
    service = placement.ServiceSpeed()
    speeds = [placement.EngineSpeed(service) for _ in factors]
    now_s = 0.0
    while now_s < lasts_s:
        now_s += INTERVAL_S
        for number, (factor, speed) in enumerate(
            zip(factors, speeds, strict=True)
        ):
            tokens = rng.choice((2_890.0, 9_190.0))
            took_s = (0.001 + tokens / 420_000) * factor
            took_s *= math.exp(rng.gauss(0.0, noise))
            if number == 0 and 10.0 <= now_s < 15.0:
                took_s *= transient
            if rng.random() < (0.5 if number == 1 else 0.2):
                took_s *= rng.uniform(1.0, 4.0)
            sample = placement.TimeSample(tokens, took_s)
            speed.record(placement.PrefillSample(True, sample), now_s)
            speed.expire(now_s)
    return speeds


@pytest.mark.parametrize(
    "factors",
    [
        [1.3, 1.0, 1.0, 1.0, 1.0],
        [1 / 0.55, 1 / 1.2, 1 / 0.55, 1 / 1.2, 1 / 1.2],
        [0.6, 1.0, 1.0, 1.0],
    ],
)
def test_engines_that_differ_for_good_are_told_apart(
    factors: list[float],
) -> None:
    """Factors below 2.5 were ignored."""
    speeds = _service(factors, 120.0)
    for factor, speed in zip(factors, speeds, strict=True):
        learned = speed.prefill_s(9_190, True)
        actual = (0.001 + 9_190 / 420_000) * factor
        assert 0.75 * actual < learned < 1.35 * actual
    ratio = speeds[0].capability.factor / speeds[2].capability.factor
    if factors[0] != factors[2]:
        assert ratio == pytest.approx(factors[0] / factors[2], rel=0.15)


@pytest.mark.parametrize("lasts_s", [30.0, 60.0, 300.0])
@pytest.mark.parametrize("noise", [0.02, 0.2, 0.5])
@pytest.mark.parametrize("transient", [1.0, 2.2, 5.0])
def test_equal_engines_stay_equal(
    lasts_s: float, noise: float, transient: float
) -> None:
    """Popular engines seem slower, and some turn slow for 5 s.

    An engine that is avoided without a reason loses the prompts that it has
    cached.
    """
    speeds = _service([1.0] * 6, lasts_s, noise, transient)
    assert [each.capability.factor for each in speeds] == [1.0] * 6


def test_factor_stays_without_new_samples() -> None:
    slow, *_others = _service([1.5, 1.0, 1.0, 1.0], 60.0)
    factor = slow.capability.factor
    slow.expire(10_000.0)
    assert slow.capability.factor == factor > 1.3


def test_factor_in_use_follows_samples_below_the_threshold() -> None:
    """Guards against a factor that stays high once the engine is faster."""
    rng = random.Random(5)
    service = placement.ServiceSpeed()
    speeds = [placement.EngineSpeed(service) for _ in range(5)]
    for step in range(1_600):
        for number, speed in enumerate(speeds):
            slow = 2.0 if step < 400 else 1.2
            took_s = 0.02 * (slow if number == 0 else 1.0)
            took_s *= math.exp(rng.gauss(0.0, 0.02))
            sample = placement.TimeSample(9_000.0, took_s)
            measured = placement.PrefillSample(True, sample)
            speed.record(measured, step * INTERVAL_S)
        if step == 399:
            assert speeds[0].factor > 1.7
    assert speeds[0].factor == pytest.approx(1.2, rel=0.03)


@pytest.mark.parametrize(
    ("reported", "used"),
    [(1.8, 1.8), (0.6, 0.6), (0.0, 1.0), (40.0, 1.0), (math.nan, 1.0)],
)
def test_factor_of_another_gateway_is_used_until_own_samples(
    reported: float, used: float
) -> None:
    service = placement.ServiceSpeed()
    speed = placement.EngineSpeed(service)
    speed.capability.use_peer_factor(reported)
    assert speed.capability.factor == pytest.approx(used)
    learned, *_others = _service([1.5, 1.0, 1.0, 1.0], 60.0)
    learned.capability.use_peer_factor(2.0)
    assert learned.capability.factor < 1.7


class _MeasuringBurst(burst.Burst):
    """A burst in which gateways learn from what they measure."""

    def _prefilled(self, engine: burst.Engine) -> None:
        send = engine.running
        assert send is not None
        if not send.ended and not send.pending.deferred:
            measured = placement.PrefillSample(
                engine.speed == burst.TOKENS_PER_S,
                placement.TimeSample(
                    send.pending.work_tokens,
                    self.now_s - send.pending.sent_s,
                    send.pending.work_tokens > send.pending.tokens,
                ),
            )
            for gateway in self.gateways:
                load = gateway.loads[engine.engine_id]
                load.speed.record(measured, self.now_s)
        super()._prefilled(engine)


@pytest.mark.parametrize("load", [0.5, 0.9])
def test_equal_engines_stay_equal_for_gateways_with_old_reports(
    load: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Queues of engines are estimates, and sessions make some popular."""
    monkeypatch.setattr(burst, "PHASES", ((load, 18.0),))
    monkeypatch.setitem(burst.REPORT_INTERVALS_S, 5, 0.3)
    played = _MeasuringBurst(
        5, placement.TwoStagePlacer(), placement.too_late_after_s, 1
    ).play()
    factors = {
        load.speed.capability.factor
        for gateway in played.gateways
        for load in gateway.loads.values()
    }
    assert factors == {1.0}


#: A burst that these engines cannot serve in time, in requests a second.
BURST_PER_S = 800.0
#: Speeds of the engines of a fleet in which they differ.
UNEVEN = (0.55, 1.2, 1.2, 0.55, 1.2, 0.55, 1.2, 0.55)


def _played(rate: float) -> mix.Fleet:
    """Play long prompts at 8 engines that prefill and 8 that decode."""
    fleet = mix.Fleet(
        "p" * 8 + "d" * 8, 8, placement.ROLE_PLANS.get("fixed"), 1, UNEVEN
    )
    phases = [mix.Phase(40.0, ((mix.READING, 200.0),))]
    return fleet.play([*phases, mix.Phase(8.0, ((mix.READING, rate),))])


def test_callers_are_in_time_at_engines_that_differ(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Slow engines were expected to be as fast as the others."""
    played = _played(BURST_PER_S).in_time_share(mix.READING, 40.0)
    monkeypatch.setattr(_capability, "MIN_FACTOR", math.inf)
    monkeypatch.setattr(_capability, "MIN_MIXED_FACTOR", math.inf)
    before = _played(BURST_PER_S).in_time_share(mix.READING, 40.0)
    assert played > before + 0.005

"""Permanent factors of engines that gateways send each other."""

import math

import attrs
import pytest

from ... import ports
from ...systems import placement
from ..core import _metrics
from ..messaging import _datagrams
from ..peer_exchange import _capability_broadcast
from . import loopback

#: Time in which a factor is learned, in seconds.
LEARNING_S = 40.0


class _Gateway:
    """A gateway with two engines."""

    def __init__(self, name: str) -> None:
        self.now_s = 100.0
        self.datagrams = loopback.LoopbackDatagrams()
        self.cluster = loopback.cluster(ports.EngineRole.PREFILL)
        other = attrs.evolve(
            loopback.engine(ports.EngineRole.PREFILL), endpoint_id="e2"
        )
        self.cluster.set_endpoint(other)
        self.broadcast = _capability_broadcast.CapabilityBroadcast(
            self.datagrams,
            self.cluster,
            name,
            lambda: (("127.0.0.1", 1),),
            lambda: self.now_s,
        )

    @property
    def factor(self) -> float:
        """Return the factor of the first engine in use."""
        load = self.cluster.load_of("e1")
        assert load is not None
        return load.speed.capability.factor

    def learn(self, took_s: float) -> None:
        """Measure prefills of the first engine, and faster ones."""
        for step in range(int(LEARNING_S / 0.25)):
            for engine_id, time_s in (("e1", took_s), ("e2", 0.02)):
                load = self.cluster.load_of(engine_id)
                assert load is not None
                sample = placement.TimeSample(9_000.0, time_s)
                load.speed.record(
                    placement.PrefillSample(True, sample),
                    self.now_s + step * 0.25,
                )

    async def run(self, seconds: int) -> None:
        """Let time pass."""
        for _ in range(seconds):
            self.now_s += 1.0
            await self.broadcast.run_once()


def _pair() -> tuple[_Gateway, _Gateway]:
    one, other = _Gateway("g1"), _Gateway("g2")
    loopback.connect(one.datagrams, other.datagrams)
    return one, other


async def test_gateway_that_starts_later_is_told_what_was_learned() -> None:
    """It would wait until it has measured enough itself."""
    one, other = _pair()
    one.learn(0.04)
    assert one.factor > 1.2
    await one.run(12)
    assert other.factor == pytest.approx(one.factor)
    await other.run(30)
    # It repeats nothing that it has not learned itself.
    assert other.datagrams.sent == 0
    other.learn(0.02)
    assert other.factor == 1.0


async def test_factor_that_has_become_1_is_told() -> None:
    """Guards against a factor that a gateway without own samples keeps."""
    one, other = _pair()
    one.learn(0.04)
    await one.run(12)
    assert other.factor > 1.2
    for _ in range(8):
        one.now_s += 60.0
        one.learn(0.02)
    assert one.factor == 1.0
    await one.run(12)
    assert other.factor == 1.0


async def test_nothing_is_sent_while_engines_are_equal() -> None:
    one, _other = _pair()
    one.learn(0.02)
    await one.run(60)
    assert one.datagrams.sent == 0


async def test_factor_ends_with_the_process_of_the_engine() -> None:
    one, other = _pair()
    one.learn(0.04)
    restarted = attrs.evolve(
        loopback.engine(ports.EngineRole.PREFILL), started_ms=2
    )
    other.cluster.set_endpoint(restarted)
    await one.run(12)
    assert one.datagrams.sent == 1
    assert other.factor == 1.0
    one.cluster.set_endpoint(restarted)
    assert one.factor == 1.0


@pytest.mark.parametrize("factor", [-1.0, 0.0, 1e9, math.inf, math.nan])
def test_factor_that_cannot_be_true_is_ignored(factor: float) -> None:
    one, other = _pair()
    reports = (
        _datagrams.EngineCapabilityReport("e9", 1, 1.5),
        _datagrams.EngineCapabilityReport("e1", 1, factor),
        _datagrams.EngineCapabilityReport("e2", 1, 1.5),
    )
    one.datagrams.send(_datagrams.Datagram("g1", capabilities=reports), ())
    assert other.broadcast.factors() == {"e2": pytest.approx(1.5)}


async def test_summary_is_bounded() -> None:
    """A datagram of a large fleet would be split into packets."""
    one, other = _pair()
    told: set[str] = set()
    sizes = []

    def _note(datagram: _datagrams.Datagram) -> None:
        told.update(each.endpoint_id for each in datagram.capabilities)
        sizes.append(len(other.datagrams.encode(datagram)))

    other.datagrams.subscribe(_note)
    for number in range(60):
        endpoint = attrs.evolve(
            loopback.engine(ports.EngineRole.PREFILL),
            endpoint_id=f"host{number}-engine0",
        )
        one.cluster.set_endpoint(endpoint)
        load = one.cluster.load_of(endpoint.endpoint_id)
        assert load is not None
        for step in range(40):
            took_s = 0.02 if number < 31 else 0.03
            sample = placement.TimeSample(9_000.0, took_s)
            measured = placement.PrefillSample(True, sample)
            load.speed.record(measured, step * 1.0)
    count = len(one.broadcast.factors())
    assert count > _capability_broadcast.MAX_SUMMARY_ENGINES
    await one.run(31)
    assert len(told) == count
    assert max(sizes) < 1_400


def test_metrics_tell_the_factors_in_use() -> None:
    metrics = _metrics.GatewayMetrics()
    state = _metrics.GaugeValues(
        1, 0.0, 2, 0, 1, 0, False, 0, 0, {}, engine_factors={"e1": 1.5}
    )
    rendered = metrics.render(state)
    assert b'bilberrydeal_engine_factor{engine="e1"} 1.5' in rendered
    rendered = metrics.render(attrs.evolve(state, engine_factors={}))
    assert b'bilberrydeal_engine_factor{engine="e1"} 1' in rendered
    assert b'engine="e1"} 1.5' not in rendered

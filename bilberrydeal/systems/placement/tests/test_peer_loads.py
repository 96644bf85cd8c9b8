"""What other gateways have under way."""

from .... import ports
from ... import placement


def _engine() -> placement.EngineLoad:
    return placement.EngineLoad(
        engine_id="e1",
        failure_domain="d1",
        service="llm",
        role=ports.EngineRole.PREFILL,
        slots=8,
        cache=placement.PartCache(1),
    )


def _share(urgent: int) -> placement.EngineShare:
    return placement.EngineShare("e1", urgent, 5, 1)


def test_figures_of_all_gateways_add_up() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    peers.take("g1", 1, [_share(100)], 0.0)
    peers.take("g2", 1, [_share(50)], 0.0)
    peers.apply([engine], 0.1)
    assert engine.urgent_tokens == 150
    assert engine.deferred_tokens == 10
    assert engine.requests == 2


def test_late_datagrams_are_dropped() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    assert peers.take("g1", 2, [], 0.0)
    assert not peers.take("g1", 1, [_share(100)], 0.1)
    peers.apply([engine], 0.1)
    assert engine.urgent_tokens == 0


def test_a_silent_gateway_has_nothing_under_way() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    peers.take("g1", 1, [_share(100)], 0.0)
    peers.apply([engine], 0.5)
    assert engine.urgent_tokens == 100
    peers.apply([engine], 1.5)
    assert engine.urgent_tokens == 0

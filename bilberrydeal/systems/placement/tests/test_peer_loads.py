"""Tests of the load totals of other gateways."""

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


def _load(urgent: int) -> placement.GatewayEngineLoad:
    counts = placement.RequestCounts()
    counts.add(0, 1)
    return placement.GatewayEngineLoad("e1", urgent, 5, counts.by_rank)


def _apply(peers: placement.PeerLoads, engine: placement.EngineLoad) -> None:
    peers.apply({engine.engine_id: engine}.get)


def test_reports_of_all_gateways_are_summed() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    peers.update("g1", 1, [_load(100)], 0.0)
    peers.update("g2", 1, [_load(50)], 0.0)
    _apply(peers, engine)
    assert engine.urgent_tokens == 150
    assert engine.deferred_tokens == 10
    assert engine.requests == 2


def test_newer_report_replaces_older_one() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    peers.update("g1", 1, [_load(100)], 0.0)
    peers.update("g1", 2, [_load(30)], 0.1)
    _apply(peers, engine)
    assert engine.urgent_tokens == 30
    assert engine.requests == 1
    peers.update("g1", 3, [], 0.2)
    _apply(peers, engine)
    assert engine.urgent_tokens == 0
    assert engine.requests == 0


def test_outdated_report_is_ignored() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    assert peers.update("g1", 2, [], 0.0)
    assert not peers.update("g1", 1, [_load(100)], 0.1)
    _apply(peers, engine)
    assert engine.urgent_tokens == 0


def test_report_of_a_silent_gateway_expires() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    peers.update("g1", 1, [_load(100)], 0.0)
    peers.drop_stale(0.5)
    _apply(peers, engine)
    assert engine.urgent_tokens == 100
    peers.drop_stale(1.5)
    _apply(peers, engine)
    assert engine.urgent_tokens == 0


def test_load_of_unknown_engine_is_ignored() -> None:
    peers = placement.PeerLoads()
    peers.update("g1", 1, [_load(100)], 0.0)
    engines: dict[str, placement.EngineLoad] = {}
    peers.apply(engines.get)


def test_apply_updates_only_engines_in_the_report() -> None:
    """Each report once caused a sum over all engines and gateways."""
    engines = {f"e{n}": _engine() for n in range(3_000)}
    peers = placement.PeerLoads()
    looked_up: list[str] = []

    def find(engine_id: str) -> placement.EngineLoad | None:
        looked_up.append(engine_id)
        return engines.get(engine_id)

    for gateway in range(300):
        peers.update(f"g{gateway}", 1, [_load(100)], 0.0)
        peers.apply(find)
    assert len(looked_up) == 300
    assert engines["e1"].urgent_tokens == 30_000


def test_unknown_ranks_of_another_release_are_ignored() -> None:
    engine = _engine()
    peers = placement.PeerLoads()
    load = placement.GatewayEngineLoad("e1", 100, 5, [1] * 40)
    peers.update("g1", 1, [load], 0.0)
    _apply(peers, engine)
    assert engine.requests == 10

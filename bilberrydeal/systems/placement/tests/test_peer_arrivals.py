"""Tests of what other gateways are expected to have sent."""

import attrs
import pytest

from .... import ports
from ... import placement

PROMPT = placement.Prompt((placement.PromptPart(b"own", 6_000),), 2)


def test_rate_of_a_gateway_follows_from_its_reports() -> None:
    arrivals = placement.PeerArrivals()
    arrivals.record("g1", 0.0, 10.0)
    arrivals.record("g1", 2_000.0, 10.2)
    assert arrivals.urgent_tokens_per_s(10.2) == pytest.approx(10_000.0)
    arrivals.expire(11.0)
    assert arrivals.urgent_tokens_per_s(10.2) == 0.0


def _engine(
    engine_id: str,
    arrivals: placement.PeerArrivals,
    role: ports.EngineRole = ports.EngineRole.PREFILL,
) -> placement.EngineLoad:
    return placement.EngineLoad(
        engine_id=engine_id,
        failure_domain="d1",
        service="llm",
        role=role,
        slots=64,
        cache=placement.PartCache(1_000_000),
        speed=placement.EngineSpeed(
            placement.ServiceSpeed(prefill=placement.Line(0.0, 1e-5))
        ),
        arrivals=arrivals,
    )


def _learn(prompts: int) -> list[placement.EngineLoad]:
    """Return two engines after reports of that many prompts at one."""
    arrivals = placement.PeerArrivals()
    engines = [
        _engine("p0", arrivals),
        _engine("p1", arrivals),
        _engine("d0", arrivals, ports.EngineRole.DECODE),
    ]
    peers = placement.PeerLoads()
    find = {engine.engine_id: engine for engine in engines}.get
    report = placement.GatewayEngineLoad("p0", 0, 0, [0])
    peers.learn("g2", (report,), find, 10.0)
    sent = tuple(
        placement.Prompt((placement.PromptPart(b"%d" % n, 6_000),), 2)
        for n in range(prompts)
    )
    peers.learn("g2", (attrs.evolve(report, prompts=sent),), find, 10.1)
    return engines


def _place(
    engines: list[placement.EngineLoad], now_s: float
) -> placement.Outcome:
    request = placement.Request(
        prompt=PROMPT, target_s=0.01, time_left_s=2.0, failure_domain="d1"
    )
    return placement.TwoStagePlacer().place(request, engines, now_s)


@pytest.mark.parametrize(("prompts", "refused"), [(0, False), (3, True)])
def test_deferred_request_is_refused_if_others_will_overtake_it(
    prompts: int, refused: bool
) -> None:
    """It once expected to wait only for what was there before it."""
    engines = _learn(prompts)
    for engine in engines:
        engine.peer_tokens.deferred = 80_000.0
    placed = _place(engines, 10.2)
    assert isinstance(placed, placement.DeadlineUnreachable) is refused

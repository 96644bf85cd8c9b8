"""Tests of what other gateways are expected to have sent."""

import attrs
import pytest

from .... import ports
from ... import placement

PROMPT = placement.Prompt((placement.PromptPart(b"own", 6_000),), 2)


@pytest.mark.parametrize(
    ("amounts", "added", "level"),
    [
        ([], 5.0, 0.0),
        ([7.0], 5.0, 12.0),
        ([0.0, 10.0, 50.0], 20.0, 15.0),
        ([50.0, 0.0, 10.0], 5.0, 5.0),
        ([-30.0, -10.0], 10.0, -20.0),
        ([1.0, 1.0], 100.0, 51.0),
    ],
)
def test_added_work_fills_the_lowest_engines(
    amounts: list[float], added: float, level: float
) -> None:
    assert placement.fill_level(amounts, added) == pytest.approx(level)


@pytest.mark.parametrize(
    ("now_s", "tokens"), [(10.2, 0.0), (10.3, 1_000.0), (30.0, 4_000.0)]
)
def test_rate_of_a_gateway_tells_what_it_sent_since_its_report(
    now_s: float, tokens: float
) -> None:
    """One that has become silent is not assumed to go on for ever."""
    arrivals = placement.PeerArrivals()
    arrivals.record("g1", 0.0, 10.0)
    arrivals.record("g1", 2_000.0, 10.2)
    assert arrivals.unseen_tokens(now_s) == pytest.approx(tokens)
    arrivals.expire(11.0)
    assert arrivals.unseen_tokens(now_s) == 0.0


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


@pytest.mark.parametrize(
    ("prompts", "refused"), [(0, False), (10, False), (200, True)]
)
def test_request_is_refused_for_what_others_have_sent_meanwhile(
    prompts: int, refused: bool
) -> None:
    """The queues told in the reports are empty."""
    placed = _place(_learn(prompts), 10.2)
    assert isinstance(placed, placement.DeadlineUnreachable) is refused

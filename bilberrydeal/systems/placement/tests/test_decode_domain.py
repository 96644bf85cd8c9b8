"""Failure domains in which prompts are decoded."""

import collections
import heapq
import random

import pytest

from .... import ports
from ... import placement

PROMPT = placement.Prompt((placement.PromptPart(b"own", 9_190),), 0)
DOMAINS = 4
#: Time that a request holds a slot, in seconds.
HELD_S = 0.1


def _engine(
    engine_id: str,
    domain: str,
    slots: int = 8,
    role: ports.EngineRole = ports.EngineRole.DECODE,
) -> placement.EngineLoad:
    return placement.EngineLoad(
        engine_id=engine_id,
        failure_domain=domain,
        service="llm",
        role=role,
        slots=slots,
        cache=placement.PartCache(1_000_000),
    )


def _chosen(
    domain: str, engines: list[placement.EngineLoad], prefilled_at: str
) -> placement.EngineLoad:
    request = placement.Request(PROMPT, 0.235, 2.0, domain)
    placer = placement.PLACERS.get("two_stage")()
    engine_id = placer.decode_engine(request, prefilled_at, engines)
    return next(each for each in engines if each.engine_id == engine_id)


@pytest.mark.parametrize(
    ("slots", "own", "remote", "chosen"),
    [
        (8, 0, 0, "own"),
        (8, 2, 1, "own"),
        (8, 4, 1, "remote"),
        (64, 20, 10, "own"),
        (64, 40, 10, "remote"),
        (8, 16, 15, "remote"),
    ],
)
def test_decoding_leaves_the_domain_of_the_gateway_if_that_is_busier(
    slots: int, own: int, remote: int, chosen: str
) -> None:
    """Bodies once followed the prefilling engine into its domain."""
    engines = [_engine("own", "d1", slots), _engine("remote", "d2", slots)]
    engines[0].own_counts.add(0, own)
    engines[1].own_counts.add(0, remote)
    prefilling = _engine("p", "d2", slots, ports.EngineRole.PREFILL)
    engines.append(prefilling)
    assert _chosen("d1", engines, "p").engine_id == chosen


@pytest.mark.parametrize(
    ("requests_per_s", "least_own"), [(100.0, 0.95), (300.0, 0.8)]
)
def test_bodies_stay_in_the_domain_and_no_request_waits_beside_idle_slots(
    requests_per_s: float, least_own: float
) -> None:
    """Gateways of uneven domains share 4 decode engines of 16 slots."""
    rng = random.Random(5)
    decode = [_engine(f"e{n}", f"d{n}", 16) for n in range(DOMAINS)]
    prefilling = [
        _engine(f"p{n}", f"d{n}", 16, ports.EngineRole.PREFILL)
        for n in range(DOMAINS)
    ]
    gateways = [
        f"d{n}" for n, count in enumerate((5, 4, 3, 4)) for _ in range(count)
    ]
    ends: list[tuple[float, int, placement.EngineLoad]] = []
    counts: collections.Counter[bool] = collections.Counter()
    now_s = 0.0
    for number in range(3_000):
        now_s += rng.expovariate(requests_per_s)
        while ends and ends[0][0] <= now_s:
            heapq.heappop(ends)[2].own_counts.add(0, -1)
        domain = rng.choice(gateways)
        source = rng.choice(prefilling).engine_id
        engine = _chosen(domain, decode + prefilling, source)
        free = min(each.requests for each in decode) < engine.slots
        assert engine.requests < engine.slots or not free
        engine.own_counts.add(0, 1)
        heapq.heappush(ends, (now_s + HELD_S, number, engine))
        counts[engine.failure_domain == domain] += 1
    assert counts[True] / counts.total() >= least_own

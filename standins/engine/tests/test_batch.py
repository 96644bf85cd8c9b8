"""Tests batching, scheduling and the prefix cache of the fake engine."""

import attrs

from bilberrydeal import ports
from standins import engine

REQUEST = ports.EngineRequest("r", "m", "p" * 4000, max_tokens=5)


def run_steps(batch: engine.Batch, steps: int) -> None:
    for step in range(steps):
        batch.step(ports.EngineRole.BOTH, float(step))


def test_prefill_is_bounded_by_budget_while_decoding_continues() -> None:
    """A long prompt must not stall the requests that are decoding."""
    batch = engine.Batch(engine.Rates(prefill_budget=100))
    short = batch.submit(attrs.evolve(REQUEST, prompt="p"), 0.0)
    run_steps(batch, 1)
    long = batch.submit(REQUEST, 1.0)
    run_steps(batch, 3)
    assert len(short.output) == 3
    assert long.prefill_left == 700


def test_lower_priority_number_is_admitted_first() -> None:
    """Priority must outweigh the order of arrival."""
    batch = engine.Batch(engine.Rates(running_limit=1))
    late = batch.submit(attrs.evolve(REQUEST, priority=2), 0.0)
    early = batch.submit(attrs.evolve(REQUEST, priority=1), 1.0)
    run_steps(batch, 1)
    assert (early.admitted, late.admitted) == (True, False)


def test_cache_evicts_and_events_are_delayed_with_gaps() -> None:
    """Clients of the engine must meet late and missing cache events."""
    cache = engine.PrefixCache(blocks=300, event_delay_s=1.0)
    cache.store(tuple(range(300)), 0.0)
    cache.store(tuple(range(1000, 1300)), 0.0)
    assert cache.match_prefix((0,)) == 0
    assert cache.match_prefix((1000, 1001, 5)) == 2
    assert cache.events(0, 0.5).events == ()
    first = cache.events(0, 2.0)
    second = cache.events(first.next - 1, 2.0)
    assert (first.first, first.next) == (20, 500)
    assert second.first > first.next

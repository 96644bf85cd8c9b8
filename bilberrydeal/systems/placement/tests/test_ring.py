"""Tests of the candidate selection in large fleets."""

import collections

import pytest

from .... import ports
from ... import placement


def _engines(count: int) -> list[placement.EngineLoad]:
    return [
        placement.EngineLoad(
            engine_id=f"e{number}",
            failure_domain=f"d{number % 4}",
            service="llm",
            role=(
                ports.EngineRole.DECODE
                if number % 3 == 0
                else ports.EngineRole.PREFILL
            ),
            slots=64,
            cache=placement.PartCache(1),
        )
        for number in range(count)
    ]


def _all(engine: placement.EngineLoad) -> bool:
    return True


def _names(engines: list[placement.EngineLoad]) -> set[str]:
    return {engine.engine_id for engine in engines}


@pytest.mark.parametrize("count", [0, 1, 30, 64])
def test_small_fleet_is_evaluated_completely(count: int) -> None:
    engines = _engines(count)
    ring = placement.EngineRing(engines)
    assert _names(ring.candidates(b"a", _all)) == _names(engines)


def test_few_engines_of_a_large_fleet_are_visited() -> None:
    """Each request once evaluated all engines, even with 3,000 of them."""
    visited = 0

    def counted(engine: placement.EngineLoad) -> bool:
        nonlocal visited
        visited += 1
        return True

    ring = placement.EngineRing(_engines(3_000))
    chosen = ring.candidates(b"a", counted)
    roles = collections.Counter(engine.role for engine in chosen)
    assert roles[ports.EngineRole.PREFILL] == 24
    assert roles[ports.EngineRole.DECODE] == 24
    assert visited <= 256


def test_all_gateways_choose_the_same_candidates() -> None:
    engines = _engines(300)
    one = placement.EngineRing(engines)
    other = placement.EngineRing(list(reversed(engines)))
    assert one.candidates(b"a", _all) == other.candidates(b"a", _all)
    assert one.candidates(b"a", _all) != one.candidates(b"b", _all)


def test_removing_an_engine_changes_one_candidate() -> None:
    engines = _engines(300)
    before = placement.EngineRing(engines).candidates(b"a", _all)
    rest = [each for each in engines if each is not before[0]]
    after = placement.EngineRing(rest).candidates(b"a", _all)
    assert len(_names(before) - _names(after)) == 1


def test_unusable_engines_are_skipped() -> None:
    engines = _engines(300)
    ring = placement.EngineRing(engines)
    chosen = ring.candidates(b"a", lambda each: each.failure_domain == "d1")
    assert {each.failure_domain for each in chosen} == {"d1"}
    assert chosen


def test_requests_are_spread_over_the_fleet() -> None:
    ring = placement.EngineRing(_engines(300))
    seen = collections.Counter(
        engine.engine_id
        for number in range(600)
        for engine in ring.candidates(b"s%d" % number, _all)
    )
    assert len(seen) == 300

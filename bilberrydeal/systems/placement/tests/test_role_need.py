"""Roles of engines with few slots, by what decoding and prefill need."""

import collections.abc

import attrs
import pytest

from .... import ports
from ... import placement
from . import mix

PREFILL = ports.EngineRole.PREFILL
DECODE = ports.EngineRole.DECODE


def _engines(
    decode: int, prefill: int, slots: int = 8
) -> list[placement.EngineLoad]:
    return [
        placement.EngineLoad(
            engine_id=f"e{number}",
            failure_domain=f"d{number % 4}",
            service="llm",
            role=DECODE if number < decode else PREFILL,
            slots=slots,
            cache=placement.PartCache(1),
        )
        for number in range(decode + prefill)
    ]


@pytest.mark.parametrize(
    ("decode", "prefill", "need", "changing", "ordered"),
    [
        (9, 7, (5.0, 2.0), 0, None),
        (9, 7, (9.0, 2.0), 0, DECODE),
        (9, 7, (9.0, 2.0), 1, None),
        (9, 7, (9.0, 6.8), 0, None),
        (9, 7, (5.0, 6.9), 0, PREFILL),
        (12, 4, (16.0, 1.0), 0, None),
        (2, 14, (0.0, 14.0), 0, None),
        (1, 15, (0.0, 15.0), 1, DECODE),
    ],
)
def test_learned_need_moves_one_engine_at_a_time(
    decode: int,
    prefill: int,
    need: tuple[float, float],
    changing: int,
    ordered: ports.EngineRole | None,
) -> None:
    demand = placement.RoleDemand(
        need=placement.RoleNeed(*need), changing=changing
    )
    order = placement.plan_roles(_engines(decode, prefill), demand)
    assert (order.role if order else None) == ordered


@pytest.mark.parametrize("slots", [16, 48, 64])
@pytest.mark.parametrize("busy_slots", [0.0, 100.0, 700.0])
@pytest.mark.parametrize("decode", [3, 5, 8, 12])
def test_engines_with_many_slots_keep_to_the_constants(
    slots: int, busy_slots: float, decode: int
) -> None:
    """The number of their decode engines suits the load as it is."""
    engines = _engines(decode, 16 - decode, slots)
    demand = placement.RoleDemand(busy_slots=busy_slots)
    learned = attrs.evolve(demand, need=placement.RoleNeed(12.0, 1.0))
    assert placement.plan_roles(engines, learned) == placement.plan_roles(
        engines, demand
    )


def test_need_is_the_load_with_headroom_for_bursts() -> None:
    engines = _engines(8, 8)
    steady, bursts = placement.RoleNeeds(), placement.RoleNeeds()
    for step in range(400):
        for engine in engines:
            engine.own_counts.by_rank[0] = 4
        steady.observe(engines, step * 0.5)
        for engine in engines:
            engine.own_counts.by_rank[0] = 8 if step % 40 < 20 else 0
        bursts.observe(engines, step * 0.5)
    assert steady.learned is not None
    assert bursts.learned is not None
    assert steady.learned.decode_engines == pytest.approx(4.0, abs=0.1)
    assert 6.0 < bursts.learned.decode_engines < 11.0
    assert steady.learned.prefill_engines == 0.0


def test_nothing_is_learned_before_requests_came_for_a_while() -> None:
    engines = _engines(8, 8)
    needs = placement.RoleNeeds()
    for step in range(200):
        needs.observe(engines, step * 0.5)
    assert needs.learned is None
    engines[0].own_counts.add(0, 1)
    needs.observe(engines, 100.0)
    needs.observe(engines, 129.0)
    assert needs.learned is None
    needs.observe(engines, 130.0)
    assert needs.learned is not None


def _by_constants(
    engines: collections.abc.Sequence[placement.EngineLoad],
    demand: placement.RoleDemand,
) -> placement.RoleOrder | None:
    return placement.plan_roles(engines, attrs.evolve(demand, need=None))


def _played(plan: placement.Plan, *rates: tuple[mix.Kind, float]) -> mix.Fleet:
    """Play a load on 16 engines of 8 slots, of which 9 decode."""
    fleet = mix.Fleet("p" * 7 + "d" * 9, 8, plan)
    return fleet.play([mix.Phase(70.0, rates)])


def test_long_streams_get_the_slots_that_they_hold() -> None:
    """9 of 16 engines decoded, whatever held their slots."""
    load = ((mix.READING, 150.0), (mix.WRITING, 20.0))
    before = _played(_by_constants, *load)
    played = _played(placement.plan_roles, *load)
    assert played.decode_engines > before.decode_engines == 9
    assert played.worth_share(50.0) > before.worth_share(50.0) + 0.15
    assert played.in_time_share(mix.READING, 50.0) > 0.85
    assert len(played.orders) <= 4


def test_roles_stay_while_both_kinds_of_engines_suffice() -> None:
    """Each order has a cost, and takes an engine away for 3 s."""
    played = _played(
        placement.plan_roles, (mix.READING, 234.0), (mix.WRITING, 3.0)
    )
    assert played.orders == []
    assert played.worth_share() > 0.99


def _told(engines: list[placement.EngineLoad], factors: list[float]) -> None:
    service = placement.ServiceSpeed()
    for engine, factor in zip(engines, factors, strict=True):
        engine.speed = placement.EngineSpeed(service)
        engine.speed.capability.use_peer_factor(factor)


def test_fast_engines_are_converted_first_and_domains_keep_one() -> None:
    """A slow engine takes as long for a prompt as two fast ones."""
    engines = _engines(6, 10)
    # d0 and d1 have two decode engines each, d2 and d3 one.
    _told(engines, [1.0, 1.0, 0.5, 0.5, 0.8, 1.0, *[1.0] * 9, 1.4])
    demand = placement.RoleDemand(need=placement.RoleNeed(1.0, 10.0))
    order = placement.plan_roles(engines, demand)
    assert order is not None
    assert order.engine_id == "e4"
    demand = placement.RoleDemand(need=placement.RoleNeed(6.0, 1.0))
    order = placement.plan_roles(engines, demand)
    assert order is not None
    assert order.engine_id == "e15"

"""Tests of the role plans."""

import pytest

from .... import ports
from ... import placement

PREFILL = ports.EngineRole.PREFILL
DECODE = ports.EngineRole.DECODE


def _engines(roles: str) -> list[placement.EngineLoad]:
    return [
        placement.EngineLoad(
            engine_id=f"e{number}",
            failure_domain=f"d{number % 4}",
            service="llm",
            role=PREFILL if role == "p" else DECODE,
            slots=64,
            cache=placement.PartCache(1),
        )
        for number, role in enumerate(roles)
    ]


@pytest.mark.parametrize(
    ("roles", "ordered", "at_once"),
    [
        ("pppdd", None, False),
        ("ppddd", PREFILL, False),
        ("ppppd", DECODE, False),
        ("ppppp", DECODE, True),
        ("ddddd", PREFILL, False),
        ("p" * 15 + "d" * 5, None, False),
        ("p" * 16 + "d" * 4, DECODE, False),
        ("ppd", None, False),
        ("ppp", DECODE, True),
        ("d", None, False),
        ("p", DECODE, True),
        ("", None, False),
    ],
)
def test_next_role_order(
    roles: str, ordered: ports.EngineRole | None, at_once: bool
) -> None:
    order = placement.plan_roles(_engines(roles), placement.RoleDemand())
    assert (order.role if order else None) == ordered
    if order is not None:
        assert (order.debounce_s == 0.0) == at_once


def test_main_decode_engine_keeps_its_role() -> None:
    for roles in ("ddd", "dddd", "ppddd"):
        engines = _engines(roles)
        order = placement.plan_roles(engines, placement.RoleDemand())
        assert order is not None
        main = placement.main_decode_engine(
            [engine for engine in engines if engine.role is DECODE]
        )
        assert order.engine_id != main.engine_id


@pytest.mark.parametrize(
    ("busy_slots", "ordered"),
    [(0.0, None), (100.0, None), (125.0, DECODE), (1_000.0, DECODE)],
)
def test_decode_engines_follow_busy_slots(
    busy_slots: float, ordered: ports.EngineRole | None
) -> None:
    demand = placement.RoleDemand(busy_slots=busy_slots)
    order = placement.plan_roles(_engines("pppdd"), demand)
    assert (order.role if order else None) == ordered


def test_decode_demand_leaves_enough_prefill_engines() -> None:
    demand = placement.RoleDemand(busy_slots=10_000.0)
    assert placement.plan_roles(_engines("ppddd"), demand) is None


def test_leaving_decode_engine_is_replaced_immediately() -> None:
    demand = placement.RoleDemand(decode_engine_leaving=True)
    order = placement.plan_roles(_engines("pppd"), demand)
    assert order is not None
    assert order.debounce_s == 0.0


def test_fewer_slots_per_engine_need_more_decode_engines() -> None:
    engines = _engines("p" * 13 + "d" * 5)
    assert placement.plan_roles(engines, placement.RoleDemand()) is None
    for engine in engines:
        engine.slots = 16
    order = placement.plan_roles(engines, placement.RoleDemand())
    assert order is not None
    assert order.role is DECODE


@pytest.mark.parametrize(
    ("order_count", "idle", "prefill_wait_s", "ordered"),
    [
        (0, True, 0.0, PREFILL),
        (12, True, 0.0, None),
        (11, False, 0.0, PREFILL),
        (12, False, 0.0, None),
        (12, False, 0.05, PREFILL),
    ],
)
def test_orders_without_a_prefill_queue_are_limited(
    order_count: int,
    idle: bool,
    prefill_wait_s: float,
    ordered: ports.EngineRole | None,
) -> None:
    """300 mostly idle engines once received 90 orders."""
    demand = placement.RoleDemand(
        idle=idle, order_count=order_count, prefill_wait_s=prefill_wait_s
    )
    engines = _engines("p" * 93 + "d" * 206)
    order = placement.plan_roles(engines, demand)
    assert (order.role if order else None) == ordered


def test_fixed_plan_orders_no_changes() -> None:
    plan = placement.ROLE_PLANS.get("fixed")
    assert plan(_engines("ppppp"), placement.RoleDemand()) is None


@pytest.mark.parametrize(
    ("roles", "versions", "engine_id"),
    [
        # The third engine decodes v2 already.
        ("pppd", "1122", "e2"),
        ("pppd", "2111", "e1"),
        # Without the engine of v1 two of v2 are left.
        ("ppdddd", "112212", "e4"),
    ],
)
def test_decode_engines_are_kept_in_pairs_of_a_software_version(
    roles: str, versions: str, engine_id: str
) -> None:
    engines = _engines(roles)
    for engine, version in zip(engines, versions, strict=True):
        engine.software_version = version
        engine.failure_domain = "d"
    order = placement.plan_roles(engines, placement.RoleDemand())
    assert order is not None
    assert order.engine_id == engine_id

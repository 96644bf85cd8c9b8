"""Tests of the role plans."""

import random

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


def _carried_out(
    engines: list[placement.EngineLoad], demand: placement.RoleDemand
) -> list[placement.RoleOrder]:
    """Carry out orders until there are none, and return them."""
    by_id = {engine.engine_id: engine for engine in engines}
    orders: list[placement.RoleOrder] = []
    while len(orders) <= len(engines):
        order = placement.plan_roles(engines, demand)
        if order is None:
            break
        by_id[order.engine_id].role = order.role
        orders.append(order)
    return orders


def _decoding(engines: list[placement.EngineLoad], version: str) -> int:
    return sum(
        not engine.prefill_only and engine.software_version == version
        for engine in engines
    )


@pytest.mark.parametrize("first_id", range(20))
@pytest.mark.parametrize("domains", [1, 6])
def test_idle_engines_of_two_versions_do_not_decode_one_each(
    first_id: int, domains: int
) -> None:
    engines = _engines("ddddpp")
    for number, engine in enumerate(engines):
        engine.engine_id = f"e{first_id + number}"
        engine.failure_domain = f"d{number % domains}"
        engine.software_version = f"v{number % 2}"
    orders = _carried_out(engines, placement.RoleDemand(idle=True))
    counts = [_decoding(engines, version) for version in ("v0", "v1")]
    assert sorted(counts) == [0, 2]
    assert len(orders) == 2


@pytest.mark.parametrize(
    ("roles", "versions", "engine_id"),
    [
        # The last one of v2 is gone.
        ("ddpppp", "111122", "e4"),
        # Prefill has its least share, and may lose more.
        ("dddppp", "111122", "e4"),
        # One of v2 is left, and nothing requires that it goes on.
        ("ddpppp", "111112", None),
        # No version has two.
        ("ddpppp", "121212", "e2"),
        # v1 has two.
        ("dddppp", "121212", None),
    ],
)
def test_versions_with_streams_decode(
    roles: str, versions: str, engine_id: str | None
) -> None:
    engines = _engines(roles)
    for engine, version in zip(engines, versions, strict=True):
        engine.software_version = version
        engine.failure_domain = "d"
    demand = placement.RoleDemand(
        prefill_wait_s=0.0, stream_versions=frozenset("12")
    )
    order = placement.plan_roles(engines, demand)
    assert (order.engine_id if order else None) == engine_id


@pytest.mark.parametrize(
    ("roles", "versions"),
    [
        ("dd", "11"),
        ("ddp", "111"),
        ("dddd", "1111"),
        ("dddd", "1122"),
        ("dddd", "1112"),
        ("ddddddd", "1122333"),
        ("dddddp", "112233"),
    ],
)
def test_pairs_of_versions_leave_engines_to_prefill(
    roles: str, versions: str
) -> None:
    """Prompts wait for no prefill engine where there is none."""
    engines = _engines(roles)
    for engine, version in zip(engines, versions, strict=True):
        engine.software_version = version
    demand = placement.RoleDemand(
        prefill_wait_s=0.0, stream_versions=frozenset(versions)
    )
    order = placement.plan_roles(engines, demand)
    assert order is not None
    assert order.role is PREFILL


@pytest.mark.parametrize("seed", range(200))
def test_orders_end_and_keep_versions_with_streams_decoding(
    seed: int,
) -> None:
    chance = random.Random(seed)
    engines = _engines("".join(chance.choices("dp", k=chance.randint(2, 20))))
    for engine in engines:
        engine.engine_id = f"e{chance.randrange(1_000_000)}"
        engine.software_version = chance.choice("1112233")
        engine.failure_domain = chance.choice("abc")
        engine.slots = chance.choice((8, 16, 64))
    had_prefill = any(each.prefill_only for each in engines)
    versions = chance.choice(("", "1", "12", "123"))
    demand = placement.RoleDemand(
        busy_slots=chance.choice((0.0, 100.0, 1_000.0)),
        prefill_wait_s=chance.choice((0.0, 0.5)),
        order_count=chance.choice((0, 12)),
        stream_versions=frozenset(versions),
    )
    orders = _carried_out(engines, demand)
    assert len(orders) <= len(engines)
    for version in versions:
        found = [each for each in engines if each.software_version == version]
        if len(found) > 1:
            assert _decoding(engines, version)
    assert any(each.prefill_only for each in engines) >= had_prefill

import typing

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from bilberrydeal import systems
from bilberrydeal.systems import roles

RULES = roles.RoleRules()
BOTH = roles.Role.BOTH
PREFILL = roles.Role.PREFILL


def _engine(number: int, **given: typing.Any) -> roles.RoleEndpoint:
    engine = roles.RoleEndpoint(f"e{number}", "m", f"fd{number % 4}", BOTH)
    return attrs.evolve(engine, **given)


def _settled(
    endpoints: list[roles.RoleEndpoint], *others: systems.Entity
) -> dict[str, roles.EngineOrder]:
    tables = systems.Tables()
    for row in (*endpoints, *others):
        tables.of(type(row)).put(row)
    roles.EngineOrderMerger(RULES).run(tables, 0.0)
    return {order.key: order for order in tables.of(roles.EngineOrder)}


VERSION = roles.ModelVersion("m", "v2")
ASSIGNED = roles.Assignment("e0", PREFILL, "", ("a",))


@pytest.mark.parametrize(
    ("engine", "others", "expected"),
    [
        ({}, [], None),
        (
            {},
            [roles.RoleOrder("e0", "m", PREFILL)],
            roles.EngineOrder("e0", "m", PREFILL),
        ),
        (
            {"adapters": ("a",), "model_version": "v1"},
            [roles.RoleOrder("e0", "m", PREFILL)],
            roles.EngineOrder("e0", "m", PREFILL, "v1", ("a",)),
        ),
        (
            {"assigned": True},
            [roles.RoleOrder("e0", "m", BOTH), ASSIGNED],
            roles.EngineOrder("e0", "m", PREFILL, "", ("a",)),
        ),
        (
            {"assigned": True, "role": PREFILL, "adapters": ("a",)},
            [roles.RoleOrder("e0", "m", BOTH), ASSIGNED],
            None,
        ),
        (
            {"assigned": True},
            [attrs.evolve(ASSIGNED, model_version="v3"), VERSION],
            roles.EngineOrder("e0", "m", PREFILL, "v3", ("a",)),
        ),
        ({}, [VERSION], roles.EngineOrder("e0", "m", BOTH, "v2")),
        (
            {},
            [VERSION, roles.RoleOrder("e0", "m", PREFILL)],
            roles.EngineOrder("e0", "m", PREFILL, "v2"),
        ),
        ({"model_version": "v2"}, [VERSION], None),
        ({"changing": True}, [VERSION], None),
    ],
)
def test_one_order_per_engine(
    engine: dict[str, object],
    others: list[systems.Entity],
    expected: roles.EngineOrder | None,
) -> None:
    assert _settled([_engine(0, **engine)], *others).get("e0") == expected


def test_rollout_keeps_each_phase_in_two_failure_domains() -> None:
    """Only two of three prefill engines are live, so neither may restart."""
    prefill = [_engine(number, role=PREFILL) for number in range(3)]
    prefill[2] = attrs.evolve(prefill[2], changing=True)
    decode = [
        _engine(number, role=roles.Role.DECODE) for number in range(3, 20)
    ]
    assert set(_settled([*prefill, *decode], VERSION)) == {"e10"}


def test_planner_does_not_move_assigned_engines() -> None:
    tables = systems.Tables()
    rates = roles.ModelRates("m", mixing_loss=0.5)
    window = roles.DemandWindow(5.0, 5.0, 60_000.0, 9_000.0)
    tables.of(roles.ModelRates).put(rates)
    tables.of(roles.ModelDemand).put(roles.ModelDemand("m", (window,)))
    for number in range(8):
        engine = _engine(number, assigned=number % 2 == 0)
        tables.of(roles.RoleEndpoint).put(engine)
    roles.GreedyRoles(RULES).run(tables, 5.0)
    moved = [order.key for order in tables.of(roles.RoleOrder)]
    assert moved
    assert not {"e0", "e2", "e4", "e6"} & set(moved)


def _domains(endpoints: list[roles.RoleEndpoint], role: roles.Role) -> int:
    serving = [e for e in endpoints if e.usable and e.role in (role, BOTH)]
    return len({e.failure_domain for e in serving})


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from(roles.Role), st.booleans(), st.booleans()),
        min_size=1,
        max_size=30,
    )
)
def test_new_version_reaches_all_engines_a_few_at_a_time(
    given: list[tuple[roles.Role, bool, bool]],
) -> None:
    endpoints = [
        _engine(number, role=role, usable=usable, changing=changing)
        for number, (role, usable, changing) in enumerate(given)
    ]
    bound = max(RULES.changing_count, int(0.1 * len(endpoints)))
    for _ in range(len(endpoints) + 1):
        orders = _settled(endpoints, VERSION)
        changing = sum(e.changing for e in endpoints)
        assert len(orders) <= max(0, bound - changing)
        live = [e for e in endpoints if not e.changing]
        staying = [e for e in live if e.key not in orders]
        for phase in (PREFILL, roles.Role.DECODE):
            kept = min(RULES.domains_per_phase, _domains(live, phase) - 1)
            assert _domains(staying, phase) >= kept
        endpoints = [
            attrs.evolve(
                e,
                changing=False,
                model_version="v2"
                if e.key in orders or e.changing
                else e.model_version,
            )
            for e in endpoints
        ]
    assert {e.model_version for e in endpoints} == {"v2"}

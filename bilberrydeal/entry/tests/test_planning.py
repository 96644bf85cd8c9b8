import typing

import attrs
import pytest

from bilberrydeal import configuration
from bilberrydeal import duties
from bilberrydeal import membership
from bilberrydeal import orders
from bilberrydeal import ports
from bilberrydeal import settings
from bilberrydeal import systems
from bilberrydeal.entry.planners import _planning
from bilberrydeal.entry.planners import _role_planning
from bilberrydeal.entry.planners import _windows
from bilberrydeal.entry.tests import fakes
from bilberrydeal.systems import fleet
from bilberrydeal.systems import roles

AGENT = membership.AgentMember(
    "ep1", "i1", "h1", "127.0.0.1", 1, "fd1", "m", role="both"
)
EMPTY = configuration.Configuration()
ORDER = orders.CommittedOrder(3, 1, ports.EngineRole.DECODE, "m")


@attrs.define
class _FakeDirectory:
    members: list[membership.AgentMember]
    leaving: str = ""

    def is_host_leaving(self, host_id: str) -> bool:
        return host_id == self.leaving

    def agents(self) -> list[membership.AgentMember]:
        return self.members


def _planning_of(
    *members: membership.AgentMember,
    current: configuration.Configuration = EMPTY,
) -> tuple[_planning.Planning, _FakeDirectory]:
    directory = _FakeDirectory(list(members))
    chosen = attrs.evolve(
        fakes.entry_settings(),
        fleet=settings.FleetSettings(
            failure_domains=("fd1", "fd2"), services=("m",)
        ),
        policy=settings.PolicySettings(roles="static", fleet="fixed"),
    )
    table: systems.Table[systems.EndpointView] = systems.Table()
    planning = _planning.Planning(
        chosen, typing.cast(typing.Any, directory), table, lambda: current
    )
    return planning, directory


def _view(*recent: duties.IntentRow) -> duties.FleetView:
    return duties.FleetView("fd1", (), tuple(recent), 50.0, 1_000.0)


@pytest.mark.parametrize(
    ("after_s", "changing", "role"),
    [(1.0, True, "decode"), (_role_planning.ORDER_TIMEOUT_S, False, "both")],
)
def test_unapplied_order_stops_counting_after_a_timeout(
    after_s: float, changing: bool, role: str
) -> None:
    planning, _ = _planning_of(AGENT)
    planning.decide_roles({"ep1": ORDER}, 10.0)
    planning.decide_roles({"ep1": ORDER}, 10.0 + after_s)
    (endpoint,) = planning.tables.of(roles.RoleEndpoint)
    assert endpoint.changing is changing
    assert endpoint.role == role


def test_agent_of_an_unknown_role_leaves_the_others_planned() -> None:
    other = attrs.evolve(AGENT, endpoint_id="ep2", role="embed")
    planning, _ = _planning_of(AGENT, other)
    planning.decide_roles({}, 10.0)
    (endpoint,) = planning.tables.of(roles.RoleEndpoint)
    assert endpoint.key == "ep1"


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (
            configuration.SetAssignment(
                configuration.Assignment("ep1", ports.EngineRole.PREFILL), 0
            ),
            duties.EngineTarget("ep1", ports.EngineRole.PREFILL, "m"),
        ),
        (
            configuration.SetModel(configuration.Model("gpt", "m", "v2"), 0),
            duties.EngineTarget("ep1", ports.EngineRole.BOTH, "m", "v2"),
        ),
    ],
)
def test_operator_configuration_determines_engine_targets(
    change: configuration.Change, expected: duties.EngineTarget
) -> None:
    current = configuration.Configuration().apply(change)
    planning, _ = _planning_of(AGENT, current=current)
    assert planning.decide_roles({}, 10.0) == [expected]


def test_purchase_counts_before_the_platform_lists_it() -> None:
    planning, _ = _planning_of(AGENT)
    intent = duties.IntentRow(
        "o1", duties.IntentState.DONE, "m", 2, "", 995.0, 1, ""
    )
    old = attrs.evolve(intent, order_id="o0", decided_at_s=900.0)
    planning.decide_fleet(_view(intent, old))
    (outstanding,) = planning.tables.of(fleet.OutstandingOrder)
    assert outstanding.missing == 2


@pytest.mark.parametrize(
    ("listed", "missing"), [(("ep9",), 1), (("ep9", "ep5"), 0)]
)
def test_endpoint_listed_before_an_order_does_not_belong_to_it(
    listed: tuple[str, ...], missing: int
) -> None:
    """An old endpoint without an agent must not hide a missing purchase."""
    planning, _ = _planning_of(AGENT)
    before = ports.EndpointRecord("ep9", "h9", "fd1", "m", "ordered")
    planning.decide_fleet(attrs.evolve(_view(), endpoints=(before,)))
    intent = duties.IntentRow(
        "o1", duties.IntentState.DONE, "m", 1, "", 1_001.0, 1, ""
    )
    records = tuple(attrs.evolve(before, endpoint_id=n) for n in listed)
    view = attrs.evolve(_view(intent), wall_s=1_002.0, endpoints=records)
    planning.decide_fleet(view)
    unlisted = planning.tables.of(fleet.OutstandingOrder).get("unlisted m")
    assert (unlisted.missing if unlisted else 0) == missing


@pytest.mark.parametrize(
    ("leaving", "listed_as", "missing"),
    [("", "live", 0), ("", "leaving", 1), ("h1", "live", 1)],
)
def test_restarting_agent_is_not_replaced_by_a_purchase(
    leaving: str, listed_as: str, missing: int
) -> None:
    state = membership.MemberState.LEAVING
    planning, directory = _planning_of(attrs.evolve(AGENT, state=state))
    directory.leaving = leaving
    listed = ports.EndpointRecord("ep1", "h1", "fd1", "m", listed_as)
    view = attrs.evolve(_view(), endpoints=(listed,))
    decision = planning.decide_fleet(view)
    assert sum(bought.count for bought in decision.purchases) == missing


def test_only_a_failure_domain_that_had_agents_can_be_lost() -> None:
    other = attrs.evolve(AGENT, endpoint_id="ep2", failure_domain="fd2")
    planning, directory = _planning_of(AGENT)
    planning.decide_fleet(_view())
    lost = planning.tables.of(fleet.DomainState)
    assert [state.lost for state in lost] == [False, False]
    directory.members.append(other)
    planning.decide_fleet(_view())
    directory.members.remove(other)
    planning.decide_fleet(_view())
    assert [state.lost for state in lost] == [False, True]


def test_demand_of_all_entries_is_summed() -> None:
    planning, _ = _planning_of(AGENT)
    demand = membership.ServiceDemand("m", 100.0, 10.0, 1.0)
    entry = membership.EntryMember("e", "h", "127.0.0.1", 1, "fd1")
    entry = attrs.evolve(entry, demand=(demand,))
    planning.observe([entry, entry], 5.0)
    planning.decide_roles({}, 5.0)
    (found,) = planning.tables.of(roles.ModelDemand)
    assert found.windows[-1].prompt_tokens == 200.0 * _windows.WINDOW_S

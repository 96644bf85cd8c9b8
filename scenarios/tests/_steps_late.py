"""Steps that hold calls back in the network and let them go."""

import pytest_bdd
from pytest_bdd import parsers

from bilberrydeal import ports
from scenarios import _authority
from scenarios import _fleet
from scenarios import _shape
from scenarios import _stage
import standins
from standins import engine

from . import _common

#: Fencing number of a holder after the one of other orders.
LATER_FENCE = 2


@pytest_bdd.given(
    parsers.parse(
        "a fleet that plans, with endpoints that {habit}"
        " and purchases held back"
    )
)
def a_fleet_held_back(stage: _stage.Stage, habit: str) -> None:
    stage.set_up(
        _shape.Shape(
            engines=4,
            checks_fencing=_common.HABITS[habit],
            plans=True,
            held=_fleet.PURCHASES,
        )
    )


@pytest_bdd.when("usage reports are held back")
def reports_are_held_back(stage: _stage.Stage) -> None:
    for host in stage.fleet.entries:
        stage.loop.call_soon_threadsafe(host.store.hold, _fleet.REPORTS)


@pytest_bdd.when("calls of the other entries are let through")
def others_go(stage: _stage.Stage, paused: _shape.Host) -> None:
    assert paused.store.held
    for host in stage.fleet.entries:
        if host is not paused:
            stage.loop.call_soon_threadsafe(host.store.release)


@pytest_bdd.when("calls of the paused entry are let through")
def paused_goes(stage: _stage.Stage, paused: _shape.Host) -> None:
    stage.loop.call_soon_threadsafe(paused.store.release)


@pytest_bdd.then(parsers.parse("{count:d} call arrives too late"))
def arrives_too_late(stage: _stage.Stage, count: int) -> None:
    def arrived() -> bool:
        return _authority.late_calls(stage.fleet.evidence()) >= count

    _common.wait(stage, arrived, "a call that comes too late")


@pytest_bdd.then(parsers.parse("{count:d} more reports arrive"))
def reports_arrive(stage: _stage.Stage, count: int) -> None:
    wanted = len(stage.fleet.evidence().reports()) + count

    def arrived() -> bool:
        return len(stage.fleet.evidence().reports()) >= wanted

    _common.wait(stage, arrived, f"{count} reports")


@pytest_bdd.when(parsers.parse("the next order to {name} is held back"))
def order_is_held_back(stage: _stage.Stage, name: str) -> None:
    front = stage.fleet.host(name).front
    stage.loop.call_soon_threadsafe(front.hold, _fleet.ORDERS)


@pytest_bdd.when(parsers.parse("an order waits for {name}"))
def order_waits(stage: _stage.Stage, name: str) -> None:
    front = stage.fleet.host(name).front
    _common.wait(stage, lambda: front.held > 0, f"an order to {name}")
    stage.loop.call_soon_threadsafe(front.hold_no_more)


@pytest_bdd.when(parsers.parse("a later holder orders {name} to {role}"))
def later_holder_orders(stage: _stage.Stage, name: str, role: str) -> None:
    host = stage.fleet.host(name)
    order = stage.fleet.order(host, ports.EngineRole(role), LATER_FENCE)
    stage.run(order)


@pytest_bdd.when(
    parsers.parse("the order that waits for {name} is let through"),
    target_fixture="applied_before",
)
def order_is_let_through(stage: _stage.Stage, name: str) -> int:
    host = stage.fleet.host(name)
    before = len(standins.load(host.journal, engine.Applied))
    stage.loop.call_soon_threadsafe(host.front.release)
    return before


@pytest_bdd.then(parsers.parse("{name} refuses it or is put right"))
def is_refused_or_put_right(
    stage: _stage.Stage, name: str, applied_before: int
) -> None:
    host = stage.fleet.host(name)

    def arrived() -> bool:
        applied = standins.load(host.journal, engine.Applied)
        return len(applied) > applied_before

    _common.wait(stage, arrived, "the order that was held back")
    stage.run(stage.fleet.until_newest(host))

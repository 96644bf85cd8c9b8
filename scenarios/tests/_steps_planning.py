"""Steps in which the product plans by itself."""

import time

import pytest_bdd
from pytest_bdd import parsers

from bilberrydeal import ports
from scenarios import _authority
from scenarios import _fleet
from scenarios import _load
from scenarios import _shape
from scenarios import _stage
from scenarios import _waits
import standins
from standins import platform

from . import _common


@pytest_bdd.given(
    parsers.parse("a fleet that plans, with {count:d} engines for each phase")
)
def a_fleet_of_phases(stage: _stage.Stage, count: int) -> None:
    stage.set_up(
        _shape.Shape(
            engines=2 * count,
            plans=True,
            fewest_per_domain=1,
            most_per_domain=3,
        )
    )
    engines = stage.fleet.engines
    for number, host in enumerate(engines):
        prefills = number < count
        role = "prefill" if prefills else "decode"
        stage.run(stage.fleet.order(host, ports.EngineRole(role)))
    for host in engines:
        stage.run(stage.fleet.until_newest(host))


@pytest_bdd.given(
    parsers.parse(
        "a fleet that plans, with {count:d} engines and purchases held back"
    ),
)
def a_fleet_that_grows(stage: _stage.Stage, count: int) -> None:
    stage.set_up(
        _shape.Shape(
            engines=count,
            plans=True,
            fewest_per_domain=1,
            most_per_domain=3,
            held=_fleet.PURCHASES,
        )
    )


@pytest_bdd.when("prompts grow long", target_fixture="grown_s")
def prompts_grow_long(stage: _stage.Stage) -> float:
    stage.begin_load(_load.LONG_PROMPTS)
    return time.time()


@pytest_bdd.when("the planner has ordered a change")
def planner_has_ordered(stage: _stage.Stage) -> None:
    ordered = _waits.eventually(stage.fleet.was_ordered, "a planner's order")
    stage.run(ordered)


@pytest_bdd.when("the planner has ordered endpoints")
def planner_has_bought(stage: _stage.Stage) -> None:
    journal = stage.fleet.evidence().bought

    def bought() -> bool:
        return bool(standins.load(journal, platform.Ordered))

    _common.wait(stage, bought, "a planner's purchase")


@pytest_bdd.then("every engine takes its newest order")
def takes_all_orders(stage: _stage.Stage) -> None:
    for host in stage.fleet.engines:
        stage.run(stage.fleet.until_newest(host))


@pytest_bdd.then("both phases stayed live in two failure domains")
def stayed_live(stage: _stage.Stage, grown_s: float) -> None:
    evidence = stage.fleet.evidence()
    assert list(_authority.phases_stay_live(evidence, grown_s)) == []

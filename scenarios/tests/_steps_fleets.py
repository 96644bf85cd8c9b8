"""Steps that start fleets and loads."""

import pytest_bdd
from pytest_bdd import parsers

from scenarios import _shape
from scenarios import _stage

from . import _common


@pytest_bdd.given("a fleet")
def a_fleet(stage: _stage.Stage) -> None:
    stage.set_up(_shape.Shape())


@pytest_bdd.given("a fleet under load")
def a_fleet_under_load(stage: _stage.Stage) -> None:
    stage.set_up(_shape.Shape())
    stage.begin_load()


@pytest_bdd.given("it is under load")
def it_is_under_load(stage: _stage.Stage) -> None:
    stage.begin_load()


@pytest_bdd.given(
    parsers.parse("a fleet that plans, with endpoints that {habit}")
)
def a_fleet_that_plans(stage: _stage.Stage, habit: str) -> None:
    stage.set_up(
        _shape.Shape(
            engines=4, checks_fencing=_common.HABITS[habit], plans=True
        )
    )


@pytest_bdd.given(parsers.parse("a fleet with endpoints that {habit}"))
def a_fleet_with(stage: _stage.Stage, habit: str) -> None:
    stage.set_up(_shape.Shape(checks_fencing=_common.HABITS[habit]))


@pytest_bdd.when("the load ends")
def the_load_ends(stage: _stage.Stage) -> None:
    stage.end_load()

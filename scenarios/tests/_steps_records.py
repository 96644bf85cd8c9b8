"""Steps that look at what the stand-ins recorded."""

import contextlib
import time

import pytest_bdd
from pytest_bdd import parsers

from scenarios import _promises
from scenarios import _stage
from scenarios import _waits
import standins
from standins import engine
from standins import platform

from . import _common

#: A leaving endpoint may get new work for so long.
LEAVING_S = 5.0
DOMAINS = {f"d{number}" for number in range(4)}


@pytest_bdd.then(parsers.parse("{name} ends with code {code:d}"))
def ends_with(stage: _stage.Stage, name: str, code: int) -> None:
    assert stage.fleet.host(name).process.wait(_waits.PATIENCE_S) == code


@pytest_bdd.then(parsers.parse("{name} gets no new work after a few seconds"))
def gets_no_new_work(stage: _stage.Stage, name: str) -> None:
    journal = stage.fleet.host(name).journal
    time.sleep(LEAVING_S)
    before = len(standins.load(journal, engine.Executed))
    time.sleep(LEAVING_S)
    assert len(standins.load(journal, engine.Executed)) == before


@pytest_bdd.then("every promise was kept")
def every_promise_was_kept(stage: _stage.Stage) -> None:
    for name in list(stage.spawned):
        if name not in stage.outcomes:
            stage.finish(name)
    assert _promises.broken(stage.fleet.evidence()) == []


@pytest_bdd.then("bills are complete")
def bills_are_complete(stage: _stage.Stage) -> None:
    missing: list[str] = []

    def complete() -> bool:
        evidence = stage.fleet.evidence()
        missing[:] = _promises.bills_are_complete(evidence)
        return not missing

    with contextlib.suppress(TimeoutError):
        _common.wait(stage, complete, "complete bills")
    assert missing == []
    assert _promises.broken(stage.fleet.evidence()) == []


@pytest_bdd.then("endpoints were bought")
def endpoints_were_bought(stage: _stage.Stage) -> None:
    journal = stage.fleet.evidence().bought

    def bought() -> bool:
        orders = standins.load(journal, platform.Ordered)
        return {order.failure_domain for order in orders} == DOMAINS

    _common.wait(stage, bought, "a purchase in every failure domain")

"""Steps that check the stand-ins' journals."""

import contextlib
import time

import pytest_bdd
from pytest_bdd import parsers

from scenarios import _context
from scenarios import _promises
from scenarios import _waits
import standins
from standins import engine
from standins import platform

from . import _common

#: Time in which a leaving endpoint may still receive new work.
LEAVING_S = 5.0
DOMAINS = {f"d{number}" for number in range(4)}


@pytest_bdd.then(parsers.parse("{name} ends with code {code:d}"))
def ends_with(context: _context.Context, name: str, code: int) -> None:
    assert context.fleet.host(name).process.wait(_waits.MAX_WAIT_S) == code


@pytest_bdd.then(parsers.parse("{name} gets no new work after a few seconds"))
def gets_no_new_work(context: _context.Context, name: str) -> None:
    journal = context.fleet.host(name).journal
    time.sleep(LEAVING_S)
    before = len(standins.load(journal, engine.Executed))
    time.sleep(LEAVING_S)
    assert len(standins.load(journal, engine.Executed)) == before


@pytest_bdd.then("every invariant holds")
def every_invariant_holds(context: _context.Context) -> None:
    for name in list(context.pending):
        if name not in context.outcomes:
            context.finish(name)
    assert _promises.broken(context.fleet.evidence()) == []


@pytest_bdd.then("bills are complete")
def bills_are_complete(context: _context.Context) -> None:
    missing: list[str] = []

    def complete() -> bool:
        evidence = context.fleet.evidence()
        missing[:] = _promises.bills_are_complete(evidence)
        return not missing

    with contextlib.suppress(TimeoutError):
        _common.wait(context, complete, "complete bills")
    assert missing == []
    assert _promises.broken(context.fleet.evidence()) == []


@pytest_bdd.then("endpoints were purchased")
def endpoints_were_purchased(context: _context.Context) -> None:
    journal = context.fleet.evidence().platform_journal

    def bought() -> bool:
        orders = standins.load(journal, platform.Ordered)
        return {order.failure_domain for order in orders} == DOMAINS

    _common.wait(context, bought, "a purchase in every failure domain")

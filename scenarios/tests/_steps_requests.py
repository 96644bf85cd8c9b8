"""Steps that send requests and look at the answers."""

import asyncio
import time

import pytest_bdd
from pytest_bdd import parsers

from scenarios import _caller
from scenarios import _fleet
from scenarios import _promises
from scenarios import _stage
from scenarios import _waits

from . import _common

#: Requests with a withdrawn key that each entry must refuse.
ASKS_WITH_OLD_KEY = 20


@pytest_bdd.when(
    parsers.re(
        r"(?P<organisation>\w+) sends a (?P<what>\w+) over entry-(?P<entry>\d)"
    )
)
def sends(
    stage: _stage.Stage, organisation: str, what: str, entry: str
) -> None:
    _common.add_ask(stage, organisation, what)
    stage.ask(what, int(entry))


@pytest_bdd.when(
    parsers.re(
        r"(?P<organisation>\w+) begins a (?P<what>\w+)"
        r" over entry-(?P<entry>\d)"
    )
)
def begins(
    stage: _stage.Stage, organisation: str, what: str, entry: str
) -> None:
    _common.add_ask(stage, organisation, what)
    stage.begin(what, int(entry))


@pytest_bdd.when(parsers.parse("{organisation} begins {count:d} streams"))
def begins_streams(stage: _stage.Stage, organisation: str, count: int) -> None:
    for number in range(count):
        name = f"stream-{number}"
        _common.add_ask(stage, organisation, name)
        stage.begin(name, number % len(stage.fleet.entries))


@pytest_bdd.when(parsers.parse("the {what} has begun to run"))
def has_begun(stage: _stage.Stage, what: str) -> None:
    _common.wait(
        stage, lambda: _common.executions(stage, what) > 0, f"a run of {what}"
    )


@pytest_bdd.when(
    parsers.parse("the {what} is sent again over entry-{entry:d}")
)
def is_sent_again(stage: _stage.Stage, what: str, entry: int) -> None:
    stage.ask(what, entry)


@pytest_bdd.when(
    parsers.parse(
        "the {what} is repeated over entry-{entry:d} until it is answered"
    )
)
def is_repeated(stage: _stage.Stage, what: str, entry: int) -> None:
    async def answered() -> bool:
        outcome = await stage.fleet.ask(entry, stage.asks[what])
        return outcome.answered

    stage.run(_waits.eventually(answered, f"an answer to {what}"))


@pytest_bdd.when("the shop answers again")
def shop_answers(stage: _stage.Stage) -> None:
    for entry in range(len(stage.fleet.entries)):

        async def sells(entry: int = entry) -> bool:
            return await stage.fleet.sells(entry)

        stage.run(_waits.eventually(sells, "an answer of the shop"))


@pytest_bdd.then(parsers.parse("the {what} ran once"))
def ran_once(stage: _stage.Stage, what: str) -> None:
    assert _common.executions(stage, what) == 1


@pytest_bdd.then(parsers.parse("the {what} ran at most once"))
def ran_at_most_once(stage: _stage.Stage, what: str) -> None:
    assert _common.executions(stage, what) <= 1


@pytest_bdd.then(parsers.parse('the {what} was not called "not run"'))
def not_called_not_run(stage: _stage.Stage, what: str) -> None:
    assert stage.outcomes[what].executed != "no"


@pytest_bdd.then(parsers.parse("the {what} is answered whole"))
def is_answered_whole(stage: _stage.Stage, what: str) -> None:
    outcome = stage.finish(what)
    assert outcome.answered, outcome


@pytest_bdd.then(parsers.parse("the {what} is answered whole or refused"))
def is_answered_or_refused(stage: _stage.Stage, what: str) -> None:
    outcome = stage.finish(what)
    assert outcome.answered or outcome.code, outcome


@pytest_bdd.then(parsers.parse("the {what} was cut"))
def was_cut(stage: _stage.Stage, what: str) -> None:
    assert not stage.finish(what).answered


@pytest_bdd.then(parsers.re(r"entry-(?P<entry>\d) answers$"))
def entry_answers(stage: _stage.Stage, entry: str) -> None:
    stage.run(stage.fleet.until_served(int(entry)))


@pytest_bdd.then(parsers.re(r"(?P<name>entry-\d) runs again"))
def runs_again(stage: _stage.Stage, name: str) -> None:
    """Wait until an entry that lost its place has ended or goes on."""
    process = stage.fleet.host(name).process
    time.sleep(_fleet.LOST_PLACE_S)
    if not process.alive:
        process.start()


@pytest_bdd.then(parsers.re(r"entry-(?P<entry>\d) answers (?P<name>\w+)"))
def entry_answers_one(stage: _stage.Stage, entry: str, name: str) -> None:
    number = int(entry)
    stage.run(
        _waits.eventually(
            lambda: stage.fleet.serves(number, name), f"an answer for {name}"
        )
    )


@pytest_bdd.then(
    parsers.parse(
        "the withdrawn key is refused by every entry within {within_s:g} s"
    )
)
def withdrawn_key_is_refused(stage: _stage.Stage, within_s: float) -> None:
    """Ask every entry again and again once the time is over."""
    end_s = time.time() + within_s

    async def ask(entry: int) -> _caller.Outcome:
        ask = _caller.completion(stage.fleet.marker(), "russo", 1)
        return await stage.fleet.ask(entry, ask)

    async def refused_from_then_on(entry: int) -> None:
        await asyncio.sleep(max(0.0, end_s - time.time()))
        for _ in range(ASKS_WITH_OLD_KEY):
            outcome = await ask(entry)
            assert not outcome.answered, outcome
            # An entry that ended itself refuses the connection.
            assert outcome.status in (0, 401, 503), outcome
            await asyncio.sleep(_waits.LOOK_S)

    async def refused_by_all() -> None:
        entries = range(len(stage.fleet.entries))
        await asyncio.gather(*map(refused_from_then_on, entries))

    stage.run(refused_by_all())


@pytest_bdd.then("nothing of the load was cut")
def nothing_was_cut(stage: _stage.Stage) -> None:
    """Every request got its whole answer or never ran."""
    for name in stage.spawned:
        stage.finish(name)
    times = _promises.execution_times(stage.fleet.evidence())
    cut = [
        outcome
        for outcome in stage.fleet.caller.outcomes
        if not outcome.answered
        and any(
            outcome.started_s <= ran_s <= outcome.ended_s
            for ran_s in times[outcome.ask.marker]
        )
    ]
    assert cut == []
    assert any(outcome.answered for outcome in stage.fleet.caller.outcomes)

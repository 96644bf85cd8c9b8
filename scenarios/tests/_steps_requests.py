"""Steps that send requests and check the answers."""

import asyncio
import time

import pytest_bdd
from pytest_bdd import parsers

from scenarios import _caller
from scenarios import _context
from scenarios import _fleet
from scenarios import _promises
from scenarios import _waits

from . import _common

#: Requests with a withdrawn key that each entry must refuse.
ATTEMPTS_WITH_WITHDRAWN_KEY = 20


@pytest_bdd.when(
    parsers.re(
        r"(?P<organisation>\w+) sends a (?P<what>\w+)"
        r" through entry-(?P<entry>\d)"
    )
)
def sends(
    context: _context.Context, organisation: str, what: str, entry: str
) -> None:
    _common.add_ask(context, organisation, what)
    context.ask(what, int(entry))


@pytest_bdd.when(
    parsers.re(
        r"(?P<organisation>\w+) starts a (?P<what>\w+)"
        r" through entry-(?P<entry>\d)"
    )
)
def starts(
    context: _context.Context, organisation: str, what: str, entry: str
) -> None:
    _common.add_ask(context, organisation, what)
    context.begin(what, int(entry))


@pytest_bdd.when(parsers.parse("{organisation} starts {count:d} streams"))
def starts_streams(
    context: _context.Context, organisation: str, count: int
) -> None:
    for number in range(count):
        name = f"stream-{number}"
        _common.add_ask(context, organisation, name)
        context.begin(name, number % len(context.fleet.entries))


@pytest_bdd.when(parsers.parse("the {what} has started to run"))
def has_started(context: _context.Context, what: str) -> None:
    _common.wait(
        context,
        lambda: _common.executions(context, what) > 0,
        f"a run of {what}",
    )


@pytest_bdd.when(
    parsers.parse("the {what} is sent again through entry-{entry:d}")
)
def is_sent_again(context: _context.Context, what: str, entry: int) -> None:
    context.ask(what, entry)


@pytest_bdd.when(
    parsers.parse(
        "the {what} is repeated through entry-{entry:d} until it is answered"
    )
)
def is_retried(context: _context.Context, what: str, entry: int) -> None:
    async def answered() -> bool:
        outcome = await context.fleet.ask(entry, context.asks[what])
        return outcome.answered

    context.run(_waits.eventually(answered, f"an answer to {what}"))


@pytest_bdd.when("the shop answers again")
def shop_answers(context: _context.Context) -> None:
    for entry in range(len(context.fleet.entries)):

        async def serves_plain(entry: int = entry) -> bool:
            return await context.fleet.serves_plain(entry)

        context.run(_waits.eventually(serves_plain, "an answer from the shop"))


@pytest_bdd.then(parsers.parse("the {what} ran once"))
def ran_once(context: _context.Context, what: str) -> None:
    assert _common.executions(context, what) == 1


@pytest_bdd.then(parsers.parse("the {what} ran at most once"))
def ran_at_most_once(context: _context.Context, what: str) -> None:
    assert _common.executions(context, what) <= 1


@pytest_bdd.then(parsers.parse('the {what} was not reported as "not run"'))
def not_called_not_run(context: _context.Context, what: str) -> None:
    assert context.outcomes[what].executed != "no"


@pytest_bdd.then(parsers.parse("the {what} is answered completely"))
def is_answered_completely(context: _context.Context, what: str) -> None:
    outcome = context.finish(what)
    assert outcome.answered, outcome


@pytest_bdd.then(parsers.parse("the {what} is answered completely or refused"))
def is_answered_or_refused(context: _context.Context, what: str) -> None:
    outcome = context.finish(what)
    assert outcome.answered or outcome.code, outcome


@pytest_bdd.then(parsers.parse("the {what} was interrupted"))
def was_interrupted(context: _context.Context, what: str) -> None:
    assert not context.finish(what).answered


@pytest_bdd.then(parsers.re(r"entry-(?P<entry>\d) answers$"))
def entry_answers(context: _context.Context, entry: str) -> None:
    context.run(context.fleet.wait_until_served(int(entry)))


@pytest_bdd.then(parsers.re(r"(?P<name>entry-\d) runs again"))
def runs_again(context: _context.Context, name: str) -> None:
    """Restart an entry if it exited because it lost its membership."""
    process = context.fleet.host(name).process
    time.sleep(_fleet.LOST_MEMBERSHIP_S)
    if not process.alive:
        process.start()


@pytest_bdd.then(parsers.re(r"entry-(?P<entry>\d) answers (?P<name>\w+)"))
def entry_answers_one(
    context: _context.Context, entry: str, name: str
) -> None:
    number = int(entry)
    context.run(
        _waits.eventually(
            lambda: context.fleet.serves(number, name), f"an answer for {name}"
        )
    )


@pytest_bdd.then(
    parsers.parse(
        "the withdrawn key is refused by every entry within {within_s:g} s"
    )
)
def withdrawn_key_is_refused(
    context: _context.Context, within_s: float
) -> None:
    """Send repeated requests to every entry once the time is over."""
    end_s = time.time() + within_s

    async def ask(entry: int) -> _caller.Outcome:
        ask = _caller.completion(context.fleet.marker(), "russo", 1)
        return await context.fleet.ask(entry, ask)

    async def refused_from_then_on(entry: int) -> None:
        await asyncio.sleep(max(0.0, end_s - time.time()))
        for _ in range(ATTEMPTS_WITH_WITHDRAWN_KEY):
            outcome = await ask(entry)
            assert not outcome.answered, outcome
            # An entry that has exited refuses the connection.
            assert outcome.status in (0, 401, 503), outcome
            await asyncio.sleep(_waits.POLL_INTERVAL_S)

    async def refused_by_all() -> None:
        entries = range(len(context.fleet.entries))
        await asyncio.gather(*map(refused_from_then_on, entries))

    context.run(refused_by_all())


@pytest_bdd.then("no request of the load was interrupted")
def nothing_was_interrupted(context: _context.Context) -> None:
    """Every request got its complete answer or never ran."""
    for name in context.pending:
        context.finish(name)
    times = _promises.execution_times(context.fleet.evidence())
    interrupted = [
        outcome
        for outcome in context.fleet.caller.outcomes
        if not outcome.answered
        and any(
            outcome.started_s <= ran_s <= outcome.ended_s
            for ran_s in times[outcome.ask.marker]
        )
    ]
    assert interrupted == []
    assert any(outcome.answered for outcome in context.fleet.caller.outcomes)

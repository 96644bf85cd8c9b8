"""Runs the scenarios: each step is a line of the feature files."""

import asyncio
import collections.abc
import contextlib
import time

import pytest_bdd
from pytest_bdd import parsers

from bilberrydeal import ports
from scenarios import _caller
from scenarios import _fleet
from scenarios import _operator
from scenarios import _places
from scenarios import _promises
from scenarios import _proxy
from scenarios import _stage
import standins
from standins import engine
from standins import plain
from standins import platform

pytest_bdd.scenarios("../features")

Stage = _stage.Stage

#: Tokens of a stream that outlasts the faults of its scenario.
STREAM_TOKENS = 900
#: Requests with a withdrawn key that each entry must refuse.
ASKS_WITH_OLD_KEY = 20
#: A leaving endpoint may get new work for so long.
LEAVING_S = 5.0
#: Longer than the leases of the scenarios.
PAST_LEASE_S = 6.0
FAULTS = {
    "is down": platform.Fault(down=True),
    "is silent": platform.Fault(silent=True),
    "is slow": platform.Fault(slow_s=0.6),
    "loses all answers": platform.Fault(lose_answers=platform.ALL),
}
HABITS = {"check fencing numbers": True, "ignore fencing numbers": False}
DOMAINS = {f"d{number}" for number in range(4)}
#: Duties that any planning entry may hold.
DUTIES = ("usage", "roles", "sweep", *(f"fleet.d{n}" for n in range(4)))
PLAIN_PATHS = ("deposit", "label", "stock")


def shop(stage: Stage) -> _fleet.Host:
    return stage.fleet.plains[0]


def add_ask(stage: Stage, organisation: str, what: str) -> None:
    marker = stage.fleet.marker()
    if what in PLAIN_PATHS:
        ask = _caller.plain(f"/{what}", marker, organisation, f"once-{marker}")
    else:
        ask = _caller.completion(
            marker, organisation, STREAM_TOKENS, stream=what != "reply"
        )
    stage.asks[what] = ask


def executions(stage: Stage, what: str) -> int:
    marker = stage.asks[what].marker
    evidence = stage.fleet.evidence()
    bodies = [call.body for call in evidence.calls()]
    prompts = [item.prompt for item in evidence.generations()]
    return sum(f'"{marker}"' in body for body in bodies) + sum(
        marker in prompt.split() for prompt in prompts
    )


def engine_of(stage: Stage, what: str) -> _fleet.Host:
    """Return the host whose engine got a request first."""
    marker = stage.asks[what].marker
    return min(
        (item.executed_s, host.name, host)
        for host in stage.fleet.engines
        for item in standins.load(host.journal, engine.Executed)
        if marker in item.prompt.split()
    )[-1]


def wait(
    stage: Stage, check: collections.abc.Callable[[], bool], what: str
) -> None:
    async def holds() -> bool:
        return check()

    stage.run(_fleet.eventually(holds, what))


# Fleets.


@pytest_bdd.given("a fleet")
def a_fleet(stage: Stage) -> None:
    stage.set_up(_fleet.Shape())


@pytest_bdd.given("a fleet that has settled its bills")
def a_fleet_that_settled(stage: Stage) -> None:
    """What an agent has counted and not handed over dies with it."""
    stage.set_up(_fleet.Shape())
    bills_are_complete(stage)


@pytest_bdd.given("a fleet under load")
def a_fleet_under_load(stage: Stage) -> None:
    stage.set_up(_fleet.Shape())
    stage.begin_load()


@pytest_bdd.given("it is under load")
def it_is_under_load(stage: Stage) -> None:
    stage.begin_load()


@pytest_bdd.given(
    parsers.parse("a fleet that plans, with endpoints that {habit}")
)
def a_fleet_that_plans(stage: Stage, habit: str) -> None:
    stage.set_up(
        _fleet.Shape(engines=4, checks_fencing=HABITS[habit], plans=True)
    )


@pytest_bdd.given(parsers.parse("a fleet with endpoints that {habit}"))
def a_fleet_with(stage: Stage, habit: str) -> None:
    stage.set_up(_fleet.Shape(checks_fencing=HABITS[habit]))


@pytest_bdd.when("the load ends")
def the_load_ends(stage: Stage) -> None:
    stage.end_load()


# Faults of endpoints and hops.


@pytest_bdd.given(parsers.parse("the next answer of {host} is lost"))
def next_answer_is_lost(stage: Stage, host: str) -> None:
    stage.fleet.host(host).front.lose_answers(_places.HTTP_PORT)


@pytest_bdd.given(parsers.parse("the shop takes {delay_s:g} s for a call"))
def the_shop_is_slow(stage: Stage, delay_s: float) -> None:
    control = plain.Control(delay_s=delay_s)
    stage.run(stage.fleet.endpoint_fault(shop(stage), control))


@pytest_bdd.given("the shop crashes after its next effect")
def the_shop_crashes(stage: Stage) -> None:
    control = plain.Control(crash_after_effect=True)
    stage.run(stage.fleet.endpoint_fault(shop(stage), control))


def links(stage: Stage) -> list[tuple[_proxy.Proxy, int]]:
    first = _places.LINK_PORTS_FROM
    return [
        (host.front, port)
        for host in stage.fleet.engines
        for port in range(first, first + _places.LINK_PORTS)
    ]


@pytest_bdd.when("open links to every engine fall silent")
def links_fall_silent(stage: Stage) -> None:
    for front, port in links(stage):
        stage.loop.call_soon_threadsafe(front.hush, _proxy.Way.BACK, port)
        stage.loop.call_soon_threadsafe(front.hush, _proxy.Way.FORTH, port)


@pytest_bdd.when("open links to every engine are cut")
def links_are_cut(stage: Stage) -> None:
    for front, port in links(stage):
        stage.loop.call_soon_threadsafe(front.cut, port)
    time.sleep(1.0)


# Faults of processes.


@pytest_bdd.when(parsers.re(r"(?P<name>[a-z]+-\d) is killed"))
def is_killed(stage: Stage, name: str) -> None:
    stage.fleet.host(name).process.kill()


@pytest_bdd.when(parsers.parse("the agent of the {what} is killed"))
def agent_is_killed(stage: Stage, what: str) -> None:
    engine_of(stage, what).process.kill()


@pytest_bdd.when(
    parsers.parse("the agent of the {what} is killed and started again")
)
def agent_is_restarted(stage: Stage, what: str) -> None:
    process = engine_of(stage, what).process
    process.kill()
    process.start()


@pytest_bdd.when(parsers.re(r"(?P<name>[a-z]+-\d) is started again"))
def is_started_again(stage: Stage, name: str) -> None:
    stage.fleet.host(name).process.start()


@pytest_bdd.when(parsers.parse("the endpoint of {name} is started again"))
def endpoint_is_started_again(stage: Stage, name: str) -> None:
    process = stage.fleet.host(name).endpoint
    assert process is not None
    wait(stage, lambda: not process.alive, f"the crash of {name}")
    process.start()


@pytest_bdd.when(parsers.re(r"(?P<name>[a-z]+-\d) is terminated"))
def is_terminated(stage: Stage, name: str) -> None:
    stage.fleet.host(name).process.terminate()


@pytest_bdd.when(
    parsers.parse("every engine's agent is paused for {for_s:g} s")
)
def agents_are_paused(stage: Stage, for_s: float) -> None:
    for host in stage.fleet.engines:
        host.process.pause()
    time.sleep(for_s)
    for host in stage.fleet.engines:
        host.process.resume()


@pytest_bdd.when(
    "the entry with most duties is paused until others hold them",
    target_fixture="paused",
)
def is_paused(stage: Stage) -> _fleet.Host:
    entries = stage.fleet.entries

    async def holders(over: int) -> list[_fleet.Host]:
        leases = (await stage.fleet.operator(over).leases()).leases
        return [
            host
            for lease in leases
            for host in entries
            if lease.holder.startswith(f"{host.name}.")
        ]

    async def all_held() -> bool:
        return len(await holders(0)) >= len(DUTIES)

    stage.run(_fleet.eventually(all_held, "a holder of every duty"))
    found = stage.run(holders(0))
    paused = max(entries, key=found.count)
    other = next(n for n, host in enumerate(entries) if host is not paused)

    async def taken() -> bool:
        return paused not in await holders(other)

    paused.process.pause()
    stage.run(_fleet.eventually(taken, f"a successor of {paused.name}"))
    return paused


@pytest_bdd.when("the paused entry goes on")
def goes_on(paused: _fleet.Host) -> None:
    paused.process.resume()


@pytest_bdd.when(parsers.parse("{name} is listed as leaving"))
def is_listed_as_leaving(stage: Stage, name: str) -> None:
    stage.run(stage.fleet.list_hosts(leaving=(name,)))


@pytest_bdd.when(parsers.parse("{name} crashes at its next order"))
def crashes_at_order(stage: Stage, name: str) -> None:
    host = stage.fleet.host(name)
    fault = engine.Fault(crash_on_order=True)
    stage.run(stage.fleet.endpoint_fault(host, fault))


@pytest_bdd.when(parsers.parse("{name} is ordered to {role}"))
def is_ordered(stage: Stage, name: str, role: str) -> None:
    host = stage.fleet.host(name)
    stage.run(stage.fleet.order(host, ports.EngineRole(role)))


@pytest_bdd.then(parsers.parse("{name} takes the newest order"))
def takes_the_newest(stage: Stage, name: str) -> None:
    host = stage.fleet.host(name)

    async def taken() -> bool:
        try:
            state = await stage.fleet.engine_state(host)
        except ports.EngineFailure:
            return False
        newest = stage.fleet.ordered[name]
        return state.order_version == newest and not state.changing

    stage.run(_fleet.eventually(taken, f"the newest order at {name}"))


# Faults of the platform.


@pytest_bdd.when(
    parsers.re(
        r"the platform (?P<fault>is down|is silent|is slow|loses all answers)$"
    )
)
def the_platform_fails(stage: Stage, fault: str) -> None:
    stage.run(stage.fleet.fault(FAULTS[fault]))
    time.sleep(2.0)


@pytest_bdd.when("the endpoint interface takes no orders")
def takes_no_orders(stage: Stage) -> None:
    fault = platform.Fault(service="endpoints", down=True)
    stage.run(stage.fleet.fault(fault))


@pytest_bdd.then("endpoints were bought")
def endpoints_were_bought(stage: Stage) -> None:
    journal = stage.fleet.evidence().bought

    def bought() -> bool:
        orders = standins.load(journal, platform.Ordered)
        return {order.failure_domain for order in orders} == DOMAINS

    wait(stage, bought, "a purchase in every failure domain")


@pytest_bdd.when("the platform is well again")
def the_platform_is_well(stage: Stage) -> None:
    stage.run(stage.fleet.fault(platform.Fault()))


@pytest_bdd.when(
    parsers.re(r"the platform (?P<fault>.+) for (?P<for_s>\d+) s")
)
def the_platform_fails_for(stage: Stage, fault: str, for_s: str) -> None:
    stage.run(stage.fleet.fault(FAULTS[fault]))
    time.sleep(float(for_s))
    stage.run(stage.fleet.fault(platform.Fault()))


def cut_off(stage: Stage, name: str, away: bool) -> None:
    store = stage.fleet.host(name).store

    async def change() -> None:
        store.set_weather(_proxy.Weather(refuse=away))
        store.cut()

    stage.run(change())


@pytest_bdd.when(
    parsers.re(r"(?P<name>[a-z]+-\d) is cut off from the platform$")
)
def is_cut_off(stage: Stage, name: str) -> None:
    cut_off(stage, name, True)


@pytest_bdd.when("the entries are cut off from each other")
def entries_are_cut_off(stage: Stage) -> None:
    set_peers(stage, _proxy.Weather(refuse=True))


@pytest_bdd.when("the entries reach each other again")
def entries_reach_each_other(stage: Stage) -> None:
    set_peers(stage, _proxy.Weather())


def set_peers(stage: Stage, weather: _proxy.Weather) -> None:
    async def change() -> None:
        for host in stage.fleet.entries:
            host.front.set_weather(weather, _places.PEER_PORT)
            host.front.cut(_places.PEER_PORT)

    stage.run(change())


@pytest_bdd.when(parsers.parse("{name} reaches the platform again"))
def reaches_again(stage: Stage, name: str) -> None:
    cut_off(stage, name, False)


@pytest_bdd.when(
    parsers.re(
        r"(?P<name>[a-z]+-\d) is cut off from the platform"
        r" for (?P<for_s>\d+) s"
    )
)
def is_cut_off_for(stage: Stage, name: str, for_s: str) -> None:
    cut_off(stage, name, True)
    time.sleep(float(for_s))
    cut_off(stage, name, False)


# Requests.


@pytest_bdd.when(
    parsers.re(
        r"(?P<organisation>\w+) sends a (?P<what>\w+) over entry-(?P<entry>\d)"
    )
)
def sends(stage: Stage, organisation: str, what: str, entry: str) -> None:
    add_ask(stage, organisation, what)
    stage.ask(what, int(entry))


@pytest_bdd.when(
    parsers.re(
        r"(?P<organisation>\w+) begins a (?P<what>\w+)"
        r" over entry-(?P<entry>\d)"
    )
)
def begins(stage: Stage, organisation: str, what: str, entry: str) -> None:
    add_ask(stage, organisation, what)
    stage.begin(what, int(entry))


@pytest_bdd.when(parsers.parse("{organisation} begins {count:d} streams"))
def begins_streams(stage: Stage, organisation: str, count: int) -> None:
    for number in range(count):
        name = f"stream-{number}"
        add_ask(stage, organisation, name)
        stage.begin(name, number % len(stage.fleet.entries))


@pytest_bdd.when(parsers.parse("the {what} has begun to run"))
def has_begun(stage: Stage, what: str) -> None:
    wait(stage, lambda: executions(stage, what) > 0, f"a run of {what}")


@pytest_bdd.when(
    parsers.parse("the {what} is sent again over entry-{entry:d}")
)
def is_sent_again(stage: Stage, what: str, entry: int) -> None:
    stage.ask(what, entry)


@pytest_bdd.when(
    parsers.parse(
        "the {what} is repeated over entry-{entry:d} until it is answered"
    )
)
def is_repeated(stage: Stage, what: str, entry: int) -> None:
    async def answered() -> bool:
        outcome = await stage.fleet.ask(entry, stage.asks[what])
        return outcome.answered

    stage.run(_fleet.eventually(answered, f"an answer to {what}"))


@pytest_bdd.when("the shop answers again")
def shop_answers(stage: Stage) -> None:
    for entry in range(len(stage.fleet.entries)):

        async def sells(entry: int = entry) -> bool:
            return await stage.fleet.sells(entry)

        stage.run(_fleet.eventually(sells, "an answer of the shop"))


# Operators.


@pytest_bdd.when(parsers.parse("the key of {organisation} is withdrawn"))
def key_is_withdrawn(stage: Stage, organisation: str) -> None:
    key_id = stage.fleet.keys[organisation].key_id

    async def accepted() -> bool:
        try:
            await stage.fleet.operator(0).withdraw_key(key_id)
        except _operator.Refused:
            return False
        return True

    stage.run(_fleet.eventually(accepted, "the withdrawal"))


@pytest_bdd.when(
    parsers.parse("two operators set the weight of {organisation} at once"),
    target_fixture="race",
)
def operators_race(stage: Stage, organisation: str) -> list[object]:
    async def race() -> list[object]:
        rows = (await stage.fleet.operator(0).organisations()).organisations
        seen = next(row for row in rows if row.name == organisation).revision
        return list(
            await asyncio.gather(
                stage.fleet.operator(0).organisation(organisation, 2.0, seen),
                stage.fleet.operator(1).organisation(organisation, 3.0, seen),
                return_exceptions=True,
            )
        )

    return stage.run(race())


@pytest_bdd.then("one of them is told of the conflict")
def one_is_told(race: list[object]) -> None:
    refused = [item for item in race if isinstance(item, _operator.Refused)]
    accepted = [item for item in race if isinstance(item, int)]
    assert (len(refused), len(accepted)) == (1, 1), race
    assert refused[0].status == 409


@pytest_bdd.then(
    parsers.parse("all entries show the same weight of {organisation}")
)
def same_weight(stage: Stage, organisation: str) -> None:
    async def weights() -> set[float]:
        return {
            row.weight
            for entry in range(len(stage.fleet.entries))
            for row in (
                await stage.fleet.operator(entry).organisations()
            ).organisations
            if row.name == organisation
        }

    async def same() -> bool:
        found = await weights()
        return len(found) == 1 and found <= {2.0, 3.0}

    stage.run(_fleet.eventually(same, "one weight on all entries"))


# What callers got.


@pytest_bdd.then(parsers.parse("the {what} ran once"))
def ran_once(stage: Stage, what: str) -> None:
    assert executions(stage, what) == 1


@pytest_bdd.then(parsers.parse("the {what} ran at most once"))
def ran_at_most_once(stage: Stage, what: str) -> None:
    assert executions(stage, what) <= 1


@pytest_bdd.then(parsers.parse('the {what} was not called "not run"'))
def not_called_not_run(stage: Stage, what: str) -> None:
    assert stage.outcomes[what].executed != "no"


@pytest_bdd.then(parsers.parse("the {what} is answered whole"))
def is_answered_whole(stage: Stage, what: str) -> None:
    outcome = stage.finish(what)
    assert outcome.answered, outcome


@pytest_bdd.then(parsers.parse("the {what} is answered whole or refused"))
def is_answered_or_refused(stage: Stage, what: str) -> None:
    outcome = stage.finish(what)
    assert outcome.answered or outcome.code, outcome


@pytest_bdd.then(parsers.parse("the {what} was cut"))
def was_cut(stage: Stage, what: str) -> None:
    assert not stage.finish(what).answered


@pytest_bdd.then(parsers.re(r"entry-(?P<entry>\d) answers$"))
def entry_answers(stage: Stage, entry: str) -> None:
    stage.run(stage.fleet.until_served(int(entry)))


@pytest_bdd.then(parsers.re(r"(?P<name>entry-\d) runs again"))
def runs_again(stage: Stage, name: str) -> None:
    """Wait until an entry that lost its place has ended or goes on."""
    process = stage.fleet.host(name).process
    time.sleep(_fleet.LOST_PLACE_S)
    if not process.alive:
        process.start()


@pytest_bdd.then(parsers.re(r"entry-(?P<entry>\d) answers (?P<name>\w+)"))
def entry_answers_one(stage: Stage, entry: str, name: str) -> None:
    number = int(entry)
    stage.run(
        _fleet.eventually(
            lambda: stage.fleet.serves(number, name), f"an answer for {name}"
        )
    )


@pytest_bdd.then(
    parsers.parse(
        "the withdrawn key is refused by every entry within {within_s:g} s"
    )
)
def withdrawn_key_is_refused(stage: Stage, within_s: float) -> None:
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
            await asyncio.sleep(_fleet.LOOK_S)

    async def refused_by_all() -> None:
        entries = range(len(stage.fleet.entries))
        await asyncio.gather(*map(refused_from_then_on, entries))

    stage.run(refused_by_all())


@pytest_bdd.then("nothing of the load was cut")
def nothing_was_cut(stage: Stage) -> None:
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


# What the stand-ins recorded.


@pytest_bdd.then(parsers.parse("{name} ends with code {code:d}"))
def ends_with(stage: Stage, name: str, code: int) -> None:
    assert stage.fleet.host(name).process.wait(_fleet.PATIENCE_S) == code


@pytest_bdd.then(parsers.parse("{name} gets no new work after a few seconds"))
def gets_no_new_work(stage: Stage, name: str) -> None:
    journal = stage.fleet.host(name).journal
    time.sleep(LEAVING_S)
    before = len(standins.load(journal, engine.Executed))
    time.sleep(LEAVING_S)
    assert len(standins.load(journal, engine.Executed)) == before


@pytest_bdd.then("every promise was kept")
def every_promise_was_kept(stage: Stage) -> None:
    for name in list(stage.spawned):
        if name not in stage.outcomes:
            stage.finish(name)
    assert _promises.broken(stage.fleet.evidence()) == []


@pytest_bdd.then("bills are complete")
def bills_are_complete(stage: Stage) -> None:
    missing: list[str] = []

    def complete() -> bool:
        evidence = stage.fleet.evidence()
        missing[:] = _promises.bills_are_complete(evidence)
        return not missing

    with contextlib.suppress(TimeoutError):
        wait(stage, complete, "complete bills")
    assert missing == []
    assert _promises.broken(stage.fleet.evidence()) == []

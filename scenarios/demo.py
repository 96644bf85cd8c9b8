"""Runs a fleet on loopback and prints the result of each step.

Run as ``python -m scenarios.demo``; exits 1 when a step fails.
"""

import asyncio
import collections
import collections.abc
import pathlib
import sys
import tempfile

import attrs
import uvloop

from bilberrydeal import operators
from bilberrydeal import ports

from . import _addresses
from . import _caller
from . import _composition
from . import _fleet
from . import _load
from . import _promises
from . import _waits

COMPOSITION = _composition.Composition(entries=2, engines=4, plain_services=1)
#: Duration of the scripted load, in seconds.
MIX_S = 3.0
#: Time after which a withdrawn key must be refused, in seconds.
KEY_WITHDRAWAL_S = 5.0
STREAM_TOKENS = 200
#: Model version other than the one the engines start with.
VERSION = "v2"

Step = collections.abc.Callable[[_fleet.Fleet], collections.abc.Awaitable[str]]


@attrs.define
class StepFailed(Exception):
    """Raised when a step did not show the expected result."""

    message: str


def require(holds: bool, message: str) -> None:
    """Raise :class:`StepFailed` unless ``holds``."""
    if not holds:
        raise StepFailed(message)


async def _end_load_without_interruption(
    fleet: _fleet.Fleet, load: _load.Load
) -> None:
    """End a load and require that no request was interrupted."""
    await load.end()
    interrupted = [
        outcome
        for outcome in fleet.caller.outcomes
        if outcome.ended_s > load.started_s
        and not outcome.answered
        and outcome.executed != "no"
    ]
    require(not interrupted, f"Requests were interrupted: {interrupted}")


async def run_a_mix(fleet: _fleet.Fleet) -> str:
    """Send a mixed load as two organisations."""
    load = _load.Load(fleet, seed=1)
    await asyncio.sleep(MIX_S)
    await load.end()
    outcomes = fleet.caller.outcomes
    answered = collections.Counter(
        outcome.ask.organisation for outcome in outcomes if outcome.answered
    )
    require(len(answered) == 2, "An organisation got no answer.")
    shown = ", ".join(f"{name} {count}" for name, count in answered.items())
    return f"answers: {shown}"


async def stream_an_answer(fleet: _fleet.Fleet) -> str:
    """Stream one long answer."""
    parts = 0

    def count() -> None:
        nonlocal parts
        parts += 1

    ask = _caller.completion(fleet.marker(), "russo", STREAM_TOKENS, True)
    outcome = await fleet.ask(0, ask, on_text=count)
    require(outcome.answered and parts > 1, f"No stream arrived: {outcome}")
    return f"{STREAM_TOKENS} tokens arrived in {parts} events"


async def repeat_a_deposit(fleet: _fleet.Fleet) -> str:
    """Lose the answer to a deposit and retry it on the other entry."""
    marker = fleet.marker()
    ask = _caller.plain("/deposit", marker, "russo", f"once-{marker}")
    fleet.entries[0].front_proxy.lose_answers(_addresses.HTTP_PORT)
    lost = await fleet.ask(0, ask)
    require(lost.status == 0, "The answer was not lost.")

    async def answered() -> bool:
        return (await fleet.ask(1, ask)).answered

    await _waits.eventually(answered, "an answer to the retried deposit")
    runs = sum(marker in call.body for call in fleet.evidence().calls())
    require(runs == 1, f"The deposit ran {runs} times.")
    return "sent twice, through two entries; it ran once"


async def withdraw_a_key(fleet: _fleet.Fleet) -> str:
    """Withdraw a key and check that both entries refuse it."""
    old = fleet.keys["derwent"]
    await fleet.operator(0).withdraw_key(old.key_id)
    await asyncio.sleep(KEY_WITHDRAWAL_S)
    for entry in range(len(fleet.entries)):
        ask = _caller.completion(fleet.marker(), "derwent", 1)
        outcome = await fleet.ask(entry, ask, key=old.secret)
        require(outcome.status == 401, f"Still served: {outcome}")
    await fleet.issue_key("derwent")
    await _waits.eventually(
        lambda: fleet.serves(1, "derwent"), "an answer for the new key"
    )
    return "both entries refuse it; a new key works"


async def change_a_weight(fleet: _fleet.Fleet) -> str:
    """Change a weight on one entry and read it from the other."""
    rows = (await fleet.operator(0).organisations()).organisations
    seen = next(row for row in rows if row.name == "russo").revision
    await fleet.operator(0).organisation("russo", 3.0, seen)

    async def in_force() -> bool:
        there = (await fleet.operator(1).organisations()).organisations
        return any(row.weight == 3.0 for row in there if row.name == "russo")

    await _waits.eventually(in_force, "the weight at the other entry")
    return "russo has weight 3 on both entries"


async def assign_an_engine(fleet: _fleet.Fleet) -> str:
    """Assign a role to an engine under load and remove it again."""
    name = fleet.engines[0].name
    path = f"/assignments/{name}"
    body = operators.AssignmentInput(
        expected_revision=0, role=ports.EngineRole.DECODE
    )
    load = _load.Load(fleet, seed=2)
    committed = await fleet.operator(0).call(
        "PUT", path, operators.Committed, body
    )

    async def decodes() -> bool:
        state = await fleet.engine_state(fleet.engines[0])
        return state.role is ports.EngineRole.DECODE and not state.changing

    await _waits.eventually(decodes, "the role at the engine")
    await _end_load_without_interruption(fleet, load)
    await fleet.operator(1).call(
        "DELETE",
        f"{path}?expected_revision={committed.revision}",
        operators.Committed,
    )
    return f"{name} changed its role while requests ran"


async def release_a_version(fleet: _fleet.Fleet) -> str:
    """Load a new version of a model on all engines under load."""
    rows = await fleet.operator(0).call("GET", "/models", operators.ModelRows)
    model = next(row for row in rows.models if row.name == _composition.MODEL)
    body = operators.ModelInput(
        expected_revision=model.revision,
        service=model.service,
        version=VERSION,
    )
    load = _load.Load(fleet, seed=3)
    path = f"/models/{_composition.MODEL}"
    await fleet.operator(0).call("PUT", path, operators.Committed, body)

    async def loaded() -> bool:
        states = [await fleet.engine_state(host) for host in fleet.engines]
        return all(state.model_version == VERSION for state in states)

    await _waits.eventually(loaded, "the version on all engines")
    await _end_load_without_interruption(fleet, load)
    return f"{len(fleet.engines)} engines loaded it, one after another"


async def kill_an_agent(fleet: _fleet.Fleet) -> str:
    """Kill an agent and check that the others serve."""
    fleet.engines[0].process.kill()
    for entry in range(len(fleet.entries)):
        await _waits.eventually(
            lambda at=entry: fleet.serves(at),  # type: ignore[misc]
            "an answer without the agent",
        )
    fleet.engines[0].process.start()
    return "both entries continue to answer"


async def read_the_bills(fleet: _fleet.Fleet) -> str:
    """Wait for the usage reports of all answered requests."""

    async def complete() -> bool:
        return not list(_promises.bills_are_complete(fleet.evidence()))

    await _waits.eventually(complete, "complete usage reports")
    reports = [
        item.report
        for item in fleet.evidence().reports()
        if item.outcome == "taken"
    ]
    for report in reports:
        print(
            f"    window {report.window_start_s}"
            f" {report.organisation:10}"
            f" calls {report.figures.calls:4}"
            f" prompt {report.figures.prompt_tokens:6}"
            f" cached {report.figures.cached_tokens:6}"
            f" output {report.figures.output_tokens:6}"
        )
    return f"{len(reports)} usage reports arrived"


async def check_the_invariants(fleet: _fleet.Fleet) -> str:
    """Check all invariants on the stand-ins' journals."""
    found = _promises.broken(fleet.evidence())
    require(not found, "; ".join(found))
    return f"{len(_promises.INVARIANTS)} invariants hold"


STEPS: tuple[Step, ...] = (
    run_a_mix,
    stream_an_answer,
    repeat_a_deposit,
    withdraw_a_key,
    change_a_weight,
    assign_an_engine,
    release_a_version,
    kill_an_agent,
    read_the_bills,
    check_the_invariants,
)


async def _run(folder: pathlib.Path) -> int:
    print(
        f"Starting {COMPOSITION.entries} entries,"
        f" {COMPOSITION.engines} engines and"
        f" {COMPOSITION.plain_services} plain service."
    )
    async with _fleet.Fleet(COMPOSITION, folder) as fleet:
        for step in STEPS:
            message = (step.__doc__ or "").splitlines()[0]
            print(message, flush=True)
            try:
                print(f"    {await step(fleet)}", flush=True)
            except (StepFailed, TimeoutError) as error:
                print(f"    FAILED: {error}")
                return 1
    return 0


def main() -> int:
    """Run all steps and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(_run(pathlib.Path(folder)))


if __name__ == "__main__":
    sys.exit(main())

"""Runs the whole path on loopback and prints what each step showed.

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

from . import _caller
from . import _fleet
from . import _load
from . import _places
from . import _promises
from . import _shape
from . import _waits

SHAPE = _shape.Shape(entries=2, engines=4, plains=1)
#: Time that the scripted mix runs, in seconds.
MIX_S = 3.0
#: A withdrawn key must be refused after so long, in seconds.
KEY_WITHDRAWAL_S = 5.0
STREAM_TOKENS = 200
#: Version of a model that the engines did not start with.
VERSION = "v2"

Step = collections.abc.Callable[[_fleet.Fleet], collections.abc.Awaitable[str]]


@attrs.define
class StepFailed(Exception):
    """A step that did not show what it should."""

    message: str


def require(holds: bool, message: str) -> None:
    """Raise :class:`StepFailed` unless ``holds``."""
    if not holds:
        raise StepFailed(message)


async def _end_load_uncut(fleet: _fleet.Fleet, load: _load.Load) -> None:
    """End a load none of whose requests may have been cut."""
    await load.end()
    cut = [
        outcome
        for outcome in fleet.caller.outcomes
        if outcome.ended_s > load.started_s
        and not outcome.answered
        and outcome.executed != "no"
    ]
    require(not cut, f"Requests were cut: {cut}")


async def run_a_mix(fleet: _fleet.Fleet) -> str:
    """Send a mix as two organisations."""
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
    require(outcome.answered and parts > 1, f"No stream came: {outcome}")
    return f"{STREAM_TOKENS} tokens came in {parts} events"


async def repeat_a_deposit(fleet: _fleet.Fleet) -> str:
    """Lose the answer to a deposit and repeat it over the other entry."""
    marker = fleet.marker()
    ask = _caller.plain("/deposit", marker, "russo", f"once-{marker}")
    fleet.entries[0].front_proxy.lose_answers(_places.HTTP_PORT)
    lost = await fleet.ask(0, ask)
    require(lost.status == 0, "The answer was not lost.")

    async def answered() -> bool:
        return (await fleet.ask(1, ask)).answered

    await _waits.eventually(answered, "an answer to the repeated deposit")
    runs = sum(marker in call.body for call in fleet.evidence().calls())
    require(runs == 1, f"The deposit ran {runs} times.")
    return "asked twice, over two entries; it ran once"


async def withdraw_a_key(fleet: _fleet.Fleet) -> str:
    """Withdraw a key and see both entries refuse it."""
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
    """Change a weight over one entry and read it over the other."""
    rows = (await fleet.operator(0).organisations()).organisations
    seen = next(row for row in rows if row.name == "russo").revision
    await fleet.operator(0).organisation("russo", 3.0, seen)

    async def in_force() -> bool:
        there = (await fleet.operator(1).organisations()).organisations
        return any(row.weight == 3.0 for row in there if row.name == "russo")

    await _waits.eventually(in_force, "the weight at the other entry")
    return "russo weighs 3 on both entries"


async def assign_an_engine(fleet: _fleet.Fleet) -> str:
    """Assign an engine to a role under load and give it back."""
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
    await _end_load_uncut(fleet, load)
    await fleet.operator(1).call(
        "DELETE",
        f"{path}?expected_revision={committed.revision}",
        operators.Committed,
    )
    return f"{name} took the role while requests ran"


async def release_a_version(fleet: _fleet.Fleet) -> str:
    """Bring a new version of a model to all engines under load."""
    rows = await fleet.operator(0).call("GET", "/models", operators.ModelRows)
    model = next(row for row in rows.models if row.name == _shape.MODEL)
    body = operators.ModelInput(
        expected_revision=model.revision,
        service=model.service,
        version=VERSION,
    )
    load = _load.Load(fleet, seed=3)
    path = f"/models/{_shape.MODEL}"
    await fleet.operator(0).call("PUT", path, operators.Committed, body)

    async def loaded() -> bool:
        states = [await fleet.engine_state(host) for host in fleet.engines]
        return all(state.model_version == VERSION for state in states)

    await _waits.eventually(loaded, "the version on all engines")
    await _end_load_uncut(fleet, load)
    return f"{len(fleet.engines)} engines loaded it, one after another"


async def kill_an_agent(fleet: _fleet.Fleet) -> str:
    """Kill an agent and see the others serve."""
    fleet.engines[0].process.kill()
    for entry in range(len(fleet.entries)):
        await _waits.eventually(
            lambda at=entry: fleet.serves(at),  # type: ignore[misc]
            "an answer without the agent",
        )
    fleet.engines[0].process.start()
    return "both entries go on answering"


async def read_the_bills(fleet: _fleet.Fleet) -> str:
    """Wait for the usage reports of all that was answered."""

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
    return f"{len(reports)} reports came out"


async def check_the_promises(fleet: _fleet.Fleet) -> str:
    """Check all promises over what the stand-ins recorded."""
    found = _promises.broken(fleet.evidence())
    require(not found, "; ".join(found))
    return f"{len(_promises.INVARIANTS)} promises were kept"


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
    check_the_promises,
)


async def _run(folder: pathlib.Path) -> int:
    print(
        f"Starting {SHAPE.entries} entries, {SHAPE.engines} engines and"
        f" {SHAPE.plains} plain service."
    )
    async with _fleet.Fleet(SHAPE, folder) as fleet:
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

"""What steps of several subjects share."""

import collections.abc

from scenarios import _caller
from scenarios import _shape
from scenarios import _stage
from scenarios import _waits
import standins
from standins import engine

HABITS = {"check fencing numbers": True, "ignore fencing numbers": False}
PLAIN_PATHS = ("deposit", "label", "stock")
#: Tokens of a stream that outlasts the faults of its scenario.
STREAM_TOKENS = 900


def shop(stage: _stage.Stage) -> _shape.Host:
    return stage.fleet.plains[0]


def add_ask(stage: _stage.Stage, organisation: str, what: str) -> None:
    marker = stage.fleet.marker()
    if what in PLAIN_PATHS:
        ask = _caller.plain(f"/{what}", marker, organisation, f"once-{marker}")
    else:
        ask = _caller.completion(
            marker, organisation, STREAM_TOKENS, stream=what != "reply"
        )
    stage.asks[what] = ask


def executions(stage: _stage.Stage, what: str) -> int:
    marker = stage.asks[what].marker
    evidence = stage.fleet.evidence()
    bodies = [call.body for call in evidence.calls()]
    prompts = [item.prompt for item in evidence.generations()]
    return sum(f'"{marker}"' in body for body in bodies) + sum(
        marker in prompt.split() for prompt in prompts
    )


def engine_of(stage: _stage.Stage, what: str) -> _shape.Host:
    """Return the host whose engine got a request first."""
    marker = stage.asks[what].marker
    return min(
        (item.executed_s, host.name, host)
        for host in stage.fleet.engines
        for item in standins.load(host.journal, engine.Executed)
        if marker in item.prompt.split()
    )[-1]


def wait(
    stage: _stage.Stage, check: collections.abc.Callable[[], bool], what: str
) -> None:
    async def holds() -> bool:
        return check()

    stage.run(_waits.eventually(holds, what))

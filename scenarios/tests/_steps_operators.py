"""Steps that call the operator API."""

import asyncio

import pytest_bdd
from pytest_bdd import parsers

from scenarios import _context
from scenarios import _operator
from scenarios import _waits


@pytest_bdd.when(parsers.parse("the key of {organisation} is withdrawn"))
def key_is_withdrawn(context: _context.Context, organisation: str) -> None:
    key_id = context.fleet.keys[organisation].key_id

    async def accepted() -> bool:
        try:
            await context.fleet.operator(0).withdraw_key(key_id)
        except _operator.Refused:
            return False
        return True

    context.run(_waits.eventually(accepted, "acceptance of the withdrawal"))


@pytest_bdd.when(
    parsers.parse("two operators set the weight of {organisation} at once"),
    target_fixture="race",
)
def operators_race(
    context: _context.Context, organisation: str
) -> list[object]:
    async def race() -> list[object]:
        rows = (await context.fleet.operator(0).organisations()).organisations
        seen = next(row for row in rows if row.name == organisation).revision
        return list(
            await asyncio.gather(
                context.fleet.operator(0).organisation(
                    organisation, 2.0, seen
                ),
                context.fleet.operator(1).organisation(
                    organisation, 3.0, seen
                ),
                return_exceptions=True,
            )
        )

    return context.run(race())


@pytest_bdd.then("one of them gets a conflict")
def one_gets_a_conflict(race: list[object]) -> None:
    refused = [item for item in race if isinstance(item, _operator.Refused)]
    accepted = [item for item in race if isinstance(item, int)]
    assert (len(refused), len(accepted)) == (1, 1), race
    assert refused[0].status == 409


@pytest_bdd.then(
    parsers.parse("all entries show the same weight of {organisation}")
)
def same_weight(context: _context.Context, organisation: str) -> None:
    async def weights() -> set[float]:
        return {
            row.weight
            for entry in range(len(context.fleet.entries))
            for row in (
                await context.fleet.operator(entry).organisations()
            ).organisations
            if row.name == organisation
        }

    async def same() -> bool:
        found = await weights()
        return len(found) == 1 and found <= {2.0, 3.0}

    context.run(_waits.eventually(same, "the same weight on all entries"))

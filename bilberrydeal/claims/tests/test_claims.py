import asyncio
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bilberrydeal import claims
from bilberrydeal import errors
from bilberrydeal import link
from bilberrydeal.claims import _claims
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from standins import platform

ANSWER = claims.Answer(200, "application/json", b'{"deposit": 1}')
DIGEST = claims.digest_body("POST", "/deposit", b"{}")


def _dispatch(sequence: int, agent: str = "a.0") -> claims.Dispatch:
    number = link.RequestNumber("e1", sequence)
    return claims.Dispatch(number, "endpoint-a", agent)


@attrs.define
class Agent:
    """Runs requests once each and forgets all when it restarts."""

    restarts: int = 0
    running: set[link.RequestNumber] = attrs.Factory(set)
    ran: set[link.RequestNumber] = attrs.Factory(set)
    tombstones: set[link.RequestNumber] = attrs.Factory(set)

    @property
    def incarnation(self) -> str:
        return f"a.{self.restarts}"

    def restart(self) -> None:
        self.restarts += 1
        for kept in (self.running, self.ran, self.tombstones):
            kept.clear()

    def query(self, dispatch: claims.Dispatch) -> claims.Resolution:
        number = dispatch.number
        if dispatch.agent != self.incarnation:
            return claims.Resolution(link.QueryOutcome.UNKNOWN)
        if number in self.ran:
            return claims.Resolution(link.QueryOutcome.FINISHED, ANSWER)
        if number in self.running:
            return claims.Resolution(link.QueryOutcome.RUNNING)
        self.tombstones.add(number)
        return claims.Resolution(link.QueryOutcome.NOT_STARTED)


@attrs.define
class World:
    """Callers that repeat one request over several entries."""

    loop: virtual.VirtualLoop
    rng: random.Random
    memory: platform.MemoryTable = attrs.Factory(platform.MemoryTable)
    objects: faults.MemoryObjects = attrs.Factory(faults.MemoryObjects)
    agent: Agent = attrs.Factory(Agent)
    executions: int = 0
    sequence: int = 0
    answers: list[claims.Answer] = attrs.Factory(list)

    def next_dispatch(self) -> claims.Dispatch:
        self.sequence += 1
        return _dispatch(self.sequence, self.agent.incarnation)

    async def caller(self) -> None:
        table = faults.FaultyTable(
            self.memory,
            self.rng,
            fault_share=0.3,
            latency_s=0.3,
            late_s=8.0,
            pause_s=10.0,
        )
        client = faults.make_client(
            self.loop, table, self.rng.randrange(2**32)
        )
        for _ in range(6):
            await asyncio.sleep(self.rng.uniform(0, 4))
            owner = claims.Claims(client, self.objects)
            try:
                await self.attempt(owner)
                await owner.settle(0.0)
            except (errors.BilberrydealError, EntryDied):
                continue

    async def attempt(self, owner: claims.Claims) -> None:
        outcome = await owner.begin(
            "russo", "key", DIGEST, self.next_dispatch(), 0.0
        )
        if isinstance(outcome, claims.InProgress):
            outcome = await owner.resolve(outcome, self.ask, 0.0)
            if isinstance(outcome, claims.Claimed):
                moved = await owner.move(outcome.claim, self.next_dispatch())
                outcome = claims.Claimed(moved)
        if isinstance(outcome, claims.Answer):
            self.answers.append(outcome)
        if isinstance(outcome, claims.Claimed):
            await self.run(owner, outcome.claim)

    async def ask(self, dispatch: claims.Dispatch) -> claims.Resolution | None:
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        if self.rng.random() < 0.2:
            return None
        return self.agent.query(dispatch)

    async def run(self, owner: claims.Claims, claim: claims.Claim) -> None:
        """Dispatch as the claim says, with deaths at any point."""
        await asyncio.sleep(self.rng.choice([0.0, 0.1, 5.0]))
        dispatch = claim.row.dispatch
        if self.rng.random() < 0.2:
            raise EntryDied
        refused = (
            dispatch.agent != self.agent.incarnation
            or dispatch.number in self.agent.tombstones
        )
        if refused:
            await owner.abandon(claim)
            return
        self.agent.running.add(dispatch.number)
        self.executions += 1
        await asyncio.sleep(self.rng.uniform(0, 2))
        if dispatch.number not in self.agent.running:
            raise EntryDied
        self.agent.running.remove(dispatch.number)
        self.agent.ran.add(dispatch.number)
        if self.rng.random() < 0.4:
            raise EntryDied
        await owner.finish(claim, ANSWER, 0.0)
        self.answers.append(ANSWER)

    async def restarts(self) -> None:
        for _ in range(self.rng.randrange(3)):
            await asyncio.sleep(self.rng.uniform(0, 10))
            self.agent.restart()


class EntryDied(Exception):
    """The entry ends in the midst of a request."""


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_a_request_runs_at_most_once(seed: int) -> None:
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(seed))

    async def run() -> None:
        callers = [world.caller() for _ in range(3)]
        await asyncio.gather(world.restarts(), *callers)

    loop.run(run())
    assert world.executions <= 1
    assert all(answer == ANSWER for answer in world.answers)


def _owner(
    loop: virtual.VirtualLoop, *script: faults.Fault
) -> tuple[claims.Claims, faults.FaultyTable]:
    table = faults.FaultyTable(
        platform.MemoryTable(), random.Random(1), script=list(script)
    )
    client = faults.make_client(loop, table)
    return claims.Claims(client, faults.MemoryObjects()), table


def _begin(
    loop: virtual.VirtualLoop,
    owner: claims.Claims,
    sequence: int,
    wall_s: float = 0.0,
    digest: str = DIGEST,
) -> _claims.Outcome:
    dispatch = _dispatch(sequence)
    return loop.run(owner.begin("russo", "k", digest, dispatch, wall_s))


@pytest.mark.parametrize("size", [10, _claims.INLINE_BYTES + 1])
def test_a_repeat_gets_the_stored_answer(size: int) -> None:
    loop = virtual.VirtualLoop()
    owner, _ = _owner(loop)
    first = _begin(loop, owner, 1)
    assert isinstance(first, claims.Claimed)
    assert isinstance(_begin(loop, owner, 2), claims.InProgress)
    answer = claims.Answer(200, "text/plain", bytes(size))
    assert loop.run(owner.finish(first.claim, answer, 0.0))
    assert _begin(loop, owner, 3) == answer
    with pytest.raises(errors.Refusal) as caught:
        _begin(loop, owner, 4, digest="other")
    assert caught.value.status == 422


def test_an_answer_outlasts_an_outage() -> None:
    loop = virtual.VirtualLoop()
    owner, table = _owner(loop)
    first = _begin(loop, owner, 1)
    assert isinstance(first, claims.Claimed)
    table.down = True
    assert not loop.run(owner.finish(first.claim, ANSWER, 0.0))
    assert loop.run(owner.settle(0.0)) == 1
    table.down = False
    assert loop.run(owner.settle(0.0)) == 0
    assert _begin(loop, owner, 2) == ANSWER


def test_an_answer_replaces_a_doubt() -> None:
    loop = virtual.VirtualLoop()
    owner, _ = _owner(loop)
    first = _begin(loop, owner, 1)
    assert isinstance(first, claims.Claimed)
    loop.run(owner.doubt(first.claim, 0.0))
    assert isinstance(_begin(loop, owner, 2), claims.Unknown)
    loop.run(owner.finish(first.claim, ANSWER, 0.0))
    assert _begin(loop, owner, 3) == ANSWER


def test_an_own_lost_claim_is_known_again() -> None:
    loop = virtual.VirtualLoop()
    lost = [faults.Fault.LOST_AFTER, faults.Fault.DOWN]
    owner, table = _owner(loop, *lost)
    assert isinstance(_begin(loop, owner, 1), claims.Claimed)


def test_an_open_claim_never_expires_into_a_second_run() -> None:
    loop = virtual.VirtualLoop()
    owner, _ = _owner(loop)
    _begin(loop, owner, 1)
    late_s = _claims.KEPT_S + 1
    assert isinstance(_begin(loop, owner, 2, late_s), claims.InProgress)
    assert loop.run(owner.sweep(late_s)) == 0
    assert isinstance(_begin(loop, owner, 3, late_s), claims.Unknown)
    assert loop.run(owner.sweep(2 * late_s)) == 1
    assert isinstance(_begin(loop, owner, 4, 2 * late_s), claims.Claimed)


def test_a_former_dispatch_does_not_end_a_moved_claim() -> None:
    loop = virtual.VirtualLoop()
    owner, _ = _owner(loop)
    first = _begin(loop, owner, 1)
    assert isinstance(first, claims.Claimed)
    moved = loop.run(owner.move(first.claim, _dispatch(2)))
    loop.run(owner.doubt(first.claim, 0.0))
    found = _begin(loop, owner, 3)
    assert found == claims.InProgress(moved)

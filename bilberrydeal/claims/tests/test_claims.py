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
    """Runs each request once and loses its state when it restarts."""

    restarts: int = 0
    running: set[link.RequestNumber] = attrs.Factory(set)
    ran: set[link.RequestNumber] = attrs.Factory(set)
    tombstones: set[link.RequestNumber] = attrs.Factory(set)

    @property
    def incarnation(self) -> str:
        return f"a.{self.restarts}"

    def restart(self) -> None:
        self.restarts += 1
        for state in (self.running, self.ran, self.tombstones):
            state.clear()

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
    """Callers that repeat one request through several entries."""

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
            max_effect_delay_s=8.0,
            pause_s=10.0,
        )
        client = faults.make_client(
            self.loop, table, self.rng.randrange(2**32)
        )
        for _ in range(6):
            await asyncio.sleep(self.rng.uniform(0, 4))
            manager = claims.ClaimManager(client, self.objects)
            try:
                await self.attempt(manager)
                await manager.flush_pending(0.0)
            except (errors.BilberrydealError, EntryCrashed):
                continue

    async def attempt(self, manager: claims.ClaimManager) -> None:
        outcome = await manager.begin(
            "russo", "key", DIGEST, self.next_dispatch(), 0.0
        )
        if isinstance(outcome, claims.InProgress):
            outcome = await manager.resolve(outcome, self.ask, 0.0)
            if isinstance(outcome, claims.Claimed):
                moved = await manager.reassign(
                    outcome.claim, self.next_dispatch()
                )
                outcome = claims.Claimed(moved)
        if isinstance(outcome, claims.Answer):
            self.answers.append(outcome)
        if isinstance(outcome, claims.Claimed):
            await self.run(manager, outcome.claim)

    async def ask(self, dispatch: claims.Dispatch) -> claims.Resolution | None:
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        if self.rng.random() < 0.2:
            return None
        return self.agent.query(dispatch)

    async def run(
        self, manager: claims.ClaimManager, claim: claims.Claim
    ) -> None:
        """Dispatch as stated in the claim, with crashes at any point."""
        await asyncio.sleep(self.rng.choice([0.0, 0.1, 5.0]))
        dispatch = claim.row.dispatch
        if self.rng.random() < 0.2:
            raise EntryCrashed
        refused = (
            dispatch.agent != self.agent.incarnation
            or dispatch.number in self.agent.tombstones
        )
        if refused:
            await manager.abandon(claim)
            return
        self.agent.running.add(dispatch.number)
        self.executions += 1
        await asyncio.sleep(self.rng.uniform(0, 2))
        if dispatch.number not in self.agent.running:
            raise EntryCrashed
        self.agent.running.remove(dispatch.number)
        self.agent.ran.add(dispatch.number)
        if self.rng.random() < 0.4:
            raise EntryCrashed
        await manager.finish(claim, ANSWER, 0.0)
        self.answers.append(ANSWER)

    async def restarts(self) -> None:
        for _ in range(self.rng.randrange(3)):
            await asyncio.sleep(self.rng.uniform(0, 10))
            self.agent.restart()


class EntryCrashed(Exception):
    """The entry crashes during a request."""


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_request_runs_at_most_once(seed: int) -> None:
    """Repeated requests race, with store faults, crashes and restarts."""
    loop = virtual.VirtualLoop()
    world = World(loop, random.Random(seed))

    async def run() -> None:
        callers = [world.caller() for _ in range(3)]
        await asyncio.gather(world.restarts(), *callers)

    loop.run(run())
    assert world.executions <= 1
    assert all(answer == ANSWER for answer in world.answers)


def _manager(
    loop: virtual.VirtualLoop, *script: faults.Fault
) -> tuple[claims.ClaimManager, faults.FaultyTable]:
    table = faults.FaultyTable(
        platform.MemoryTable(), random.Random(1), script=list(script)
    )
    client = faults.make_client(loop, table)
    return claims.ClaimManager(client, faults.MemoryObjects()), table


def _begin(
    loop: virtual.VirtualLoop,
    manager: claims.ClaimManager,
    sequence: int,
    wall_s: float = 0.0,
    digest: str = DIGEST,
) -> _claims.Outcome:
    dispatch = _dispatch(sequence)
    return loop.run(manager.begin("russo", "k", digest, dispatch, wall_s))


@pytest.mark.parametrize("size", [10, _claims.MAX_INLINE_BYTES + 1])
def test_repeated_request_gets_the_stored_answer(size: int) -> None:
    """A large body is stored apart from the row and must be read back.

    A key that is reused with a different request must be refused.
    """
    loop = virtual.VirtualLoop()
    manager, _ = _manager(loop)
    first = _begin(loop, manager, 1)
    assert isinstance(first, claims.Claimed)
    assert isinstance(_begin(loop, manager, 2), claims.InProgress)
    answer = claims.Answer(200, "text/plain", bytes(size))
    assert loop.run(manager.finish(first.claim, answer, 0.0))
    assert _begin(loop, manager, 3) == answer
    with pytest.raises(errors.Refusal) as caught:
        _begin(loop, manager, 4, digest="other")
    assert caught.value.status == 422


def test_answer_is_stored_after_an_outage() -> None:
    """An answer that cannot be stored must not be lost."""
    loop = virtual.VirtualLoop()
    manager, table = _manager(loop)
    first = _begin(loop, manager, 1)
    assert isinstance(first, claims.Claimed)
    table.down = True
    assert not loop.run(manager.finish(first.claim, ANSWER, 0.0))
    assert loop.run(manager.flush_pending(0.0)) == 1
    table.down = False
    assert loop.run(manager.flush_pending(0.0)) == 0
    assert _begin(loop, manager, 2) == ANSWER


def test_answer_replaces_unknown_state() -> None:
    """Another process may mark the claim unknown before the answer comes."""
    loop = virtual.VirtualLoop()
    manager, _ = _manager(loop)
    first = _begin(loop, manager, 1)
    assert isinstance(first, claims.Claimed)
    loop.run(manager.mark_unknown(first.claim, 0.0))
    assert isinstance(_begin(loop, manager, 2), claims.Unknown)
    loop.run(manager.finish(first.claim, ANSWER, 0.0))
    assert _begin(loop, manager, 3) == ANSWER


def test_claim_with_lost_response_is_recognised_as_own() -> None:
    """A lost commit response must not make the request look repeated."""
    loop = virtual.VirtualLoop()
    lost = [faults.Fault.LOST_AFTER, faults.Fault.DOWN]
    manager, table = _manager(loop, *lost)
    assert isinstance(_begin(loop, manager, 1), claims.Claimed)


def test_expired_open_claim_allows_no_second_run() -> None:
    """Its request may still have run, so it is marked unknown first."""
    loop = virtual.VirtualLoop()
    manager, _ = _manager(loop)
    _begin(loop, manager, 1)
    expired_s = _claims.RETENTION_S + 1
    assert isinstance(_begin(loop, manager, 2, expired_s), claims.InProgress)
    assert loop.run(manager.sweep(expired_s)) == 0
    assert isinstance(_begin(loop, manager, 3, expired_s), claims.Unknown)
    assert loop.run(manager.sweep(2 * expired_s)) == 1
    assert isinstance(_begin(loop, manager, 4, 2 * expired_s), claims.Claimed)


def test_former_dispatch_does_not_complete_a_moved_claim() -> None:
    """A late result of the old dispatch must not override the new one."""
    loop = virtual.VirtualLoop()
    manager, _ = _manager(loop)
    first = _begin(loop, manager, 1)
    assert isinstance(first, claims.Claimed)
    moved = loop.run(manager.reassign(first.claim, _dispatch(2)))
    loop.run(manager.mark_unknown(first.claim, 0.0))
    found = _begin(loop, manager, 3)
    assert found == claims.InProgress(moved)

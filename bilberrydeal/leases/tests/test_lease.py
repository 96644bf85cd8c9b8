import asyncio
import collections
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bilberrydeal import errors
from bilberrydeal import leases
from bilberrydeal import ports
from bilberrydeal.store.tests import faults
from bilberrydeal.store.tests import virtual
from standins import platform

BOUNDS = leases.LeaseBounds(ttl_s=6.0, margin_s=0.5, max_call_s=2.0)
#: Clock rates within the drift that the margin allows; larger drift is not
#: covered by the design.
RATES = (0.98, 1.0, 1.02)


@attrs.define
class Call:
    """A call under a lease to a receiver that checks no fencing token."""

    fence: int
    holder: str
    ended_s: float


@attrs.define
class World:
    """Processes that compete for one duty over a faulty store."""

    loop: virtual.VirtualLoop
    memory: platform.MemoryTable
    rng: random.Random
    writes: list[tuple[int, str]] = attrs.Factory(list)
    calls: list[Call] = attrs.Factory(list)
    holder_by_fence: dict[int, str] = attrs.Factory(dict)
    overlaps: int = 0

    async def process(self, name: str, until_s: float) -> None:
        """Run several incarnations in a row, each ended by a restart."""
        for incarnation in range(3):
            rate = self.rng.choice(RATES)
            table = faults.FaultyTable(
                self.memory,
                self.rng,
                fault_share=0.25,
                latency_s=0.3,
                max_effect_delay_s=20.0,
                pause_s=25.0,
            )
            # The client's timeout cuts a simulated pause short, so a long one
            # is needed for pauses that outlast the lease.
            client = faults.make_client(
                self.loop,
                table,
                seed=self.rng.randrange(99),
                rate=rate,
                call_timeout_s=self.rng.choice([1.0, 30.0]),
            )
            lease = leases.Lease(
                client, "duty", f"{name}.{incarnation}", BOUNDS
            )
            for _ in range(self.rng.randrange(40)):
                if self.loop.now_s > until_s:
                    return
                await lease.tick()
                await self._work(lease, client.now_s())
                await asyncio.sleep(self.rng.choice([0.1, 1.5, 1.5, 12.0]))
            if self.rng.random() < 0.5:
                # Calls must have ended before the lease is released.
                await asyncio.sleep(BOUNDS.max_call_s)
                await lease.release()

    async def _work(self, lease: leases.Lease, now_s: float) -> None:
        if not lease.is_held(now_s):
            return
        fence = lease.fence(now_s)
        assert (
            self.holder_by_fence.setdefault(fence, lease.holder)
            == lease.holder
        )
        self._call(fence, lease, now_s)
        # A write may be delayed arbitrarily: only its check protects it.
        checks = lease.checks(now_s)
        write = ports.Write("work", "row", f"{fence}".encode())
        delay_s = self.rng.choice([0.0, 0.0, 1.0, 30.0])
        self.loop.call_later(delay_s, self._write, checks, write, lease)

    def _call(self, fence: int, lease: leases.Lease, now_s: float) -> None:
        """Make a call whose timeout is below the lease's remaining time."""
        ended_s = self.loop.now_s + min(
            lease.remaining_s(now_s) * 0.9, BOUNDS.max_call_s
        )
        for call in self.calls:
            if call.holder != lease.holder and call.ended_s > self.loop.now_s:
                self.overlaps += 1
        self.calls.append(Call(fence, lease.holder, ended_s))

    def _write(
        self,
        checks: tuple[ports.Check, ...],
        write: ports.Write,
        lease: leases.Lease,
    ) -> None:
        work = self.memory.commit(ports.Transaction(checks, (write,)), 1.0)
        try:
            work.send(None)
        except StopIteration:
            self.writes.append((int(write.value or b""), lease.holder))
        except errors.TableConflict:
            pass


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32))
def test_writes_follow_fencing_order(seed: int) -> None:
    """No write or call of a former holder takes effect after a successor's.

    Store faults, late writes, pauses and clock drift are injected at random.
    """
    loop = virtual.VirtualLoop()
    world = World(loop, platform.MemoryTable(), random.Random(seed))

    async def run() -> None:
        work = [world.process(n, loop.now_s + 150.0) for n in "abc"]
        await asyncio.gather(*work)

    loop.run(run())
    fences = [fence for fence, _ in world.writes]
    assert fences == sorted(fences)
    holders = collections.defaultdict(set)
    for fence, holder in world.writes:
        holders[fence].add(holder)
    assert all(len(found) == 1 for found in holders.values())
    assert world.overlaps == 0


def test_released_lease_is_acquired_at_once() -> None:
    """Releasing a lease must not make the successor wait for its expiry."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    client = faults.make_client(loop, memory)
    first = leases.Lease(client, "duty", "a.1", BOUNDS)
    second = leases.Lease(client, "duty", "b.1", BOUNDS)
    assert loop.run(first.tick())
    assert not loop.run(second.tick())
    loop.run(first.release())
    assert not first.is_held(client.now_s())
    assert loop.run(second.tick())
    assert second.fence(client.now_s()) == 2
    with pytest.raises(leases.LeaseLost):
        first.checks(client.now_s())


@pytest.mark.parametrize(("silent_s", "taken"), [(8.4, False), (8.6, True)])
def test_successor_waits_for_the_longest_call(
    silent_s: float, taken: bool
) -> None:
    """An early successor would overlap calls of the former holder.

    It waits 8.5 s: 6.0 s TTL, 2.0 s longest call and 0.5 s margin.
    """
    loop = virtual.VirtualLoop()
    client = faults.make_client(loop, platform.MemoryTable())
    loop.run(leases.Lease(client, "duty", "a.1", BOUNDS).tick())
    second = leases.Lease(client, "duty", "b.1", BOUNDS)
    loop.run(second.tick())
    loop.advance(silent_s)
    assert loop.run(second.tick()) is taken


def test_lost_commit_response_keeps_the_lease() -> None:
    """A commit whose response was lost is resolved, not given up."""
    loop = virtual.VirtualLoop()
    script = [faults.Fault.NONE, faults.Fault.LOST_AFTER]
    table = faults.FaultyTable(
        platform.MemoryTable(), random.Random(1), script=script
    )
    client = faults.make_client(loop, table)
    lease = leases.Lease(client, "duty", "a.1", BOUNDS)
    began_s = loop.now_s
    assert loop.run(lease.tick())
    assert lease.remaining_s(began_s) == pytest.approx(5.5)


def test_holder_stops_before_its_lease_expires() -> None:
    """Without renewals the lease is valid for its TTL less the margin."""
    loop = virtual.VirtualLoop()
    table = faults.FaultyTable(platform.MemoryTable(), random.Random(1))
    client = faults.make_client(loop, table)
    lease = leases.Lease(client, "duty", "a.1", BOUNDS)
    loop.run(lease.tick())
    table.down = True
    loop.advance(5.4)
    assert lease.is_held(client.now_s())
    loop.advance(0.2)
    assert not lease.is_held(client.now_s())

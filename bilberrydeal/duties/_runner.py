"""Takes duties, keeps their leases and does their rounds."""

import asyncio
import collections
import collections.abc
import random
import time

import attrs

from .. import errors
from .. import leases
from .. import store
from .. import telemetry
from . import _balance
from . import _duty

LOG = telemetry.logger("duties")
#: An entry leaves a free duty to others for so many periods of renewal for
#: each duty that it has, so that one with fewer sees it first.
STEP_PERIODS = 1.5
#: More duties than that make it wait no longer.
STEPS_LIMIT = 3
#: An imbalance lasts so many periods of renewal before a duty moves.
BALANCE_PERIODS = 20
#: A duty that was handed over is left to others for so many periods.
LEFT_ALONE_PERIODS = 8
#: Longest wait for the end of a round before a duty is given up, in seconds.
ROUND_END_S = 5.0
#: Share of a period by which rounds are spread at random.
JITTER_SHARE = 0.2


@attrs.define(eq=False)
class _Held:
    """One duty with its lease."""

    #: The duty.
    duty: _duty.Duty
    #: Its lease.
    lease: leases.Lease
    #: Random part of the wait before a free duty is taken, in seconds.
    jitter_s: float
    #: Whether it is being taken.
    taking: bool = False
    #: Whether a call of the last round may still take effect.
    doubtful: bool = False
    #: Not taken again before then, monotonic seconds.
    left_alone_until_s: float = 0.0
    #: Held by whoever works on the duty or gives it up.
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)


class DutyRunner:
    """Runs the duties of one entry.

    Duties spread over entries: one that has fewer takes a free duty first,
    and one that has had more than its even share for long hands one over.

    Example::

        runner = DutyRunner(client, entry, bounds, duties, 1.5, 1.0, rng)
        task = asyncio.create_task(runner.run())
        ...
        await runner.stop()
    """

    def __init__(
        self,
        client: store.StoreClient,
        holder: str,
        bounds: leases.LeaseBounds,
        duties: collections.abc.Iterable[_duty.Duty],
        renew_s: float,
        round_s: float,
        rng: random.Random,
        wall: collections.abc.Callable[[], float] = time.time,
        entries: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        """``entries`` tells how many entries live, this one among them."""
        self._client = client
        self._renew_s = renew_s
        self._round_s = round_s
        self._rng = rng
        self._wall = wall
        self._entries = entries
        self._balance = _balance.Balance(BALANCE_PERIODS * renew_s)
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._all = [
            _Held(
                duty=duty,
                lease=leases.Lease(client, duty.name, holder, bounds),
                jitter_s=rng.uniform(0, renew_s),
            )
            for duty in duties
        ]

    def held(self) -> tuple[str, ...]:
        """Return the names of the duties that this entry has now."""
        now_s = self._client.now_s()
        return tuple(h.duty.name for h in self._all if h.lease.held(now_s))

    async def run(self) -> None:
        """Work until cancelled or :meth:`stop`."""
        loops = [self._keep(held) for held in self._all]
        loops += [self._work(held) for held in self._all]
        loops.append(self._even_out())
        self._tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            await asyncio.gather(*self._tasks)
        finally:
            for task in self._tasks:
                task.cancel()

    async def stop(self) -> None:
        """End the rounds under way and give all duties up.

        A duty whose round does not end in time keeps its lease, which runs
        out by itself.
        """
        self._stopping = True
        await asyncio.gather(*(self._give_up(held) for held in self._all))
        for task in self._tasks:
            task.cancel()

    async def _give_up(self, held: _Held) -> None:
        try:
            async with asyncio.timeout(ROUND_END_S):
                await held.lock.acquire()
        except TimeoutError:
            return
        await held.lease.release()

    async def _even_out(self) -> None:
        """Hand duties over, one at a time, while others have fewer."""
        while not self._stopping:
            await self._pause(self._renew_s)
            now_s = self._client.now_s()
            mine = [h for h in self._all if h.lease.held(now_s)]
            others = collections.Counter(
                h.lease.holder_seen
                for h in self._all
                if h not in mine and h.lease.holder_seen
            )
            entries = self._entries()
            if self._balance.due(len(mine), others.values(), entries, now_s):
                await self._hand_over(mine)

    async def _hand_over(self, mine: list[_Held]) -> None:
        """Give one duty up between two of its rounds."""
        for held in reversed(mine):
            try:
                async with asyncio.timeout(ROUND_END_S):
                    await held.lock.acquire()
            except TimeoutError:
                continue
            try:
                if held.doubtful or self._stopping:
                    continue
                LOG.info("Duty is handed over.", duty=held.duty.name)
                wait_s = LEFT_ALONE_PERIODS * self._renew_s
                held.left_alone_until_s = self._client.now_s() + wait_s
                await held.lease.release()
                return
            finally:
                held.lock.release()

    def wants(self, held: _Held, now_s: float) -> bool:
        """Return whether a duty that is free should be taken now."""
        if self._stopping or held.lease.available_since_s is None:
            return False
        if now_s < held.left_alone_until_s:
            return False
        others = [h for h in self._all if h.taking or h.lease.held(now_s)]
        steps = min(len(others), STEPS_LIMIT)
        wait_s = steps * STEP_PERIODS * self._renew_s + held.jitter_s
        return now_s - held.lease.available_since_s >= wait_s

    async def _keep(self, held: _Held) -> None:
        """Renew or watch one lease."""
        while not self._stopping:
            had = held.lease.held(self._client.now_s())
            held.taking = self.wants(held, self._client.now_s())
            has = await held.lease.tick(held.taking)
            held.taking = False
            if has != had:
                LOG.info("Duty changed.", duty=held.duty.name, held=has)
            await self._pause(self._renew_s)

    async def _work(self, held: _Held) -> None:
        """Do the rounds of one duty while its lease is held."""
        while not self._stopping:
            async with held.lock:
                await self._round(held)
            await self._pause(self._round_s)

    async def _round(self, held: _Held) -> None:
        now_s = self._client.now_s()
        if self._stopping or not held.lease.held(now_s):
            return
        work = _duty.Round(held.lease, now_s, self._wall())
        held.doubtful = True
        try:
            await held.duty.round(work)
            held.doubtful = False
        except errors.BilberrydealError as error:
            LOG.info(
                "Round ended early.", duty=held.duty.name, error=str(error)
            )

    async def _pause(self, period_s: float) -> None:
        share = self._rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        await asyncio.sleep(period_s * share)

"""Acquires and renews the leases of duties and runs their rounds."""

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
#: An entry delays acquiring an available lease by this many renewal periods
#: per duty that it holds, so that entries with fewer duties come first.
DELAY_PERIODS_PER_DUTY = 1.5
#: Number of held duties beyond which the delay no longer grows.
MAX_DELAY_DUTIES = 3
#: Renewal periods that an imbalance lasts before a duty is handed over.
BALANCE_PERIODS = 20
#: Renewal periods during which an entry does not reacquire a duty that it
#: handed over.
HANDOVER_COOLDOWN_PERIODS = 8
#: Longest wait for a round to end before its lease is released, in seconds.
ROUND_END_TIMEOUT_S = 5.0
#: Random jitter of each sleep, as a share of its period.
JITTER_SHARE = 0.2


@attrs.define(eq=False)
class _DutySlot:
    """A duty, its lease and its scheduling state."""

    #: The duty.
    duty: _duty.Duty
    #: Its lease.
    lease: leases.Lease
    #: Random part of the acquisition delay, in seconds.
    jitter_s: float
    #: Whether an acquisition is in progress.
    acquiring: bool = False
    #: Whether a call of the last round may still take effect.
    outcome_uncertain: bool = False
    #: Monotonic time before which it is not reacquired, in seconds.
    cooldown_until_s: float = 0.0
    #: Serializes rounds and the release of the lease.
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)


class DutyRunner:
    """Runs the duties of one entry.

    Duties are balanced over the entries: an entry with fewer duties acquires
    an available lease first, and an entry that has held at least two more
    duties than another for some time hands one over.

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
        wall_clock: collections.abc.Callable[[], float] = time.time,
        count_entries: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        """``count_entries`` returns the number of live entries with this."""
        self._client = client
        self._renew_s = renew_s
        self._round_s = round_s
        self._rng = rng
        self._wall_clock = wall_clock
        self._count_entries = count_entries
        self._handover_timer = _balance.HandoverTimer(
            BALANCE_PERIODS * renew_s
        )
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._slots = [
            _DutySlot(
                duty=duty,
                lease=leases.Lease(client, duty.name, holder, bounds),
                jitter_s=rng.uniform(0, renew_s),
            )
            for duty in duties
        ]

    def held(self) -> tuple[str, ...]:
        """Return the names of the duties that this entry holds now."""
        now_s = self._client.now_s()
        return tuple(
            s.duty.name for s in self._slots if s.lease.is_held(now_s)
        )

    async def run(self) -> None:
        """Run until cancelled or stopped by :meth:`stop`."""
        loops = [self._maintain_lease(slot) for slot in self._slots]
        loops += [self._run_rounds(slot) for slot in self._slots]
        loops.append(self._rebalance())
        self._tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            await asyncio.gather(*self._tasks)
        finally:
            for task in self._tasks:
                task.cancel()

    async def stop(self) -> None:
        """Wait for running rounds and release all leases.

        The lease of a duty whose round does not end in time is not released
        but expires.
        """
        self._stopping = True
        await asyncio.gather(*(self._release(slot) for slot in self._slots))
        for task in self._tasks:
            task.cancel()

    async def _release(self, slot: _DutySlot) -> None:
        try:
            async with asyncio.timeout(ROUND_END_TIMEOUT_S):
                await slot.lock.acquire()
        except TimeoutError:
            return
        await slot.lease.release()

    async def _rebalance(self) -> None:
        """Hand duties over, one at a time, while the load is unbalanced."""
        while not self._stopping:
            await self._sleep(self._renew_s)
            now_s = self._client.now_s()
            held_slots = [s for s in self._slots if s.lease.is_held(now_s)]
            others = collections.Counter(
                s.lease.last_seen_holder
                for s in self._slots
                if s not in held_slots and s.lease.last_seen_holder
            )
            entries = self._count_entries()
            if self._handover_timer.should_hand_over(
                len(held_slots), others.values(), entries, now_s
            ):
                await self._hand_over(held_slots)

    async def _hand_over(self, held_slots: list[_DutySlot]) -> None:
        """Release the lease of one duty between two of its rounds."""
        for slot in reversed(held_slots):
            try:
                async with asyncio.timeout(ROUND_END_TIMEOUT_S):
                    await slot.lock.acquire()
            except TimeoutError:
                continue
            try:
                if slot.outcome_uncertain or self._stopping:
                    continue
                LOG.info("Handing duty over.", duty=slot.duty.name)
                wait_s = HANDOVER_COOLDOWN_PERIODS * self._renew_s
                slot.cooldown_until_s = self._client.now_s() + wait_s
                await slot.lease.release()
                return
            finally:
                slot.lock.release()

    def should_acquire(self, slot: _DutySlot, now_s: float) -> bool:
        """Return whether an available lease should be acquired now."""
        if self._stopping or slot.lease.available_since_s is None:
            return False
        if now_s < slot.cooldown_until_s:
            return False
        others = [
            s for s in self._slots if s.acquiring or s.lease.is_held(now_s)
        ]
        delay_duties = min(len(others), MAX_DELAY_DUTIES)
        wait_s = (
            delay_duties * DELAY_PERIODS_PER_DUTY * self._renew_s
            + slot.jitter_s
        )
        return now_s - slot.lease.available_since_s >= wait_s

    async def _maintain_lease(self, slot: _DutySlot) -> None:
        """Renew, observe or acquire one lease periodically."""
        while not self._stopping:
            was_held = slot.lease.is_held(self._client.now_s())
            slot.acquiring = self.should_acquire(slot, self._client.now_s())
            is_held = await slot.lease.tick(slot.acquiring)
            slot.acquiring = False
            if is_held != was_held:
                LOG.info(
                    "Duty lease changed.", duty=slot.duty.name, held=is_held
                )
            await self._sleep(self._renew_s)

    async def _run_rounds(self, slot: _DutySlot) -> None:
        """Run the rounds of one duty while its lease is held."""
        while not self._stopping:
            async with slot.lock:
                await self._run_round(slot)
            await self._sleep(self._round_s)

    async def _run_round(self, slot: _DutySlot) -> None:
        now_s = self._client.now_s()
        if self._stopping or not slot.lease.is_held(now_s):
            return
        context = _duty.RoundContext(slot.lease, now_s, self._wall_clock())
        slot.outcome_uncertain = True
        try:
            await slot.duty.run_round(context)
            slot.outcome_uncertain = False
        except errors.BilberrydealError as error:
            LOG.info(
                "Round ended early.",
                duty=slot.duty.name,
                error=str(error),
            )

    async def _sleep(self, period_s: float) -> None:
        share = self._rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        await asyncio.sleep(period_s * share)

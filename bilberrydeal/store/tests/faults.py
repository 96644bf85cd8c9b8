"""Test doubles of the table and the object store that inject faults."""

import asyncio
import enum
import random

import attrs

from bilberrydeal import errors
from bilberrydeal import ports
from bilberrydeal import store
from standins import platform

from . import virtual


class Fault(enum.Enum):
    """Fault injected into one call."""

    NONE = "none"
    #: The call is rejected without effect.
    DOWN = "down"
    #: The call is lost before it takes effect.
    LOST_BEFORE = "lost before the effect"
    #: The response is lost after the call took effect.
    LOST_AFTER = "lost after the effect"
    #: The response is lost and the call takes effect later.
    LATE = "late effect"
    #: The caller is paused after the call took effect.
    PAUSED = "paused"


@attrs.define
class FaultyTable:
    """Forwards calls to a table, injecting faults and delays."""

    table: platform.MemoryTable
    rng: random.Random
    #: Share of calls that fail at random.
    fault_share: float = 0.0
    #: Faults chosen from at random.
    faults: tuple[Fault, ...] = tuple(Fault)[1:]
    #: Maximum delay of a response, in seconds.
    latency_s: float = 0.0
    #: Maximum delay of a late effect, in seconds.
    max_effect_delay_s: float = 0.0
    #: Maximum pause of a caller, in seconds.
    pause_s: float = 0.0
    #: Faults of the next calls, used before random ones.
    script: list[Fault] = attrs.Factory(list)
    #: Whether every call is rejected.
    down: bool = False
    #: Whether commits are rejected.
    read_only: bool = False
    #: Calls made so far.
    calls: int = 0

    def _next_fault(self) -> Fault:
        self.calls += 1
        if self.down:
            return Fault.DOWN
        if self.script:
            return self.script.pop(0)
        if self.rng.random() < self.fault_share:
            return self.rng.choice(self.faults)
        return Fault.NONE

    async def _delay(self) -> None:
        if self.latency_s:
            await asyncio.sleep(self.rng.uniform(0, self.latency_s))

    async def _fail_read(self, operation: str) -> Fault:
        fault = self._next_fault()
        await self._delay()
        if fault not in (Fault.NONE, Fault.PAUSED):
            raise errors.StoreUnavailable(operation=operation)
        return fault

    async def _finish(self, fault: Fault) -> None:
        await self._delay()
        if fault is Fault.PAUSED:
            await asyncio.sleep(self.rng.uniform(0, self.pause_s))

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        fault = await self._fail_read("read")
        rows = await self.table.read(keys, timeout_s)
        await self._finish(fault)
        return rows

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout_s: float
    ) -> tuple[ports.Row, ...]:
        fault = await self._fail_read("scan")
        rows = await self.table.scan(table, prefix, after, limit, timeout_s)
        await self._finish(fault)
        return rows

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        fault = Fault.DOWN if self.read_only else self._next_fault()
        await self._delay()
        if fault is Fault.DOWN:
            raise errors.StoreUnavailable(operation="commit")
        if fault is Fault.LATE:
            late_s = self.rng.uniform(0, self.max_effect_delay_s)
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._apply_late, transaction)
        if fault in (Fault.LOST_BEFORE, Fault.LATE):
            raise errors.OutcomeUnknown(operation="commit")
        committed = await self.table.commit(transaction, timeout_s)
        if fault is Fault.LOST_AFTER:
            raise errors.OutcomeUnknown(operation="commit")
        await self._finish(fault)
        return committed

    def _apply_late(self, transaction: ports.Transaction) -> None:
        late = self.table.commit(transaction, 1.0)
        try:
            late.send(None)
        except (StopIteration, errors.TableConflict):
            pass


def make_client(
    loop: virtual.VirtualLoop,
    table: ports.TableService,
    seed: int = 1,
    rate: float = 1.0,
    call_timeout_s: float = 1.0,
) -> store.StoreClient:
    """Return a client on the loop's clock, scaled by ``rate``."""
    return store.StoreClient(
        table,
        call_timeout_s=call_timeout_s,
        call_rate_per_s=1_000.0,
        rng=random.Random(seed),
        clock=lambda: loop.now_s * rate,
    )


class MemoryObjects:
    """An in-memory object store."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def put(self, name: str, data: bytes, timeout_s: float) -> None:
        if self.down:
            raise errors.StoreUnavailable(operation="put")
        self.objects[name] = data

    async def get(self, name: str, timeout_s: float) -> bytes | None:
        if self.down:
            raise errors.StoreUnavailable(operation="get")
        return self.objects.get(name)

    async def delete(self, name: str, timeout_s: float) -> None:
        self.objects.pop(name, None)

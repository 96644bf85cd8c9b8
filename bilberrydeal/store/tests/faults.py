"""A table whose answers are lost, late or refused."""

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
    """What becomes of one call."""

    NONE = "none"
    #: Refused without effect.
    DOWN = "down"
    #: The answer is lost, and so was the call.
    LOST_BEFORE = "lost before the effect"
    #: The answer is lost after the effect.
    LOST_AFTER = "lost after the effect"
    #: The answer is lost and the effect comes later.
    LATE = "late effect"
    #: The caller is paused after the effect.
    PAUSED = "paused"


@attrs.define
class FaultyTable:
    """Passes calls to a table, with faults and delays."""

    table: platform.MemoryTable
    rng: random.Random
    #: Share of calls that meet some fault.
    fault_share: float = 0.0
    #: Faults to choose from.
    faults: tuple[Fault, ...] = tuple(Fault)[1:]
    #: Longest delay of an answer, a pause's and a late effect's.
    latency_s: float = 0.0
    late_s: float = 0.0
    pause_s: float = 0.0
    #: Faults of the next calls, before any by chance.
    script: list[Fault] = attrs.Factory(list)
    #: Set while the store is down, or refuses writes.
    down: bool = False
    read_only: bool = False
    calls: int = 0

    def _fault(self) -> Fault:
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

    async def _before_read(self, operation: str) -> Fault:
        fault = self._fault()
        await self._delay()
        if fault not in (Fault.NONE, Fault.PAUSED):
            raise errors.StoreUnavailable(operation=operation)
        return fault

    async def _after(self, fault: Fault) -> None:
        await self._delay()
        if fault is Fault.PAUSED:
            await asyncio.sleep(self.rng.uniform(0, self.pause_s))

    async def read(
        self, keys: tuple[ports.RowKey, ...], timeout_s: float
    ) -> tuple[ports.Row | None, ...]:
        fault = await self._before_read("read")
        rows = await self.table.read(keys, timeout_s)
        await self._after(fault)
        return rows

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout_s: float
    ) -> tuple[ports.Row, ...]:
        fault = await self._before_read("scan")
        rows = await self.table.scan(table, prefix, after, limit, timeout_s)
        await self._after(fault)
        return rows

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        fault = Fault.DOWN if self.read_only else self._fault()
        await self._delay()
        if fault is Fault.DOWN:
            raise errors.StoreUnavailable(operation="commit")
        if fault is Fault.LATE:
            late_s = self.rng.uniform(0, self.late_s)
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._apply_late, transaction)
        if fault in (Fault.LOST_BEFORE, Fault.LATE):
            raise errors.OutcomeUnknown(operation="commit")
        committed = await self.table.commit(transaction, timeout_s)
        if fault is Fault.LOST_AFTER:
            raise errors.OutcomeUnknown(operation="commit")
        await self._after(fault)
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
    """Return a client on a loop's clock, which may run fast or slow."""
    return store.StoreClient(
        table,
        call_timeout_s=call_timeout_s,
        call_rate_per_s=1_000.0,
        rng=random.Random(seed),
        clock=lambda: loop.now_s * rate,
    )


class MemoryObjects:
    """An object store in memory."""

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

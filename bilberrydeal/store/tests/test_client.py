"""Retries, rate limiting and lost responses of the table client."""

import asyncio
import random

import attrs
import pytest

from bilberrydeal import errors
from bilberrydeal import ports
from bilberrydeal import store
from standins import platform

from . import faults
from . import virtual

KEY = ports.RowKey("t", "marker")
Fault = faults.Fault


def _transaction(version: int, nonce: str) -> ports.Transaction:
    return ports.Transaction(
        checks=(ports.Check(KEY.table, KEY.key, version),),
        writes=(ports.Write(KEY.table, KEY.key, nonce.encode()),),
    )


@pytest.mark.parametrize(
    "script",
    [
        [Fault.LOST_AFTER],
        [Fault.LOST_BEFORE],
        [Fault.LOST_BEFORE, Fault.DOWN, Fault.NONE, Fault.LOST_AFTER],
        [Fault.LATE],
        [Fault.DOWN, Fault.DOWN],
    ],
)
def test_lost_response_is_resolved(script: list[Fault]) -> None:
    """A retry after a lost response must not commit twice."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    table = faults.FaultyTable(
        memory, random.Random(1), script=list(script), max_effect_delay_s=0.01
    )
    client = faults.make_client(loop, table)
    committed = loop.run(
        client.commit_resolved(_transaction(0, "mine"), KEY, "mine")
    )
    row = loop.run(client.read_one(KEY))
    assert row is not None
    assert (row.value, row.version) == (b"mine", committed.versions[0])


@pytest.mark.parametrize(
    ("final", "error"),
    [(True, errors.TableConflict), (False, errors.OutcomeUnknown)],
)
def test_foreign_marker_is_conclusive_only_if_final(
    final: bool, error: type[Exception]
) -> None:
    """An overwritten marker does not prove that the commit failed."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    table = faults.FaultyTable(
        memory, random.Random(1), script=[Fault.LOST_BEFORE]
    )
    client = faults.make_client(loop, table)

    async def race() -> None:
        lost = asyncio.ensure_future(
            client.commit_resolved(
                _transaction(0, "mine"), KEY, "mine", marker_is_immutable=final
            )
        )
        await memory.commit(_transaction(0, "theirs"), 1.0)
        await lost

    with pytest.raises(error):
        loop.run(race())


class _LosesCommitResponses(faults.FaultyTable):
    """A table that loses the response of every commit."""

    async def commit(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed:
        raise errors.OutcomeUnknown(operation="commit")


def test_row_changed_after_commit_has_stale_version() -> None:
    """A newer row's version must not be reported as the committed one."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    marker = _transaction(0, "mine")
    other = ports.Write("t", "other", b"mine")
    transaction = ports.Transaction(marker.checks, (*marker.writes, other))
    loop.run(memory.commit(transaction, 1.0))
    later = ports.Transaction((), (ports.Write("t", "other", b"new"),))
    loop.run(memory.commit(later, 1.0))
    client = faults.make_client(
        loop, _LosesCommitResponses(memory, random.Random(1))
    )
    committed = loop.run(client.commit_resolved(transaction, KEY, "mine"))
    assert committed.versions[1] == store.STALE_VERSION


def test_outage_raises_store_unavailable_in_time() -> None:
    loop = virtual.VirtualLoop()
    table = faults.FaultyTable(
        platform.MemoryTable(), random.Random(1), down=True
    )
    client = faults.make_client(loop, table)
    with pytest.raises(errors.StoreUnavailable):
        loop.run(client.commit_resolved(_transaction(0, "n"), KEY, "n"))
    began_s = loop.now_s
    with pytest.raises(errors.StoreUnavailable):
        loop.run(client.read([KEY]))
    assert loop.now_s - began_s <= client.max_call_s


def test_transaction_must_check_its_marker() -> None:
    loop = virtual.VirtualLoop()
    client = faults.make_client(loop, platform.MemoryTable())
    unchecked = ports.Transaction((), _transaction(0, "n").writes)
    with pytest.raises(store.MarkerUnchecked):
        loop.run(client.commit_resolved(unchecked, KEY, "n"))


def test_calls_are_rate_limited() -> None:
    loop = virtual.VirtualLoop()
    bucket = store.TokenBucket(8.0, clock=loop.time)

    async def acquire_many() -> list[bool]:
        acquisitions = [bucket.acquire(max_wait_s=2.0) for _ in range(50)]
        return await asyncio.gather(*acquisitions)

    began_s = loop.now_s
    granted = sum(loop.run(acquire_many()))
    # A burst of one second of calls, then eight per second; the rest are
    # rejected at once.
    assert granted == 9 + 16
    assert loop.now_s - began_s == pytest.approx(2.0)


def test_scan_all_reads_all_pages() -> None:
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    client = faults.make_client(loop, memory)
    writes = tuple(ports.Write("t", f"{n:04d}", b"v") for n in range(1_201))
    loop.run(client.commit(ports.Transaction((), writes)))
    rows = loop.run(client.scan_all("t", ""))
    assert [row.key for row in rows] == [write.key for write in writes]


def test_conflict_after_lost_response_is_reported() -> None:
    """A conflict on another row must end the retries."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    table = faults.FaultyTable(
        memory, random.Random(1), script=[Fault.LOST_BEFORE]
    )
    client = faults.make_client(loop, table)
    marker = _transaction(0, "mine")
    fence = ports.Check("t", "fence", 7)
    transaction = ports.Transaction((*marker.checks, fence), marker.writes)
    with pytest.raises(errors.TableConflict) as caught:
        loop.run(client.commit_resolved(transaction, KEY, "mine"))
    assert caught.value.key == "fence"


@pytest.mark.parametrize(
    ("fault", "own"), [(Fault.LOST_AFTER, True), (Fault.LOST_BEFORE, False)]
)
def test_rows_read_back_in_another_era_prove_nothing(
    fault: Fault, own: bool
) -> None:
    """The row may be back from a copy, or lost with what followed it."""
    loop = virtual.VirtualLoop()
    memory = platform.MemoryTable()
    eras = iter([1])
    client = store.StoreClient(
        faults.FaultyTable(memory, random.Random(1), script=[fault]),
        call_timeout_s=1.0,
        call_rate_per_s=1_000.0,
        rng=random.Random(1),
        clock=loop.time,
        era=lambda: next(eras, 2),
    )
    assert client.era == 1
    transaction = attrs.evolve(_transaction(0, "mine"), era=1)
    with pytest.raises(errors.OutcomeUnknown):
        loop.run(client.commit_resolved(transaction, KEY, "mine"))
    assert (loop.run(client.read_one(KEY)) is not None) is own


class _SlowTable(platform.MemoryTable):
    """A table whose rows take long to arrive."""

    def __init__(self, took_s: float) -> None:
        super().__init__()
        self.took_s = took_s
        self.scans = 0

    async def scan(
        self, table: str, prefix: str, after: str, limit: int, timeout_s: float
    ) -> tuple[ports.Row, ...]:
        self.scans += 1
        await asyncio.sleep(self.took_s)
        return ()


@pytest.mark.parametrize("took_s", [0.9, 1.9, 2.1, 3.9])
def test_rows_that_arrive_before_the_deadline_are_asked_for_once(
    took_s: float,
) -> None:
    loop = virtual.VirtualLoop()
    table = _SlowTable(took_s)
    client = faults.make_client(loop, table, call_timeout_s=1.0)
    assert loop.run(client.scan_all("t", "")) == ()
    assert table.scans == 1


def test_rows_that_do_not_arrive_end_with_the_deadline() -> None:
    loop = virtual.VirtualLoop()
    client = faults.make_client(loop, _SlowTable(99.0), call_timeout_s=1.0)
    began_s = loop.time()
    with pytest.raises(errors.StoreUnavailable):
        loop.run(client.scan_all("t", ""))
    assert loop.time() - began_s <= client.max_call_s

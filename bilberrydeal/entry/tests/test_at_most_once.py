import random
import typing

import pytest

from bilberrydeal import claims
from bilberrydeal import errors
from bilberrydeal import link
from bilberrydeal import ports
from bilberrydeal import settings
from bilberrydeal import store
from bilberrydeal import telemetry
from bilberrydeal.entry.core import _at_most_once
from bilberrydeal.entry.core import _request
from bilberrydeal.entry.tests import fakes
from bilberrydeal.store.tests import faults
from standins import platform

WALL_S = 1_000_000.0
KEYED = fakes.plain_request(idempotency_key="order-17")


class _UnavailableTable(platform.MemoryTable):
    """Fails every call."""

    async def read(self, *_: typing.Any) -> typing.Any:
        raise errors.StoreUnavailable(operation="read")

    async def commit(self, *_: typing.Any) -> typing.Any:
        raise errors.StoreUnavailable(operation="commit")


class Entries:
    """Runners of several entries that share one claim table."""

    def __init__(self, table: ports.TableService) -> None:
        client = store.StoreClient(table, 0.01, 1e6, random.Random(1))
        self.rows = claims.ClaimManager(client, faults.MemoryObjects())

    def runner(self, *links: fakes.FakeLink) -> _at_most_once.AtMostOnceRunner:
        pool: typing.Any = fakes.FakePool(*links)
        return _at_most_once.AtMostOnceRunner(
            fakes.DispatcherHarness(links).dispatcher(),
            self.rows,
            _at_most_once.agent_resolver(pool, lambda endpoint_id: True),
            telemetry.Tracing(settings.TraceSettings(), "entry"),
            lambda: WALL_S,
        )


async def _refusal(runner: _at_most_once.AtMostOnceRunner) -> errors.Refusal:
    with pytest.raises(errors.Refusal) as caught:
        await runner.run(KEYED)
    return caught.value


async def test_repeat_gets_the_stored_answer() -> None:
    entries = Entries(platform.MemoryTable())
    first = fakes.FakeLink("a", [fakes.finished(b"paid")])
    second = fakes.FakeLink("a")
    assert (await entries.runner(first).run(KEYED)).body == b"paid"
    assert (await entries.runner(second).run(KEYED)).body == b"paid"
    assert second.submitted == []


async def test_repeat_without_any_endpoint_gets_the_stored_answer() -> None:
    entries = Entries(platform.MemoryTable())
    await entries.runner(fakes.FakeLink("a", [fakes.finished(b"paid")])).run(
        KEYED
    )
    assert (await entries.runner().run(KEYED)).body == b"paid"


@pytest.mark.parametrize("linked", [True, False])
async def test_not_run_is_not_reported_if_an_earlier_request_may_have_run(
    linked: bool,
) -> None:
    entries = Entries(platform.MemoryTable())
    lost = link.CallLost(sequence=1, started=True)
    refusal = await _refusal(entries.runner(fakes.FakeLink("a", [lost])))
    assert refusal.executed is errors.Executed.UNKNOWN
    repeat = entries.runner(*([fakes.FakeLink("a")] if linked else []))
    assert (await _refusal(repeat)).executed is errors.Executed.UNKNOWN


async def test_repeat_runs_if_the_agent_reports_that_nothing_started() -> None:
    entries = Entries(platform.MemoryTable())
    lost = link.CallLost(sequence=1, started=True)
    await _refusal(entries.runner(fakes.FakeLink("a", [lost])))
    again = fakes.FakeLink("a", [fakes.finished(b"paid")])
    again.query_result = link.QueryResult(
        query_id=1, outcome=link.QueryOutcome.NOT_STARTED
    )
    assert (await entries.runner(again).run(KEYED)).body == b"paid"
    assert len(again.submitted) == 1


async def test_repeat_does_not_run_after_the_agent_was_replaced() -> None:
    entries = Entries(platform.MemoryTable())
    lost = link.CallLost(sequence=1, started=True)
    await _refusal(entries.runner(fakes.FakeLink("a", [lost])))
    again = fakes.FakeLink("a", [fakes.finished()])
    again.agent = "another incarnation"
    refusal = await _refusal(entries.runner(again))
    assert refusal.reason is errors.ErrorCode.IDEMPOTENCY_UNKNOWN
    assert again.submitted == []


async def test_same_key_with_a_different_body_is_refused() -> None:
    entries = Entries(platform.MemoryTable())
    await entries.runner(fakes.FakeLink("a", [fakes.finished()])).run(KEYED)
    other = fakes.FakeLink("a", [fakes.finished()])
    call = _request.PlainCall("POST", "/deposit", "", b"another kid")
    with pytest.raises(errors.Refusal) as caught:
        await entries.runner(other).run(
            fakes.plain_request(idempotency_key="order-17", plain=call)
        )
    assert caught.value.reason is errors.ErrorCode.IDEMPOTENCY_MISMATCH
    assert other.submitted == []


async def test_keyed_request_is_not_dispatched_without_the_store() -> None:
    only = fakes.FakeLink("a", [fakes.finished()])
    refusal = await _refusal(Entries(_UnavailableTable()).runner(only))
    assert refusal.reason is errors.ErrorCode.STORE_UNAVAILABLE
    assert refusal.executed is errors.Executed.UNKNOWN
    assert only.submitted == []


async def test_request_without_a_key_needs_no_store() -> None:
    only = fakes.FakeLink("a", [fakes.finished()])
    runner = Entries(_UnavailableTable()).runner(only)
    assert (await runner.run(fakes.plain_request())).status == 200


async def test_not_run_covers_an_unclaimed_key() -> None:
    refusal = await _refusal(Entries(platform.MemoryTable()).runner())
    assert refusal.executed is errors.Executed.NO
    assert refusal.covers_key


async def test_not_run_covers_a_key_claimed_by_this_request() -> None:
    busy: fakes.Script = [fakes.refused(started=False)]
    only = fakes.FakeLink("a", busy, busy, busy, busy)
    refusal = await _refusal(Entries(platform.MemoryTable()).runner(only))
    assert refusal.executed is errors.Executed.NO
    assert refusal.covers_key

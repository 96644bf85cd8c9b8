"""Requests that are cancelled, queried or abandoned."""

import collections.abc

import attrs
import pytest

from bilberrydeal import errors
from bilberrydeal import link

from . import harness
from . import relay
from . import steps

Before = collections.abc.Callable[[link.RequestExecution], None]


def untouched(execution: link.RequestExecution) -> None:
    pass


def finished(execution: link.RequestExecution) -> None:
    execution.start()
    execution.finish(status=201, body=b"receipt")


def refused(execution: link.RequestExecution) -> None:
    execution.refuse(errors.ErrorCode.OVERLOADED)


@pytest.mark.parametrize(
    ("before", "outcome"),
    [
        (untouched, link.CancelOutcome.NOT_STARTED),
        (steps.start, link.CancelOutcome.STARTED),
        (finished, link.CancelOutcome.FINISHED),
        (refused, link.CancelOutcome.NOT_STARTED),
    ],
)
async def test_cancel_reports_outcome(
    before: Before, outcome: link.CancelOutcome
) -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        entry.submit(harness.make_submit(1))
        before(await agent.next_execution())
        assert await entry.cancel(1, harness.TIMEOUT_S) == outcome


async def test_request_cancelled_in_advance_never_runs() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        found = await entry.cancel(1, harness.TIMEOUT_S)
        assert found == link.CancelOutcome.NOT_STARTED
        (event,) = await harness.collect_events(
            entry.submit(harness.make_submit(1))
        )
        assert isinstance(event, link.Refused)
        assert not event.started
        assert agent.executor.arrivals.empty()


@pytest.mark.parametrize(
    ("before", "asked", "outcome"),
    [
        (untouched, "", link.QueryOutcome.RUNNING),
        (steps.start, "agent-1", link.QueryOutcome.RUNNING),
        (finished, "", link.QueryOutcome.FINISHED),
        (refused, "", link.QueryOutcome.NOT_STARTED),
        (finished, "agent-0", link.QueryOutcome.UNKNOWN),
    ],
)
async def test_query_from_another_entry(
    before: Before, asked: str, outcome: link.QueryOutcome
) -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
        harness.entry(agent.settings.control_port, "b") as other_entry,
    ):
        entry.submit(harness.make_submit(1, idempotent=False))
        before(await agent.next_execution())
        result = await other_entry.query(
            steps.OTHER_REQUEST, harness.TIMEOUT_S, asked
        )
        assert result is not None
        assert result.outcome == outcome
        body = result.finished.body if result.finished else b""
        known = outcome == link.QueryOutcome.FINISHED
        assert body == (b"receipt" if known else b"")


async def test_request_queried_in_advance_never_runs() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
        harness.entry(agent.settings.control_port, "b") as other_entry,
    ):
        result = await other_entry.query(
            steps.OTHER_REQUEST, harness.TIMEOUT_S
        )
        assert result is not None
        assert result.outcome == link.QueryOutcome.NOT_STARTED
        call = entry.submit(harness.make_submit(1, idempotent=False))
        (event,) = await harness.collect_events(call)
        assert isinstance(event, link.Refused)
        assert not event.started


async def test_requests_of_dead_entry_are_cancelled_or_finished() -> None:
    short_window = attrs.evolve(harness.LINK_SETTINGS, resume_window_s=0.2)
    async with harness.agent(link=short_window) as agent:
        async with harness.entry(agent.settings.control_port) as entry:
            for sequence, idempotent in ((1, False), (2, True), (3, False)):
                entry.submit(
                    harness.make_submit(sequence, idempotent=idempotent)
                )
                await agent.next_execution()
            executions = agent.executor.executions
            executions[1].start()
            executions[2].start()
        async with harness.entry(
            agent.settings.control_port, "b"
        ) as other_entry:
            await harness.wait_until(
                lambda: executions[2].ended and executions[3].ended
            )
            assert not executions[1].ended
            executions[1].finish(status=201, body=b"receipt")
            result = await other_entry.query(
                steps.OTHER_REQUEST, harness.TIMEOUT_S
            )
            assert result is not None
            assert result.finished is not None
            assert result.finished.body == b"receipt"


async def test_reconnected_entry_gets_remaining_answers() -> None:
    short_window = attrs.evolve(harness.LINK_SETTINGS, resume_window_s=0.2)
    async with (
        harness.agent(link=short_window) as agent,
        harness.relayed(agent) as link_relay,
        harness.entry(
            agent.settings.control_port, address=relay.ADDRESS
        ) as entry,
    ):
        calls = [
            entry.submit(harness.make_submit(sequence, idempotent=idempotent))
            for sequence, idempotent in ((1, False), (2, False), (3, True))
        ]
        executions = [await agent.next_execution() for _ in calls]
        for execution in executions:
            execution.start()
        link_relay.refusing = True
        link_relay.cut()
        await harness.wait_until(lambda: executions[2].ended)
        executions[0].finish(status=201, body=b"receipt")
        link_relay.refusing = False
        await harness.wait_until(lambda: entry.connected)
        executions[1].finish(status=202)
        answers = [await harness.collect_events(call) for call in calls]
        assert [type(event) for (event,) in answers] == [
            link.Finished,
            link.Finished,
            link.Refused,
        ]


async def test_unclaimed_answer_is_dropped() -> None:
    short_window = attrs.evolve(harness.LINK_SETTINGS, resume_window_s=0.2)
    async with harness.agent(link=short_window) as agent:
        async with harness.entry(agent.settings.control_port) as entry:
            entry.submit(harness.make_submit(1))
            execution = await agent.next_execution()
        execution.finish(status=200)
        async with harness.entry(agent.settings.control_port):
            assert not agent.server.is_idle()
            await harness.wait_until(agent.server.is_idle)

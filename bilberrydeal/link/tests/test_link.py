"""Delivery of answers over a link, with and without faults."""

import asyncio

import attrs
import pytest

from bilberrydeal import link

from . import freeports
from . import harness
from . import relay
from . import steps


async def test_answer_is_complete_and_then_forgotten() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.make_submit(1))
        execution = await agent.next_execution()
        await steps.emit(execution, 1, 6)
        execution.finish(status=200)
        assert await harness.collect_events(call) == steps.ANSWER
        await harness.wait_until(agent.server.is_idle)
        assert (entry.agent, entry.endpoint_id) == ("agent-1", "e1")
        assert entry.status == harness.STATUS


@steps.FAULTS
async def test_answer_is_resumed_after_a_fault(fault: steps.Fault) -> None:
    async with (
        harness.agent() as agent,
        harness.relayed(agent) as link_relay,
        harness.entry(
            agent.settings.control_port, address=relay.ADDRESS
        ) as entry,
    ):
        call = entry.submit(harness.make_submit(1))
        execution = await agent.next_execution()
        execution.start()
        await steps.emit(execution, 1, 3)
        await harness.wait_until(lambda: call.last_received_chunk == 3)
        fault(link_relay)
        await steps.emit(execution, 4, 6)
        execution.finish(status=200)
        assert await harness.collect_events(call) == steps.ANSWER
        assert agent.executor.arrivals.empty()


@steps.FAULTS
async def test_lost_submit_is_sent_again(fault: steps.Fault) -> None:
    async with (
        harness.agent() as agent,
        harness.relayed(agent) as link_relay,
        harness.entry(
            agent.settings.control_port, address=relay.ADDRESS
        ) as entry,
    ):
        fault(link_relay)
        call = entry.submit(harness.make_submit(1))
        execution = await agent.next_execution()
        execution.finish(status=200)
        assert len(await harness.collect_events(call)) == 1
        assert execution.submit.time_left_s <= call.submit.time_left_s
        assert agent.executor.arrivals.empty()


async def test_duplicate_misdirected_and_early_parts_are_dropped() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.make_submit(1))
        execution = await agent.next_execution()
        await steps.emit(execution, 1, 1)
        entry._send(call.submit, urgent=True)
        await entry.cancel(77, harness.TIMEOUT_S)
        invalid_parts: tuple[link.Message, ...] = (
            steps.ANSWER[0],
            steps.ANSWER[3],
            link.Chunk(sequence=99, chunk=1, text="crossed", tokens=1),
            link.Finished(sequence=98, chunk=1, status=500),
            link.Refused(sequence=1, chunk=1, reason="late", started=False),
        )
        for part in invalid_parts:
            agent.server.send("a", part, urgent=True)
        await steps.emit(execution, 2, 6)
        execution.finish(status=200)
        assert await harness.collect_events(call) == steps.ANSWER
        assert agent.executor.arrivals.empty()


async def test_handler_exception_closes_session_but_keeps_request() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.make_submit(1))
        execution = await agent.next_execution()

        def fail(agent_link: link.AgentLink) -> None:
            agent_link.on_status = None
            raise ValueError

        entry.on_status = fail
        agent.server.send("a", attrs.evolve(harness.STATUS, running=9))
        await harness.wait_until(lambda: not entry.connected)
        await steps.emit(execution, 1, 6)
        execution.finish(status=200)
        assert await harness.collect_events(call) == steps.ANSWER


async def test_link_down_refuses_at_once() -> None:
    entry = link.AgentLink(
        harness.ADDRESS,
        freeports.allocate_ports(),
        "a",
        "d1",
        harness.LINK_SETTINGS,
        float,
    )
    with pytest.raises(link.LinkDown):
        entry.submit(harness.make_submit(1))


async def test_request_refused_by_full_outbox_never_runs() -> None:
    small_outbox = attrs.evolve(
        harness.LINK_SETTINGS, outbox_limit=20, silent_bound_s=2.0
    )
    accepted, refused_count = [], 0
    async with (
        harness.agent(link=small_outbox) as agent,
        harness.relayed(agent) as link_relay,
        harness.entry(
            agent.settings.control_port,
            link_settings=small_outbox,
            address=relay.ADDRESS,
        ) as entry,
    ):
        link_relay.stall(relay.Direction.TO_AGENT)
        for sequence in range(1, 400):
            try:
                request = harness.make_submit(sequence, body=bytes(200_000))
                accepted.append(entry.submit(request).sequence)
            except link.LinkFull:
                refused_count += 1
            await asyncio.sleep(0)
        assert refused_count
        await harness.wait_until(
            lambda: len(agent.executor.executions) == len(accepted)
        )
        assert sorted(agent.executor.executions) == accepted


async def test_large_bodies_are_sent_in_separate_frames() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        for sequence in range(1, 41):
            entry.submit(harness.make_submit(sequence, body=bytes(300_000)))
        for _ in range(40):
            assert len((await agent.next_execution()).submit.body) == 300_000


async def test_slow_consumer_applies_backpressure() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.make_submit(1))
        execution = await agent.next_execution()
        emitting = asyncio.create_task(steps.emit(execution, 1, 3000))
        await harness.wait_until(lambda: call.last_received_chunk == 1024)
        assert not emitting.done()
        finishing = asyncio.create_task(harness.collect_events(call))
        await emitting
        execution.finish(status=200)
        assert len(await finishing) == 3001


async def test_usage_settlement_and_order_hint_are_delivered() -> None:
    record = link.UsageRecord(
        record=1,
        number=steps.OTHER_REQUEST,
        organisation="russo",
        counted_at_s=0.0,
        prompt_tokens=1,
        cached_tokens=0,
        output_tokens=1,
        calls=1,
    )
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        entry.on_usage = lambda link, usage: link.acknowledge_usage(
            tuple(record.record for record in usage.records)
        )
        usage = link.UsageRecords(agent="agent-1", records=(record,))
        assert await agent.event() == ("joined", "a")
        agent.server.send("a", usage)
        assert await agent.event() == ("settled", (1,))
        entry.announce_order(7)
        assert await agent.event() == ("hinted", 7)

import asyncio
import collections.abc
import contextlib
import time
import typing

import attrs
import pytest

from bilberrydeal import errors
from bilberrydeal import link

from .. import _hello
from .. import _pulse
from .. import _session
from .. import _transport
from . import freeports
from . import harness
from . import relay

ANSWER: list[link.Message] = [
    *[
        link.Chunk(sequence=1, chunk=number, text=str(number), tokens=1)
        for number in range(1, 7)
    ],
    link.Finished(sequence=1, chunk=7, status=200),
]
Fault = collections.abc.Callable[[relay.Relay], None]
Before = collections.abc.Callable[[link.Work], None]
OTHER = link.RequestNumber(entry="a", sequence=1)


async def emit(work: link.Work, first: int, last: int) -> None:
    """Add the parts of ``ANSWER`` with these numbers."""
    for number in range(first, last + 1):
        await work.emit(str(number), 1)


async def end_session(agent: harness.Agent) -> None:
    """End the present session of entry ``a``."""
    session = agent.server._peers["a"].session
    assert session is not None
    session.close()


async def test_answer_comes_whole_and_is_then_forgotten() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.submit(1))
        work = await agent.work()
        await emit(work, 1, 6)
        work.finish(status=200)
        assert await harness.answer(call) == ANSWER
        await harness.until(agent.server.idle)
        assert (entry.agent, entry.endpoint_id) == ("agent-1", "e1")
        assert entry.status == harness.STATUS


def cut(between: relay.Relay) -> None:
    between.cut()


def silent_to_agent(between: relay.Relay) -> None:
    between.silence(relay.Way.TO_AGENT)


def silent_to_entry(between: relay.Relay) -> None:
    between.silence(relay.Way.TO_ENTRY)


def silent(between: relay.Relay) -> None:
    between.silence(*relay.Way)


FAULTS = pytest.mark.parametrize(
    "fault", [cut, silent_to_agent, silent_to_entry, silent]
)


@FAULTS
async def test_answer_is_resumed_after_a_fault(fault: Fault) -> None:
    async with (
        harness.agent() as agent,
        harness.relayed(agent) as between,
        harness.entry(
            agent.settings.control_port, address=relay.ADDRESS
        ) as entry,
    ):
        call = entry.submit(harness.submit(1))
        work = await agent.work()
        work.start()
        await emit(work, 1, 3)
        await harness.until(lambda: call.arrived == 3)
        fault(between)
        await emit(work, 4, 6)
        work.finish(status=200)
        assert await harness.answer(call) == ANSWER
        assert agent.executor.arrivals.empty()


@FAULTS
async def test_lost_submit_is_sent_again(fault: Fault) -> None:
    async with (
        harness.agent() as agent,
        harness.relayed(agent) as between,
        harness.entry(
            agent.settings.control_port, address=relay.ADDRESS
        ) as entry,
    ):
        fault(between)
        call = entry.submit(harness.submit(1))
        work = await agent.work()
        work.finish(status=200)
        assert len(await harness.answer(call)) == 1
        assert work.submit.time_left_s <= call.submit.time_left_s
        assert agent.executor.arrivals.empty()


IDLE = attrs.evolve(harness.LINK, idle_heartbeat_s=60.0, resume_window_s=60.0)


async def idle(entry: link.AgentLink) -> None:
    """Wait until nothing has come over a link for longer than the bound."""
    session = entry._session
    assert session is not None
    ended_s = IDLE.silent_bound_s
    await harness.until(
        lambda: (
            time.monotonic() - session._pulse.received_at_s > ended_s  # noqa
        )
    )


async def test_idle_link_is_asked_before_work_is_sent() -> None:
    async with (
        harness.agent(link=IDLE) as agent,
        harness.entry(agent.settings.control_port, "a", IDLE) as entry,
    ):
        await idle(entry)
        calls = [entry.submit(harness.submit(n)) for n in (1, 2)]
        assert [call.sent for call in calls] == [False, False]
        cancelled = asyncio.create_task(entry.cancel(2, harness.PATIENCE_S))
        for _ in calls:
            (await agent.work()).finish(status=200)
        assert [call.sent for call in calls] == [True, True]
        assert len(await harness.answer(calls[0])) == 1
        assert await cancelled is not None


@FAULTS
async def test_work_does_not_leave_for_an_agent_that_went_silent(
    fault: Fault,
) -> None:
    async with (
        harness.agent(link=IDLE) as agent,
        harness.relayed(agent) as between,
        harness.entry(
            agent.settings.control_port, "a", IDLE, relay.ADDRESS
        ) as entry,
    ):
        await idle(entry)
        between.refusing = True
        fault(between)
        with pytest.raises((link.CallLost, link.LinkDown)) as failed:
            await harness.answer(entry.submit(harness.submit(1)))
        if isinstance(failed.value, link.CallLost):
            assert not failed.value.started
        assert agent.executor.arrivals.empty()
        between.refusing = False
        await harness.until(lambda: entry.connected)
        call = entry.submit(harness.submit(2))
        (await agent.work()).finish(status=200)
        assert len(await harness.answer(call)) == 1


async def test_asked_link_is_heard() -> None:
    async with (
        harness.agent(link=IDLE) as agent,
        harness.entry(agent.settings.control_port, "a", IDLE) as entry,
    ):
        before_s = entry.heard_at_s
        entry.check()
        await harness.until(lambda: entry.heard_at_s > before_s)


class OneWay:
    """Stands in for a socket whose peer is heard but hears nothing."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    async def send(self, frame: bytes) -> None:
        """Lose it."""

    async def receive(self) -> bytes:
        """Return a frame that echoes no heartbeat."""
        await asyncio.sleep(harness.LINK.idle_heartbeat_s)
        return link.encode_frame([harness.STATUS])

    def close(self) -> None:
        """End."""
        self.ended.set()


async def test_session_ends_when_no_heartbeat_is_echoed() -> None:
    session = _session.Session(
        typing.cast(_transport.PairSocket, OneWay()),
        harness.LINK,
        time.monotonic,
        lambda message: None,
        _pulse.Asker(harness.LINK, lambda: True, time.monotonic()),
    )
    async with asyncio.timeout(harness.PATIENCE_S):
        await session.run()


async def test_doubled_crossed_and_early_parts_are_dropped() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.submit(1))
        work = await agent.work()
        await emit(work, 1, 1)
        entry._send(call.submit, urgent=True)
        await entry.cancel(77, harness.PATIENCE_S)
        forgeries: tuple[link.Message, ...] = (
            ANSWER[0],
            ANSWER[3],
            link.Chunk(sequence=99, chunk=1, text="crossed", tokens=1),
            link.Finished(sequence=98, chunk=1, status=500),
            link.Refused(sequence=1, chunk=1, reason="late", started=False),
        )
        for forged in forgeries:
            agent.server.send("a", forged, urgent=True)
        await emit(work, 2, 6)
        work.finish(status=200)
        assert await harness.answer(call) == ANSWER
        assert agent.executor.arrivals.empty()


async def test_fault_in_a_handler_costs_a_session_and_no_request() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.submit(1))
        work = await agent.work()

        def fail(agent_link: link.AgentLink) -> None:
            agent_link.on_status = None
            raise ValueError

        entry.on_status = fail
        agent.server.send("a", attrs.evolve(harness.STATUS, running=9))
        await harness.until(lambda: not entry.connected)
        await emit(work, 1, 6)
        work.finish(status=200)
        assert await harness.answer(call) == ANSWER


def untouched(work: link.Work) -> None:
    pass


def started(work: link.Work) -> None:
    work.start()


def finished(work: link.Work) -> None:
    work.start()
    work.finish(status=201, body=b"receipt")


def refused(work: link.Work) -> None:
    work.refuse(errors.ErrorCode.OVERLOADED)


@pytest.mark.parametrize(
    ("before", "outcome"),
    [
        (untouched, link.CancelOutcome.NOT_STARTED),
        (started, link.CancelOutcome.STARTED),
        (finished, link.CancelOutcome.FINISHED),
        (refused, link.CancelOutcome.NOT_STARTED),
    ],
)
async def test_cancel_tells_what_it_found(
    before: Before, outcome: link.CancelOutcome
) -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        entry.submit(harness.submit(1))
        before(await agent.work())
        assert await entry.cancel(1, harness.PATIENCE_S) == outcome


async def test_cancelled_number_never_runs() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        found = await entry.cancel(1, harness.PATIENCE_S)
        assert found == link.CancelOutcome.NOT_STARTED
        (event,) = await harness.answer(entry.submit(harness.submit(1)))
        assert isinstance(event, link.Refused)
        assert not event.started
        assert agent.executor.arrivals.empty()


@pytest.mark.parametrize(
    ("before", "asked", "outcome"),
    [
        (untouched, "", link.QueryOutcome.RUNNING),
        (started, "agent-1", link.QueryOutcome.RUNNING),
        (finished, "", link.QueryOutcome.FINISHED),
        (refused, "", link.QueryOutcome.NOT_STARTED),
        (finished, "agent-0", link.QueryOutcome.UNKNOWN),
    ],
)
async def test_query_of_another_entry(
    before: Before, asked: str, outcome: link.QueryOutcome
) -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
        harness.entry(agent.settings.control_port, "b") as asker,
    ):
        entry.submit(harness.submit(1, idempotent=False))
        before(await agent.work())
        result = await asker.query(OTHER, harness.PATIENCE_S, asked)
        assert result is not None
        assert result.outcome == outcome
        body = result.finished.body if result.finished else b""
        known = outcome == link.QueryOutcome.FINISHED
        assert body == (b"receipt" if known else b"")


async def test_queried_number_never_runs() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
        harness.entry(agent.settings.control_port, "b") as asker,
    ):
        result = await asker.query(OTHER, harness.PATIENCE_S)
        assert result is not None
        assert result.outcome == link.QueryOutcome.NOT_STARTED
        call = entry.submit(harness.submit(1, idempotent=False))
        (event,) = await harness.answer(call)
        assert isinstance(event, link.Refused)
        assert not event.started


async def test_requests_of_a_dead_entry() -> None:
    brief = attrs.evolve(harness.LINK, resume_window_s=0.2)
    async with harness.agent(link=brief) as agent:
        async with harness.entry(agent.settings.control_port) as entry:
            for sequence, idempotent in ((1, False), (2, True), (3, False)):
                entry.submit(harness.submit(sequence, idempotent=idempotent))
                await agent.work()
            works = agent.executor.works
            works[1].start()
            works[2].start()
        async with harness.entry(agent.settings.control_port, "b") as asker:
            await harness.until(lambda: works[2].ended and works[3].ended)
            assert not works[1].ended
            works[1].finish(status=201, body=b"receipt")
            result = await asker.query(OTHER, harness.PATIENCE_S)
            assert result is not None
            assert result.finished is not None
            assert result.finished.body == b"receipt"


async def test_entry_that_was_away_gets_what_ran_on() -> None:
    brief = attrs.evolve(harness.LINK, resume_window_s=0.2)
    async with (
        harness.agent(link=brief) as agent,
        harness.relayed(agent) as between,
        harness.entry(
            agent.settings.control_port, address=relay.ADDRESS
        ) as entry,
    ):
        calls = [
            entry.submit(harness.submit(sequence, idempotent=idempotent))
            for sequence, idempotent in ((1, False), (2, False), (3, True))
        ]
        works = [await agent.work() for _ in calls]
        for work in works:
            work.start()
        between.refusing = True
        between.cut()
        await harness.until(lambda: works[2].ended)
        works[0].finish(status=201, body=b"receipt")
        between.refusing = False
        await harness.until(lambda: entry.connected)
        works[1].finish(status=202)
        answers = [await harness.answer(call) for call in calls]
        assert [type(event) for (event,) in answers] == [
            link.Finished,
            link.Finished,
            link.Refused,
        ]


async def test_answer_that_nobody_claims_is_dropped() -> None:
    brief = attrs.evolve(harness.LINK, resume_window_s=0.2)
    async with harness.agent(link=brief) as agent:
        async with harness.entry(agent.settings.control_port) as entry:
            entry.submit(harness.submit(1))
            work = await agent.work()
        work.finish(status=200)
        async with harness.entry(agent.settings.control_port):
            assert not agent.server.idle()
            await harness.until(agent.server.idle)


async def test_repeated_hellos_hold_one_port() -> None:
    async with harness.agent() as agent:
        hello = link.Hello(link.PROTOCOL_VERSION, "a", "d1")
        for _ in range(3 * harness.LINK_PORTS):
            reply = await _hello.ask(
                harness.ADDRESS,
                agent.settings.control_port,
                hello,
                harness.PATIENCE_S,
            )
            assert reply.refusal == ""


@pytest.mark.parametrize("lost", [{"model": ""}, {"prefill_only": True}])
async def test_restarted_agent_loses_calls(
    lost: dict[str, typing.Any],
) -> None:
    async with harness.agent() as agent:
        given = agent.settings
        entering = harness.entry(given.control_port)
        entry = await entering.__aenter__()
        call = entry.submit(harness.submit(1, **lost))
        await agent.work()
    async with harness.agent("agent-2", **attrs.asdict(given, recurse=False)):
        with pytest.raises(link.CallLost) as caught:
            await harness.answer(call)
        assert caught.value.started
        assert caught.value.agent_replaced
        await entering.__aexit__(None, None, None)


@pytest.mark.parametrize("passed", [0, 3])
async def test_successor_of_an_agent_takes_a_generation_over(
    passed: int,
) -> None:
    """Over two deaths; what the entry has is neither lost nor repeated."""
    async with contextlib.AsyncExitStack() as stack:
        async with harness.agent() as agent:
            given = attrs.asdict(agent.settings, recurse=False)
            entry = await stack.enter_async_context(
                harness.entry(agent.settings.control_port)
            )
            call = entry.submit(harness.submit(1))
            await emit(await agent.work(), 1, passed)
            await harness.until(lambda: call.arrived == passed)
        async with harness.agent("agent-2", **given) as agent:
            work = await agent.work()
            assert work.taken is not None
            assert (work.taken.chunk, work.taken.tokens) == (passed, passed)
            assert work.started
            await emit(work, passed + 1, 4)
            await harness.until(lambda: call.arrived == 4)
        async with harness.agent("agent-3", **given) as agent:
            work = await agent.work()
            assert work.taken is not None
            assert (work.taken.chunk, work.taken.tokens) == (4, 4)
            await emit(work, 5, 6)
            work.finish(200)
            assert await harness.answer(call) == ANSWER


async def test_lost_takeover_is_sent_again() -> None:
    async with contextlib.AsyncExitStack() as stack:
        async with harness.agent() as agent:
            given = attrs.asdict(agent.settings, recurse=False)
            entry = await stack.enter_async_context(
                harness.entry(agent.settings.control_port)
            )
            call = entry.submit(harness.submit(1))
            await emit(await agent.work(), 1, 3)
            await harness.until(lambda: call.arrived == 3)
        async with harness.agent("agent-2", **given) as agent:
            await agent.work()
            # As if it had never come: the next session finds it missing.
            agent.server._peers["a"]._works.clear()
            await end_session(agent)
            work = await agent.work()
            assert work.taken is not None
            await emit(work, 4, 6)
            work.finish(200)
            assert await harness.answer(call) == ANSWER


async def test_generation_that_nobody_waits_for_is_not_taken_over() -> None:
    async with contextlib.AsyncExitStack() as stack:
        async with harness.agent() as agent:
            given = attrs.asdict(agent.settings, recurse=False)
            entry = await stack.enter_async_context(
                harness.entry(agent.settings.control_port)
            )
            left = entry.submit(harness.submit(1))
            left.abandon()
            await agent.work()
            entry.submit(harness.submit(2))
            await agent.work()
        async with harness.agent("agent-2", **given) as agent:
            assert (await agent.work()).sequence == 2
            assert left.ended


async def test_link_down_refuses_at_once() -> None:
    entry = link.AgentLink(
        harness.ADDRESS, freeports.take(), "a", "d1", harness.LINK, float
    )
    with pytest.raises(link.LinkDown):
        entry.submit(harness.submit(1))


async def test_full_outbox_refuses_what_never_runs() -> None:
    small = attrs.evolve(harness.LINK, outbox_limit=20, silent_bound_s=2.0)
    accepted, refused_count = [], 0
    async with (
        harness.agent(link=small) as agent,
        harness.relayed(agent) as between,
        harness.entry(
            agent.settings.control_port,
            link_settings=small,
            address=relay.ADDRESS,
        ) as entry,
    ):
        between.stall(relay.Way.TO_AGENT)
        for sequence in range(1, 400):
            try:
                body = harness.submit(sequence, body=bytes(200_000))
                accepted.append(entry.submit(body).sequence)
            except link.LinkFull:
                refused_count += 1
            await asyncio.sleep(0)
        assert refused_count
        await harness.until(lambda: len(agent.executor.works) == len(accepted))
        assert sorted(agent.executor.works) == accepted


async def test_large_bodies_pass_in_frames_of_their_own() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        for sequence in range(1, 41):
            entry.submit(harness.submit(sequence, body=bytes(300_000)))
        for _ in range(40):
            assert len((await agent.work()).submit.body) == 300_000


async def test_slow_consumer_holds_the_endpoint_back() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.submit(1))
        work = await agent.work()
        emitting = asyncio.create_task(emit(work, 1, 3000))
        await harness.until(lambda: call.arrived == 1024)
        assert not emitting.done()
        finishing = asyncio.create_task(harness.answer(call))
        await emitting
        work.finish(status=200)
        assert len(await finishing) == 3001


async def test_usage_hints_and_settlement_pass() -> None:
    record = link.UsageRecord(
        record=1,
        number=OTHER,
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
        entry.on_usage = lambda link, usage: link.settled(
            tuple(record.record for record in usage.records)
        )
        usage = link.UsageRecords(agent="agent-1", records=(record,))
        assert await agent.event() == ("joined", "a")
        agent.server.send("a", usage)
        assert await agent.event() == ("settled", (1,))
        entry.hint(7)
        assert await agent.event() == ("hinted", 7)


@pytest.mark.parametrize(
    "changes",
    [{"agent": "agent-0"}, {"session": 0}, {"entry": "b"}],
    ids=str,
)
async def test_late_dialer_does_not_take_over_a_port(
    changes: dict[str, typing.Any],
) -> None:
    async with harness.agent() as agent:
        hello = link.Hello(link.PROTOCOL_VERSION, "a", "d1")
        reply = await _hello.ask(
            harness.ADDRESS,
            agent.settings.control_port,
            hello,
            harness.PATIENCE_S,
        )
        opening = link.Open("a", reply.agent, reply.session)
        messages: list[link.Message] = [
            attrs.evolve(opening, **changes),
            harness.submit(1),
        ]
        socket = _transport.PairSocket(harness.PATIENCE_S)
        socket.dial(harness.ADDRESS, reply.port)
        session = _session.Session(
            socket,
            harness.LINK,
            time.monotonic,
            lambda message: None,
            _pulse.Asker(harness.LINK, lambda: True, time.monotonic()),
        )
        for message in messages:
            session.send(message)
        async with asyncio.timeout(harness.PATIENCE_S):
            await session.run()
        assert agent.executor.arrivals.empty()
        assert agent.host.events.empty()


async def test_other_protocol_version_is_refused() -> None:
    async with harness.agent() as agent:
        reply = await _hello.ask(
            harness.ADDRESS,
            agent.settings.control_port,
            link.Hello(link.PROTOCOL_VERSION + 1, "a", "d1"),
            harness.PATIENCE_S,
        )
        assert (reply.port, reply.refusal) == (0, "protocol version")

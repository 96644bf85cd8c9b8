"""Agents that restart, and their successors."""

import asyncio
import contextlib
import time
import typing

import attrs
import pytest

from bilberrydeal import link

from .. import _hello
from .. import _pulse
from .. import _session
from .. import _transport
from . import harness
from . import steps


async def end_session(agent: harness.Agent) -> None:
    """End the present session of entry ``a``."""
    session = agent.server._peers["a"].session
    assert session is not None
    session.close()


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
            await steps.emit(await agent.work(), 1, passed)
            await harness.until(lambda: call.arrived == passed)
        async with harness.agent("agent-2", **given) as agent:
            work = await agent.work()
            assert work.taken is not None
            assert (work.taken.chunk, work.taken.tokens) == (passed, passed)
            assert work.started
            await steps.emit(work, passed + 1, 4)
            await harness.until(lambda: call.arrived == 4)
        async with harness.agent("agent-3", **given) as agent:
            work = await agent.work()
            assert work.taken is not None
            assert (work.taken.chunk, work.taken.tokens) == (4, 4)
            await steps.emit(work, 5, 6)
            work.finish(200)
            assert await harness.answer(call) == steps.ANSWER


async def test_lost_takeover_is_sent_again() -> None:
    async with contextlib.AsyncExitStack() as stack:
        async with harness.agent() as agent:
            given = attrs.asdict(agent.settings, recurse=False)
            entry = await stack.enter_async_context(
                harness.entry(agent.settings.control_port)
            )
            call = entry.submit(harness.submit(1))
            await steps.emit(await agent.work(), 1, 3)
            await harness.until(lambda: call.arrived == 3)
        async with harness.agent("agent-2", **given) as agent:
            await agent.work()
            # As if it had never come: the next session finds it missing.
            agent.server._peers["a"]._works.clear()
            await end_session(agent)
            work = await agent.work()
            assert work.taken is not None
            await steps.emit(work, 4, 6)
            work.finish(200)
            assert await harness.answer(call) == steps.ANSWER


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

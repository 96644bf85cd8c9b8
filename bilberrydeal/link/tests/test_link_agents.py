"""Restarts of agents, and takeovers by their successors."""

import asyncio
import contextlib
import time
import typing

import attrs
import pytest

from bilberrydeal import link

from .. import _hello
from .. import _liveness
from .. import _session
from .. import _transport
from . import harness
from . import steps


async def end_session(agent: harness.Agent) -> None:
    """Close the current session of entry ``a``."""
    session = agent.server._peers["a"].session
    assert session is not None
    session.close()


async def test_repeated_hellos_occupy_one_port() -> None:
    async with harness.agent() as agent:
        hello = link.Hello(link.PROTOCOL_VERSION, "a", "d1")
        for _ in range(3 * harness.LINK_PORTS):
            reply = await _hello.send_hello(
                harness.ADDRESS,
                agent.settings.control_port,
                hello,
                harness.TIMEOUT_S,
            )
            assert reply.refusal == ""


@pytest.mark.parametrize("lost", [{"model": ""}, {"prefill_only": True}])
async def test_calls_are_lost_when_agent_restarts(
    lost: dict[str, typing.Any],
) -> None:
    async with harness.agent() as agent:
        agent_settings = agent.settings
        entry_context = harness.entry(agent_settings.control_port)
        entry = await entry_context.__aenter__()
        call = entry.submit(harness.make_submit(1, **lost))
        await agent.next_execution()
    async with harness.agent(
        "agent-2", **attrs.asdict(agent_settings, recurse=False)
    ):
        with pytest.raises(link.CallLost) as caught:
            await harness.collect_events(call)
        assert caught.value.started
        assert caught.value.agent_replaced
        await entry_context.__aexit__(None, None, None)


@pytest.mark.parametrize("passed", [0, 3])
async def test_successor_continues_generation(
    passed: int,
) -> None:
    """Across two restarts, no part of the answer is lost or repeated."""
    async with contextlib.AsyncExitStack() as stack:
        async with harness.agent() as agent:
            agent_settings = attrs.asdict(agent.settings, recurse=False)
            entry = await stack.enter_async_context(
                harness.entry(agent.settings.control_port)
            )
            call = entry.submit(harness.make_submit(1))
            await steps.emit(await agent.next_execution(), 1, passed)
            await harness.wait_until(
                lambda: call.last_received_chunk == passed
            )
        async with harness.agent("agent-2", **agent_settings) as agent:
            execution = await agent.next_execution()
            assert execution.takeover is not None
            assert (execution.takeover.chunk, execution.takeover.tokens) == (
                passed,
                passed,
            )
            assert execution.started
            await steps.emit(execution, passed + 1, 4)
            await harness.wait_until(lambda: call.last_received_chunk == 4)
        async with harness.agent("agent-3", **agent_settings) as agent:
            execution = await agent.next_execution()
            assert execution.takeover is not None
            assert (execution.takeover.chunk, execution.takeover.tokens) == (
                4,
                4,
            )
            await steps.emit(execution, 5, 6)
            execution.finish(200)
            assert await harness.collect_events(call) == steps.ANSWER


async def test_lost_takeover_is_sent_again() -> None:
    async with contextlib.AsyncExitStack() as stack:
        async with harness.agent() as agent:
            agent_settings = attrs.asdict(agent.settings, recurse=False)
            entry = await stack.enter_async_context(
                harness.entry(agent.settings.control_port)
            )
            call = entry.submit(harness.make_submit(1))
            await steps.emit(await agent.next_execution(), 1, 3)
            await harness.wait_until(lambda: call.last_received_chunk == 3)
        async with harness.agent("agent-2", **agent_settings) as agent:
            await agent.next_execution()
            # As if the takeover was lost: the next session reports Missing.
            agent.server._peers["a"]._executions.clear()
            await end_session(agent)
            execution = await agent.next_execution()
            assert execution.takeover is not None
            await steps.emit(execution, 4, 6)
            execution.finish(200)
            assert await harness.collect_events(call) == steps.ANSWER


async def test_abandoned_generation_is_not_taken_over() -> None:
    async with contextlib.AsyncExitStack() as stack:
        async with harness.agent() as agent:
            agent_settings = attrs.asdict(agent.settings, recurse=False)
            entry = await stack.enter_async_context(
                harness.entry(agent.settings.control_port)
            )
            abandoned = entry.submit(harness.make_submit(1))
            abandoned.abandon()
            await agent.next_execution()
            entry.submit(harness.make_submit(2))
            await agent.next_execution()
        async with harness.agent("agent-2", **agent_settings) as agent:
            assert (await agent.next_execution()).sequence == 2
            assert abandoned.ended


@pytest.mark.parametrize(
    "changes",
    [{"agent": "agent-0"}, {"session": 0}, {"entry": "b"}],
    ids=str,
)
async def test_late_dial_cannot_use_reassigned_port(
    changes: dict[str, typing.Any],
) -> None:
    async with harness.agent() as agent:
        hello = link.Hello(link.PROTOCOL_VERSION, "a", "d1")
        reply = await _hello.send_hello(
            harness.ADDRESS,
            agent.settings.control_port,
            hello,
            harness.TIMEOUT_S,
        )
        opening = link.Open("a", reply.agent, reply.session)
        messages: list[link.Message] = [
            attrs.evolve(opening, **changes),
            harness.make_submit(1),
        ]
        socket = _transport.PairSocket(harness.TIMEOUT_S)
        socket.dial(harness.ADDRESS, reply.port)
        session = _session.Session(
            socket,
            harness.LINK_SETTINGS,
            time.monotonic,
            lambda message: None,
            _liveness.HeartbeatSender(
                harness.LINK_SETTINGS, lambda: True, time.monotonic()
            ),
        )
        for message in messages:
            session.send(message)
        async with asyncio.timeout(harness.TIMEOUT_S):
            await session.run()
        assert agent.executor.arrivals.empty()
        assert agent.callbacks.events.empty()


async def test_other_protocol_version_is_refused() -> None:
    async with harness.agent() as agent:
        reply = await _hello.send_hello(
            harness.ADDRESS,
            agent.settings.control_port,
            link.Hello(link.PROTOCOL_VERSION + 1, "a", "d1"),
            harness.TIMEOUT_S,
        )
        assert (reply.port, reply.refusal) == (0, "protocol version")

from bilberrydeal import link

from . import harness


async def test_answer_comes_whole_and_in_order() -> None:
    async with (
        harness.agent() as agent,
        harness.entry(agent.settings.control_port) as entry,
    ):
        call = entry.submit(harness.submit(1))
        work = await agent.executor.arrivals.get()
        for text in "abc":
            await work.emit(text, 1)
        work.finish(status=200, output_tokens=3)
        events = await harness.answer(call)
        assert [type(event) for event in events] == [
            link.Chunk,
            link.Chunk,
            link.Chunk,
            link.Finished,
        ]
        await harness.until(agent.server.idle)
        assert entry.agent == "agent-1"
        assert entry.endpoint_id == "e1"

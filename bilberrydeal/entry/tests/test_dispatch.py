import asyncio

import attrs
import pytest

from bilberrydeal import errors
from bilberrydeal import link
from bilberrydeal import systems
from bilberrydeal.entry.core import _at_most_once
from bilberrydeal.entry.core import _attempt
from bilberrydeal.entry.tests import fakes

LOST = link.CallLost(sequence=1, started=True)
DOWN = link.LinkDown(address="127.0.0.1", control_port=1)

#: First answer, whether the request is idempotent, and whether it is retried.
RETRIES: list[tuple[fakes.Script, bool, bool]] = [
    ([fakes.refused(started=False)], False, True),
    ([fakes.refused(started=True)], False, False),
    ([fakes.refused(started=True)], True, True),
    ([LOST], False, False),
    ([LOST], True, True),
    ([DOWN], False, True),
]


@pytest.mark.parametrize(("script", "idempotent", "retried"), RETRIES)
async def test_retry_requires_idempotence_or_proof_of_no_execution(
    script: fakes.Script, idempotent: bool, retried: bool
) -> None:
    # Round robin starts at a seeded position, so both endpoints first give
    # the same answer.
    first = fakes.FakeLink("a", script, [fakes.finished()])
    second = fakes.FakeLink("b", script, [fakes.finished()])
    dispatcher = fakes.DispatcherHarness((first, second)).dispatcher()
    run = dispatcher.run(fakes.plain_request(idempotent=idempotent))
    if retried:
        first._scripts[0] = second._scripts[0] = script
        assert (await _at_most_once.final_event(run)).body == b"ok"
    else:
        with pytest.raises(errors.Refusal) as caught:
            await _at_most_once.final_event(run)
        assert caught.value.executed is errors.Executed.UNKNOWN
        assert len(first.submitted) + len(second.submitted) == 1


async def test_each_attempt_has_its_own_number() -> None:
    script: fakes.Script = [fakes.refused(started=False)]
    only = fakes.FakeLink("a", script, script, [fakes.finished()])
    dispatcher = fakes.DispatcherHarness((only,)).dispatcher()
    await _at_most_once.final_event(dispatcher.run(fakes.plain_request()))
    numbers = [submit.number.sequence for submit in only.submitted]
    assert len(set(numbers)) == 3


async def test_no_retry_after_the_first_streamed_event() -> None:
    chunk = link.Chunk(sequence=1, chunk=1, text="a", tokens=3)
    first = fakes.FakeLink("a", [chunk, LOST])
    harness = fakes.DispatcherHarness((first,))
    with pytest.raises(errors.Refusal) as caught:
        async for _ in harness.dispatcher().run(
            fakes.plain_request(idempotent=True)
        ):
            pass
    assert caught.value.executed is errors.Executed.UNKNOWN
    assert [lost.tokens for lost in harness.lost_requests] == [3]


async def test_unstreamed_answer_restarts_on_another_endpoint() -> None:
    chunk = link.Chunk(sequence=1, chunk=1, text="a", tokens=3)
    first = fakes.FakeLink("a", [chunk, LOST])
    second = fakes.FakeLink("b", [chunk, fakes.finished()])
    harness = fakes.DispatcherHarness((first, second))
    run = harness.dispatcher(fakes.FirstRouter()).run(
        fakes.plain_request(idempotent=True, streamed=False)
    )
    parts = [part async for part in run]
    assert parts == [chunk, _attempt.Restarted(), chunk, fakes.finished()]
    # The output of the failed attempt is billed, too.
    assert [lost.tokens for lost in harness.lost_requests] == [3]


@pytest.mark.parametrize(
    ("outcome", "executed"),
    [
        (link.CancelOutcome.NOT_STARTED, errors.Executed.NO),
        (link.CancelOutcome.STARTED, errors.Executed.UNKNOWN),
        (None, errors.Executed.UNKNOWN),
    ],
)
async def test_deadline_asks_the_agent_whether_the_request_started(
    outcome: link.CancelOutcome | None, executed: errors.Executed
) -> None:
    unresponsive = fakes.FakeLink("a", [])
    unresponsive.cancel_outcome = outcome
    dispatcher = fakes.DispatcherHarness((unresponsive,)).dispatcher()
    deadline_s = asyncio.get_running_loop().time() + 0.01
    with pytest.raises(errors.Refusal) as caught:
        await _at_most_once.final_event(
            dispatcher.run(fakes.plain_request(deadline_s))
        )
    assert caught.value.reason is errors.ErrorCode.DEADLINE_EXCEEDED
    assert caught.value.executed is executed


async def test_without_endpoints_the_request_is_refused_as_not_run() -> None:
    dispatcher = fakes.DispatcherHarness(()).dispatcher()
    with pytest.raises(errors.Refusal) as caught:
        await _at_most_once.final_event(dispatcher.run(fakes.plain_request()))
    assert caught.value.reason is errors.ErrorCode.NO_ENDPOINT
    assert caught.value.executed is errors.Executed.NO
    assert caught.value.retry_after_s is not None


@pytest.mark.parametrize(
    ("script", "handle"),
    [
        ([attrs.evolve(fakes.finished(), kv_handle="kv/1")], "kv/1"),
        ([fakes.refused(started=False)], ""),
        ([link.CallLost(sequence=1, started=True)], ""),
    ],
)
async def test_decode_continues_after_a_failed_prefill(
    script: fakes.Script, handle: str
) -> None:
    prefill = fakes.FakeLink("a", script)
    decode = fakes.FakeLink("b", [fakes.finished()])
    harness = fakes.DispatcherHarness((prefill, decode))
    dispatcher = harness.dispatcher(fakes.PrefillDecodeRouter())
    await _at_most_once.final_event(
        dispatcher.run(fakes.plain_request(idempotent=True))
    )
    assert [submit.prefill_only for submit in prefill.submitted] == [True]
    assert [submit.kv_handle for submit in decode.submitted] == [handle]


async def test_prefilled_prompt_tokens_count_as_computed() -> None:
    script: fakes.Script = [
        attrs.evolve(
            fakes.finished(),
            kv_handle="kv/1",
            prompt_tokens=70,
            cached_tokens=30,
        )
    ]
    end = attrs.evolve(fakes.finished(), prompt_tokens=2, cached_tokens=98)
    harness = fakes.DispatcherHarness(
        (fakes.FakeLink("a", script), fakes.FakeLink("b", [end]))
    )
    dispatcher = harness.dispatcher(fakes.PrefillDecodeRouter())
    last = await _at_most_once.final_event(
        dispatcher.run(fakes.plain_request())
    )
    assert (last.prompt_tokens, last.cached_tokens) == (70, 30)


#: Outcomes of the attempts that follow one that may have run.
LATER: list[fakes.Script] = [
    [fakes.refused(started=False)],
    [DOWN],
]


@pytest.mark.parametrize("later", LATER)
async def test_not_run_requires_that_no_attempt_ran(
    later: fakes.Script,
) -> None:
    started: fakes.Script = [fakes.refused(started=True)]
    only = fakes.FakeLink("a", started, later, later, later)
    dispatcher = fakes.DispatcherHarness((only,)).dispatcher()
    with pytest.raises(errors.Refusal) as caught:
        await _at_most_once.final_event(
            dispatcher.run(fakes.plain_request(idempotent=True))
        )
    assert len(only.submitted) > 1
    assert caught.value.executed is errors.Executed.UNKNOWN


async def test_not_run_is_not_reported_after_the_endpoint_is_removed() -> None:
    started: fakes.Script = [fakes.refused(started=True)]
    only = fakes.FakeLink("a", started)
    harness = fakes.DispatcherHarness((only,))
    dispatcher = harness.dispatcher()
    only.on_submit = lambda: dispatcher._tables.of(
        systems.EndpointView
    ).remove("a")
    with pytest.raises(errors.Refusal) as caught:
        await _at_most_once.final_event(
            dispatcher.run(fakes.plain_request(idempotent=True))
        )
    assert caught.value.reason is errors.ErrorCode.NO_ENDPOINT
    assert caught.value.executed is errors.Executed.UNKNOWN


@pytest.mark.parametrize(
    ("idempotent", "others", "moved"),
    [(True, 1, True), (True, 0, False), (False, 1, False)],
)
async def test_disconnected_link_is_abandoned_only_for_another_endpoint(
    idempotent: bool, others: int, moved: bool
) -> None:
    unresponsive = fakes.FakeLink("a", [])
    unresponsive.on_submit = lambda: setattr(unresponsive, "connected", False)
    other_links = [
        fakes.FakeLink(f"b{n}", [fakes.finished()]) for n in range(others)
    ]
    dispatcher = fakes.DispatcherHarness(
        (unresponsive, *other_links)
    ).dispatcher(fakes.FirstRouter())
    deadline_s = asyncio.get_running_loop().time() + 0.6
    run = dispatcher.run(
        fakes.plain_request(deadline_s, idempotent=idempotent)
    )
    if moved:
        assert (await _at_most_once.final_event(run)).body == b"ok"
        assert unresponsive.cancelled
    else:
        with pytest.raises(errors.Refusal) as caught:
            await _at_most_once.final_event(run)
        assert caught.value.reason is errors.ErrorCode.DEADLINE_EXCEEDED

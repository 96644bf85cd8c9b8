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

#: First endpoint's answer, whether the request is idempotent, and whether
#: it is tried at the second.
RETRIES: list[tuple[fakes.Script, bool, bool]] = [
    ([fakes.refused(started=False)], False, True),
    ([fakes.refused(started=True)], False, False),
    ([fakes.refused(started=True)], True, True),
    ([LOST], False, False),
    ([LOST], True, True),
    ([DOWN], False, True),
]


@pytest.mark.parametrize(("script", "idempotent", "retried"), RETRIES)
async def test_only_proof_or_idempotence_allows_a_retry(
    script: fakes.Script, idempotent: bool, retried: bool
) -> None:
    # Round robin starts at a seeded place: both answer alike at first.
    first = fakes.FakeLink("a", script, [fakes.done()])
    second = fakes.FakeLink("b", script, [fakes.done()])
    dispatcher = fakes.Bench((first, second)).dispatcher()
    run = dispatcher.run(fakes.plain_request(idempotent=idempotent))
    if retried:
        first._scripts[0] = second._scripts[0] = script
        assert (await _at_most_once.final_event(run)).body == b"ok"
    else:
        with pytest.raises(errors.Refusal) as caught:
            await _at_most_once.final_event(run)
        assert caught.value.executed is errors.Executed.UNKNOWN
        assert len(first.submitted) + len(second.submitted) == 1


async def test_each_try_has_a_number_of_its_own() -> None:
    script: fakes.Script = [fakes.refused(started=False)]
    only = fakes.FakeLink("a", script, script, [fakes.done()])
    dispatcher = fakes.Bench((only,)).dispatcher()
    await _at_most_once.final_event(dispatcher.run(fakes.plain_request()))
    numbers = [submit.number.sequence for submit in only.submitted]
    assert len(set(numbers)) == 3


async def test_no_retry_after_the_first_part() -> None:
    chunk = link.Chunk(sequence=1, chunk=1, text="a", tokens=3)
    first = fakes.FakeLink("a", [chunk, LOST])
    bench = fakes.Bench((first,))
    with pytest.raises(errors.Refusal) as caught:
        async for _ in bench.dispatcher().run(
            fakes.plain_request(idempotent=True)
        ):
            pass
    assert caught.value.executed is errors.Executed.UNKNOWN
    assert [lost.tokens for lost in bench.lost] == [3]


async def test_answer_that_is_not_streamed_begins_anew_elsewhere() -> None:
    chunk = link.Chunk(sequence=1, chunk=1, text="a", tokens=3)
    first = fakes.FakeLink("a", [chunk, LOST])
    second = fakes.FakeLink("b", [chunk, fakes.done()])
    bench = fakes.Bench((first, second))
    run = bench.dispatcher(fakes.FirstRouter()).run(
        fakes.plain_request(idempotent=True, streamed=False)
    )
    parts = [part async for part in run]
    assert parts == [chunk, _attempt.Restarted(), chunk, fakes.done()]
    # What ran is billed, as with every try.
    assert [lost.tokens for lost in bench.lost] == [3]


@pytest.mark.parametrize(
    ("outcome", "executed"),
    [
        (link.CancelOutcome.NOT_STARTED, errors.Executed.NO),
        (link.CancelOutcome.STARTED, errors.Executed.UNKNOWN),
        (None, errors.Executed.UNKNOWN),
    ],
)
async def test_deadline_asks_the_agent_whether_it_had_begun(
    outcome: link.CancelOutcome | None, executed: errors.Executed
) -> None:
    silent = fakes.FakeLink("a", [])
    silent.cancel_outcome = outcome
    dispatcher = fakes.Bench((silent,)).dispatcher()
    deadline_s = asyncio.get_running_loop().time() + 0.01
    with pytest.raises(errors.Refusal) as caught:
        await _at_most_once.final_event(
            dispatcher.run(fakes.plain_request(deadline_s))
        )
    assert caught.value.reason is errors.ErrorCode.DEADLINE_EXCEEDED
    assert caught.value.executed is executed


async def test_without_endpoints_nothing_runs() -> None:
    dispatcher = fakes.Bench(()).dispatcher()
    with pytest.raises(errors.Refusal) as caught:
        await _at_most_once.final_event(dispatcher.run(fakes.plain_request()))
    assert caught.value.reason is errors.ErrorCode.NO_ENDPOINT
    assert caught.value.executed is errors.Executed.NO
    assert caught.value.retry_after_s is not None


@pytest.mark.parametrize(
    ("script", "handle"),
    [
        ([attrs.evolve(fakes.done(), kv_handle="kv/1")], "kv/1"),
        ([fakes.refused(started=False)], ""),
        ([link.CallLost(sequence=1, started=True)], ""),
    ],
)
async def test_decoding_goes_on_without_a_failed_prefill(
    script: fakes.Script, handle: str
) -> None:
    prefill = fakes.FakeLink("a", script)
    decode = fakes.FakeLink("b", [fakes.done()])
    bench = fakes.Bench((prefill, decode))
    dispatcher = bench.dispatcher(fakes.PairRouter())
    await _at_most_once.final_event(
        dispatcher.run(fakes.plain_request(idempotent=True))
    )
    assert [submit.prefill_only for submit in prefill.submitted] == [True]
    assert [submit.kv_handle for submit in decode.submitted] == [handle]


async def test_prompt_counts_as_computed_where_it_was_prefilled() -> None:
    script: fakes.Script = [
        attrs.evolve(
            fakes.done(), kv_handle="kv/1", prompt_tokens=70, cached_tokens=30
        )
    ]
    end = attrs.evolve(fakes.done(), prompt_tokens=2, cached_tokens=98)
    bench = fakes.Bench(
        (fakes.FakeLink("a", script), fakes.FakeLink("b", [end]))
    )
    dispatcher = bench.dispatcher(fakes.PairRouter())
    last = await _at_most_once.final_event(
        dispatcher.run(fakes.plain_request())
    )
    assert (last.prompt_tokens, last.cached_tokens) == (70, 30)


#: What the tries after one that may have run end with.
LATER: list[fakes.Script] = [
    [fakes.refused(started=False)],
    [DOWN],
]


@pytest.mark.parametrize("later", LATER)
async def test_not_run_is_about_all_tries(later: fakes.Script) -> None:
    started: fakes.Script = [fakes.refused(started=True)]
    only = fakes.FakeLink("a", started, later, later, later)
    dispatcher = fakes.Bench((only,)).dispatcher()
    with pytest.raises(errors.Refusal) as caught:
        await _at_most_once.final_event(
            dispatcher.run(fakes.plain_request(idempotent=True))
        )
    assert len(only.submitted) > 1
    assert caught.value.executed is errors.Executed.UNKNOWN


async def test_not_run_is_not_said_once_the_endpoint_has_gone() -> None:
    started: fakes.Script = [fakes.refused(started=True)]
    only = fakes.FakeLink("a", started)
    bench = fakes.Bench((only,))
    dispatcher = bench.dispatcher()
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
async def test_request_leaves_a_silent_link_only_for_another_endpoint(
    idempotent: bool, others: int, moved: bool
) -> None:
    silent = fakes.FakeLink("a", [])
    silent.on_submit = lambda: setattr(silent, "connected", False)
    rest = [fakes.FakeLink(f"b{n}", [fakes.done()]) for n in range(others)]
    dispatcher = fakes.Bench((silent, *rest)).dispatcher(fakes.FirstRouter())
    deadline_s = asyncio.get_running_loop().time() + 0.6
    run = dispatcher.run(
        fakes.plain_request(deadline_s, idempotent=idempotent)
    )
    if moved:
        assert (await _at_most_once.final_event(run)).body == b"ok"
        assert silent.cancelled
    else:
        with pytest.raises(errors.Refusal) as caught:
            await _at_most_once.final_event(run)
        assert caught.value.reason is errors.ErrorCode.DEADLINE_EXCEEDED

import asyncio
import time
import typing

import pytest

from bilberrydeal import link
from bilberrydeal import ports
from bilberrydeal.agent import _drivers
from bilberrydeal.agent import _meter
from bilberrydeal.link.tests import harness

from . import fakes


def work_of(
    parts: list[object], **fields: typing.Any
) -> tuple[link.Work, _meter.Meter]:
    """Return a request that adds to ``parts``."""
    work = link.Work(
        harness.submit(1, max_tokens=4, prompt_tokens=10, **fields),
        time.monotonic(),
        lambda _, part: parts.append(part),
    )
    return work, _meter.Meter()


def engine(**fields: typing.Any) -> fakes.FakeEngine:
    made = fakes.FakeEngine(**fields)
    made.flowing.set()
    return made


@pytest.mark.parametrize("breaks", [[], [0], [2], [1, 2, 3], [2, 2, 2, 2]])
async def test_broken_stream_is_resumed(breaks: list[int]) -> None:
    parts: list[typing.Any] = []
    work, meter = work_of(parts)
    await _drivers.EngineDriver(engine(breaks=breaks)).run(work, meter)
    assert [part.text for part in parts[:-1]] == ["a", "b", "c", "d"]
    assert parts[-1] == link.Finished(
        sequence=1,
        chunk=5,
        status=200,
        finish_reason="stop",
        prompt_tokens=7,
        cached_tokens=3,
        output_tokens=4,
    )
    assert meter == _meter.Meter(7, 3, 4, 1)


def taken_over(
    parts: list[object], tokens: int, **fields: typing.Any
) -> tuple[link.Work, _meter.Meter]:
    """Return a request that a predecessor had."""
    asked = harness.submit(1, max_tokens=4, prompt_tokens=10, **fields)
    work = link.Work(
        asked,
        time.monotonic(),
        lambda _, part: parts.append(part),
        link.TakeOver(submit=asked, chunk=tokens, tokens=tokens),
    )
    return work, _meter.Meter()


@pytest.mark.parametrize("tokens", [0, 1, 4])
@pytest.mark.parametrize("breaks", [[], [3, 4]])
async def test_generation_of_a_predecessor_goes_on(
    tokens: int, breaks: list[int]
) -> None:
    parts: list[typing.Any] = []
    given = engine(breaks=list(breaks) if tokens < 3 else [])
    work, meter = taken_over(parts, tokens)
    await _drivers.EngineDriver(given).run(work, meter)
    assert given.generated == []
    assert given.resumed[0] == ("a-1", tokens)
    text = [part.text for part in parts[:-1]]
    assert text == ["a", "b", "c", "d"][tokens:]
    assert parts[-1].chunk == 5
    assert parts[-1].output_tokens == 4
    assert meter == _meter.Meter(7, 3, 4, 1)


async def test_prompt_handed_over_is_not_counted_by_a_successor() -> None:
    """Its predecessor fetched the KV cache, as far as anybody knows."""
    work, meter = taken_over([], 2, kv_handle="kv/x")
    await _drivers.EngineDriver(engine()).run(work, meter)
    assert meter.cached_tokens == 0


#: Tokens passed on of a generation that the engine knows no longer, and
#: what is counted: it begins anew only if none were.
FORGOTTEN = [
    (0, True, _meter.Meter(7, 3, 4, 1)),
    (2, False, _meter.Meter(0, 0, 2, 1)),
]


@pytest.mark.parametrize(("tokens", "anew", "counted"), FORGOTTEN)
async def test_generation_that_the_engine_lost(
    tokens: int, anew: bool, counted: _meter.Meter
) -> None:
    given = engine(forgetful=True)
    work, meter = taken_over([], tokens)
    driver = _drivers.EngineDriver(given)
    if anew:
        await driver.run(work, meter)
    else:
        with pytest.raises(ports.EngineFailure):
            await driver.run(work, meter)
    assert len(given.generated) == int(anew)
    assert len(given.resumed) == 1
    assert work.started
    assert meter == counted


async def test_generation_that_was_ended_early_is_no_answer() -> None:
    parts: list[typing.Any] = []
    work, meter = taken_over(parts, 2)
    driver = _drivers.EngineDriver(engine(cancelled=["a-1"]))
    with pytest.raises(ports.EngineFailure):
        await driver.run(work, meter)
    assert not any(isinstance(part, link.Finished) for part in parts)
    assert meter.prompt_tokens == 0


async def test_stream_that_brings_nothing_more_is_given_up() -> None:
    work, meter = work_of([])
    breaks = [2] * (1 + _drivers.RESUME_ATTEMPTS)
    driver = _drivers.EngineDriver(engine(breaks=breaks))
    with pytest.raises(ports.EngineFailure):
        await driver.run(work, meter)
    assert work.started
    assert meter == _meter.Meter(10, 0, 2, 1)


async def test_request_that_was_not_admitted_has_not_started() -> None:
    work, meter = work_of([])
    with pytest.raises(ports.EngineFailure):
        await _drivers.EngineDriver(engine(not_admitted=1)).run(work, meter)
    assert not work.started
    assert meter == _meter.Meter()


@pytest.mark.parametrize(
    ("fails", "handle", "cached_tokens"), [(False, "kv/x", 0), (True, "", 3)]
)
async def test_kv_cache_is_fetched_or_computed_again(
    fails: bool, handle: str, cached_tokens: int
) -> None:
    given = engine(import_fails=fails)
    work, meter = work_of([], kv_handle="kv/x")
    await _drivers.EngineDriver(given).run(work, meter)
    assert given.generated[0].kv_handle == handle
    assert meter.cached_tokens == cached_tokens


async def test_prefill_only_exports_and_bills_no_output() -> None:
    parts: list[typing.Any] = []
    work, meter = work_of(parts, prefill_only=True)
    await _drivers.EngineDriver(engine(words=("a",))).run(work, meter)
    assert [part.kv_handle for part in parts] == ["kv/a-1"]
    assert meter == _meter.Meter(7, 3, 0, 0)


async def test_cancelled_generation_ends_at_the_engine_and_is_billed() -> None:
    parts: list[typing.Any] = []
    work, meter = work_of(parts)
    given = fakes.FakeEngine()
    running = asyncio.create_task(
        _drivers.EngineDriver(given).run(work, meter)
    )
    await harness.until(lambda: len(parts) == 4)
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert given.cancelled == ["a-1"]
    assert meter == _meter.Meter(7, 3, 4, 1)


@pytest.mark.parametrize("started", [False, True])
async def test_plain_call_is_made_once(started: bool) -> None:
    service = fakes.FakePlain(failure=ports.PlainFailure(started=started))
    work, meter = work_of([], idempotent=False)
    with pytest.raises(ports.PlainFailure):
        await _drivers.PlainDriver(service).run(work, meter)
    assert work.started == started
    assert meter == _meter.Meter()
    assert len(service.calls) == 1


async def test_plain_call_carries_organisation_and_number() -> None:
    parts: list[typing.Any] = []
    service = fakes.FakePlain()
    service.flowing.set()
    work, meter = work_of(parts, method="POST", path="/deposits", body=b"{}")
    await _drivers.PlainDriver(service).run(work, meter)
    (call,) = service.calls
    assert (call.request_id, call.organisation) == ("a-1", "russo")
    assert (parts[0].status, parts[0].body) == (201, b"receipt")

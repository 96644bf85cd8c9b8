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


def make_work(
    parts: list[object], **fields: typing.Any
) -> tuple[link.Work, _meter.Meter]:
    """Return a request whose response parts are added to ``parts``."""
    work = link.Work(
        harness.submit(1, max_tokens=4, prompt_tokens=10, **fields),
        time.monotonic(),
        lambda _, part: parts.append(part),
    )
    return work, _meter.Meter()


def make_engine(**fields: typing.Any) -> fakes.FakeEngine:
    engine = fakes.FakeEngine(**fields)
    engine.released.set()
    return engine


@pytest.mark.parametrize("breaks", [[], [0], [2], [1, 2, 3], [2, 2, 2, 2]])
async def test_broken_stream_is_resumed(breaks: list[int]) -> None:
    parts: list[typing.Any] = []
    work, meter = make_work(parts)
    await _drivers.EngineDriver(make_engine(breaks=breaks)).run(work, meter)
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


def make_resumed_work(
    parts: list[object], tokens: int, **fields: typing.Any
) -> tuple[link.Work, _meter.Meter]:
    """Return a request taken over from a previous agent process."""
    submit = harness.submit(1, max_tokens=4, prompt_tokens=10, **fields)
    work = link.Work(
        submit,
        time.monotonic(),
        lambda _, part: parts.append(part),
        link.TakeOver(submit=submit, chunk=tokens, tokens=tokens),
    )
    return work, _meter.Meter()


@pytest.mark.parametrize("tokens", [0, 1, 4])
@pytest.mark.parametrize("breaks", [[], [3, 4]])
async def test_generation_of_a_predecessor_is_resumed(
    tokens: int, breaks: list[int]
) -> None:
    parts: list[typing.Any] = []
    engine = make_engine(breaks=list(breaks) if tokens < 3 else [])
    work, meter = make_resumed_work(parts, tokens)
    await _drivers.EngineDriver(engine).run(work, meter)
    assert engine.generated == []
    assert engine.resumed[0] == ("a-1", tokens)
    text = [part.text for part in parts[:-1]]
    assert text == ["a", "b", "c", "d"][tokens:]
    assert parts[-1].chunk == 5
    assert parts[-1].output_tokens == 4
    assert meter == _meter.Meter(7, 3, 4, 1)


async def test_imported_prompt_is_not_counted_after_take_over() -> None:
    """The previous process is assumed to have imported the KV cache."""
    work, meter = make_resumed_work([], 2, kv_handle="kv/x")
    await _drivers.EngineDriver(make_engine()).run(work, meter)
    assert meter.cached_tokens == 0


#: Tokens delivered of a generation that the engine no longer knows, whether it
#: is restarted (only if none were delivered), and the usage counted.
UNKNOWN_GENERATIONS = [
    (0, True, _meter.Meter(7, 3, 4, 1)),
    (2, False, _meter.Meter(0, 0, 2, 1)),
]


@pytest.mark.parametrize(("tokens", "anew", "counted"), UNKNOWN_GENERATIONS)
async def test_take_over_of_a_generation_unknown_to_the_engine(
    tokens: int, anew: bool, counted: _meter.Meter
) -> None:
    engine = make_engine(forgets_generations=True)
    work, meter = make_resumed_work([], tokens)
    driver = _drivers.EngineDriver(engine)
    if anew:
        await driver.run(work, meter)
    else:
        with pytest.raises(ports.EngineFailure):
            await driver.run(work, meter)
    assert len(engine.generated) == int(anew)
    assert len(engine.resumed) == 1
    assert work.started
    assert meter == counted


async def test_take_over_of_a_cancelled_generation_fails() -> None:
    parts: list[typing.Any] = []
    work, meter = make_resumed_work(parts, 2)
    driver = _drivers.EngineDriver(make_engine(cancelled=["a-1"]))
    with pytest.raises(ports.EngineFailure):
        await driver.run(work, meter)
    assert not any(isinstance(part, link.Finished) for part in parts)
    assert meter.prompt_tokens == 0


async def test_resuming_stops_without_new_tokens() -> None:
    work, meter = make_work([])
    breaks = [2] * (1 + _drivers.RESUME_ATTEMPTS)
    driver = _drivers.EngineDriver(make_engine(breaks=breaks))
    with pytest.raises(ports.EngineFailure):
        await driver.run(work, meter)
    assert work.started
    assert meter == _meter.Meter(10, 0, 2, 1)


async def test_request_not_admitted_is_not_started() -> None:
    work, meter = make_work([])
    with pytest.raises(ports.EngineFailure):
        await _drivers.EngineDriver(make_engine(not_admitted=1)).run(
            work, meter
        )
    assert not work.started
    assert meter == _meter.Meter()


@pytest.mark.parametrize(
    ("fails", "handle", "cached_tokens"), [(False, "kv/x", 0), (True, "", 3)]
)
async def test_kv_cache_is_imported_or_recomputed(
    fails: bool, handle: str, cached_tokens: int
) -> None:
    engine = make_engine(import_fails=fails)
    work, meter = make_work([], kv_handle="kv/x")
    await _drivers.EngineDriver(engine).run(work, meter)
    assert engine.generated[0].kv_handle == handle
    assert meter.cached_tokens == cached_tokens


async def test_prefill_only_exports_kv_and_counts_no_output() -> None:
    parts: list[typing.Any] = []
    work, meter = make_work(parts, prefill_only=True)
    await _drivers.EngineDriver(make_engine(tokens=("a",))).run(work, meter)
    assert [part.kv_handle for part in parts] == ["kv/a-1"]
    assert meter == _meter.Meter(7, 3, 0, 0)


async def test_cancel_reaches_the_engine_and_usage_is_counted() -> None:
    parts: list[typing.Any] = []
    work, meter = make_work(parts)
    engine = fakes.FakeEngine()
    running = asyncio.create_task(
        _drivers.EngineDriver(engine).run(work, meter)
    )
    await harness.until(lambda: len(parts) == 4)
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert engine.cancelled == ["a-1"]
    assert meter == _meter.Meter(7, 3, 4, 1)


@pytest.mark.parametrize("started", [False, True])
async def test_failed_plain_call_is_not_retried(started: bool) -> None:
    """A plain call may have an effect even if it fails."""
    service = fakes.FakePlain(failure=ports.PlainFailure(started=started))
    work, meter = make_work([], idempotent=False)
    with pytest.raises(ports.PlainFailure):
        await _drivers.PlainDriver(service).run(work, meter)
    assert work.started == started
    assert meter == _meter.Meter()
    assert len(service.calls) == 1


async def test_plain_call_includes_organisation_and_request_id() -> None:
    parts: list[typing.Any] = []
    service = fakes.FakePlain()
    service.released.set()
    work, meter = make_work(parts, method="POST", path="/deposits", body=b"{}")
    await _drivers.PlainDriver(service).run(work, meter)
    (call,) = service.calls
    assert (call.request_id, call.organisation) == ("a-1", "russo")
    assert (parts[0].status, parts[0].body) == (201, b"receipt")

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


def make_execution(
    parts: list[object], **fields: typing.Any
) -> tuple[link.RequestExecution, _meter.Meter]:
    """Return a request whose response parts are added to ``parts``."""
    execution = link.RequestExecution(
        harness.make_submit(1, max_tokens=4, prompt_tokens=10, **fields),
        time.monotonic(),
        lambda _, part: parts.append(part),
    )
    return execution, _meter.Meter()


def make_engine(**fields: typing.Any) -> fakes.FakeEngine:
    engine = fakes.FakeEngine(**fields)
    engine.released.set()
    return engine


@pytest.mark.parametrize("breaks", [[], [0], [2], [1, 2, 3], [2, 2, 2, 2]])
async def test_broken_stream_is_resumed(breaks: list[int]) -> None:
    parts: list[typing.Any] = []
    execution, meter = make_execution(parts)
    await _drivers.EngineDriver(make_engine(breaks=breaks)).run(
        execution, meter
    )
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


def make_resumed_execution(
    parts: list[object], tokens: int, **fields: typing.Any
) -> tuple[link.RequestExecution, _meter.Meter]:
    """Return a request taken over from a previous agent process."""
    submit = harness.make_submit(1, max_tokens=4, prompt_tokens=10, **fields)
    execution = link.RequestExecution(
        submit,
        time.monotonic(),
        lambda _, part: parts.append(part),
        link.TakeOver(submit=submit, chunk=tokens, tokens=tokens),
    )
    return execution, _meter.Meter()


@pytest.mark.parametrize("tokens", [0, 1, 4])
@pytest.mark.parametrize("breaks", [[], [3, 4]])
async def test_generation_of_a_predecessor_is_resumed(
    tokens: int, breaks: list[int]
) -> None:
    parts: list[typing.Any] = []
    engine = make_engine(breaks=list(breaks) if tokens < 3 else [])
    execution, meter = make_resumed_execution(parts, tokens)
    await _drivers.EngineDriver(engine).run(execution, meter)
    assert engine.generated == []
    assert engine.resumed[0] == ("a-1", tokens)
    text = [part.text for part in parts[:-1]]
    assert text == ["a", "b", "c", "d"][tokens:]
    assert parts[-1].chunk == 5
    assert parts[-1].output_tokens == 4
    assert meter == _meter.Meter(7, 3, 4, 1)


async def test_imported_prompt_is_not_counted_after_take_over() -> None:
    """The previous process is assumed to have imported the KV cache."""
    execution, meter = make_resumed_execution([], 2, kv_handle="kv/x")
    await _drivers.EngineDriver(make_engine()).run(execution, meter)
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
    execution, meter = make_resumed_execution([], tokens)
    driver = _drivers.EngineDriver(engine)
    if anew:
        await driver.run(execution, meter)
    else:
        with pytest.raises(ports.EngineFailure):
            await driver.run(execution, meter)
    assert len(engine.generated) == int(anew)
    assert len(engine.resumed) == 1
    assert execution.started
    assert meter == counted


async def test_take_over_of_a_cancelled_generation_fails() -> None:
    parts: list[typing.Any] = []
    execution, meter = make_resumed_execution(parts, 2)
    driver = _drivers.EngineDriver(make_engine(cancelled=["a-1"]))
    with pytest.raises(ports.EngineFailure):
        await driver.run(execution, meter)
    assert not any(isinstance(part, link.Finished) for part in parts)
    assert meter.prompt_tokens == 0


async def test_resuming_stops_without_new_tokens() -> None:
    execution, meter = make_execution([])
    breaks = [2] * (1 + _drivers.RESUME_ATTEMPTS)
    driver = _drivers.EngineDriver(make_engine(breaks=breaks))
    with pytest.raises(ports.EngineFailure):
        await driver.run(execution, meter)
    assert execution.started
    assert meter == _meter.Meter(10, 0, 2, 1)


async def test_request_not_admitted_is_not_started() -> None:
    execution, meter = make_execution([])
    with pytest.raises(ports.EngineFailure):
        await _drivers.EngineDriver(make_engine(not_admitted=1)).run(
            execution, meter
        )
    assert not execution.started
    assert meter == _meter.Meter()


@pytest.mark.parametrize(
    ("fails", "handle", "cached_tokens"), [(False, "kv/x", 0), (True, "", 3)]
)
async def test_kv_cache_is_imported_or_recomputed(
    fails: bool, handle: str, cached_tokens: int
) -> None:
    engine = make_engine(import_fails=fails)
    execution, meter = make_execution([], kv_handle="kv/x")
    await _drivers.EngineDriver(engine).run(execution, meter)
    assert engine.generated[0].kv_handle == handle
    assert meter.cached_tokens == cached_tokens


async def test_prefill_only_exports_kv_and_counts_no_output() -> None:
    parts: list[typing.Any] = []
    execution, meter = make_execution(parts, prefill_only=True)
    await _drivers.EngineDriver(make_engine(tokens=("a",))).run(
        execution, meter
    )
    assert [part.kv_handle for part in parts] == ["kv/a-1"]
    assert meter == _meter.Meter(7, 3, 0, 0)


async def test_cancel_reaches_the_engine_and_usage_is_counted() -> None:
    parts: list[typing.Any] = []
    execution, meter = make_execution(parts)
    engine = fakes.FakeEngine()
    running = asyncio.create_task(
        _drivers.EngineDriver(engine).run(execution, meter)
    )
    await harness.wait_until(lambda: len(parts) == 4)
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert engine.cancelled == ["a-1"]
    assert meter == _meter.Meter(7, 3, 4, 1)


@pytest.mark.parametrize("started", [False, True])
async def test_failed_plain_call_is_not_retried(started: bool) -> None:
    """A plain call may have an effect even if it fails."""
    service = fakes.FakePlain(failure=ports.PlainFailure(started=started))
    execution, meter = make_execution([], idempotent=False)
    with pytest.raises(ports.PlainFailure):
        await _drivers.PlainDriver(service).run(execution, meter)
    assert execution.started == started
    assert meter == _meter.Meter()
    assert len(service.calls) == 1


async def test_plain_call_includes_organisation_and_request_id() -> None:
    parts: list[typing.Any] = []
    service = fakes.FakePlain()
    service.released.set()
    execution, meter = make_execution(
        parts, method="POST", path="/deposits", body=b"{}"
    )
    await _drivers.PlainDriver(service).run(execution, meter)
    (call,) = service.calls
    assert (call.request_id, call.organisation) == ("a-1", "russo")
    assert (parts[0].status, parts[0].body) == (201, b"receipt")

"""Tests of the adapters against the stand-ins over real connections."""

import asyncio
import collections.abc
import contextlib

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import attrs
import pytest

from bilberrydeal import adapters
from bilberrydeal import errors
from bilberrydeal import ports
from standins import engine
from standins import Journal
from standins import plain
from standins import platform

#: Generous timeout of one call.
TIMEOUT_S = 10.0


@contextlib.asynccontextmanager
async def serving(
    app: web.Application,
) -> collections.abc.AsyncIterator[tuple[aiohttp.ClientSession, str]]:
    async with (
        test_utils.TestServer(app) as server,
        adapters.open_session(0) as session,
    ):
        yield session, f"http://127.0.0.1:{server.port}"


def build_platform_app() -> web.Application:
    return platform.build(platform.PlatformLimits(), Journal())


async def set_fault(
    session: aiohttp.ClientSession, url: str, **fault: object
) -> None:
    await session.post(f"{url}/control", json=fault)


def make_transaction(key: str, version: int = 0) -> ports.Transaction:
    return ports.Transaction(
        checks=(ports.Check("t", key, version),),
        writes=(ports.Write("t", key, b"\x00v"),),
    )


async def test_table_commit_read_scan_and_conflict() -> None:
    async with serving(build_platform_app()) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        committed = await table.commit(make_transaction("a/1"), TIMEOUT_S)
        await table.commit(make_transaction("a/2"), TIMEOUT_S)
        await table.commit(make_transaction("b/1"), TIMEOUT_S)
        keys = (ports.RowKey("t", "a/1"), ports.RowKey("t", "none"))
        row, none = await table.read(keys, TIMEOUT_S)
        scanned = await table.scan("t", "a/", "a/1", 10, TIMEOUT_S)
        with pytest.raises(errors.TableConflict) as conflict:
            await table.commit(make_transaction("a/1"), TIMEOUT_S)
    assert row is not None
    assert (row.value, row.version) == (b"\x00v", committed.versions[0])
    assert none is None
    assert [found.key for found in scanned] == ["a/2"]
    assert conflict.value.found_version == row.version


@pytest.mark.parametrize(
    ("fault", "expected", "takes_effect"),
    [
        ({"down": True}, errors.StoreUnavailable, False),
        ({"silent": True}, errors.OutcomeUnknown, False),
        ({"lose_answers": 1}, errors.OutcomeUnknown, True),
    ],
)
async def test_commit_under_faults(
    fault: dict[str, object],
    expected: type[errors.BilberrydealError],
    takes_effect: bool,
) -> None:
    async with serving(build_platform_app()) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        await set_fault(session, url, service="tables", **fault)
        with pytest.raises(expected):
            await table.commit(make_transaction("k"), 0.5)
        await set_fault(session, url)
        (row,) = await table.read((ports.RowKey("t", "k"),), TIMEOUT_S)
    assert (row is not None) == takes_effect


async def test_refused_connection_is_reported_as_no_effect() -> None:
    async with serving(build_platform_app()) as (session, url):
        unreachable = url.rsplit(":", 1)[0] + ":1"
        table = adapters.TABLES.get("http_json")(session, unreachable)
        with pytest.raises(errors.StoreUnavailable):
            await table.commit(make_transaction("k"), TIMEOUT_S)


async def test_rate_limited_commits_have_a_retry_delay() -> None:
    limits = platform.PlatformLimits(writes_per_s=5.0)
    async with serving(platform.build(limits, Journal())) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        commits = (
            table.commit(make_transaction(str(number)), TIMEOUT_S)
            for number in range(100)
        )
        results = await asyncio.gather(*commits, return_exceptions=True)
    refused = [
        result
        for result in results
        if isinstance(result, errors.StoreUnavailable)
    ]
    assert refused
    assert all(error.retry_after_s for error in refused)


async def test_objects_round_trip() -> None:
    async with serving(build_platform_app()) as (session, url):
        objects = adapters.OBJECTS.get("http_json")(session, url)
        await objects.put("a/b c", b"data", TIMEOUT_S)
        assert await objects.get("a/b c", TIMEOUT_S) == b"data"
        await objects.delete("a/b c", TIMEOUT_S)
        assert await objects.get("a/b c", TIMEOUT_S) is None


async def test_purchase_is_idempotent_and_stale_fences_are_refused() -> None:
    order = ports.PurchaseOrder("o1", "d1", 2, "m", fence=5)
    async with serving(build_platform_app()) as (session, url):
        endpoints = adapters.ENDPOINTS.get("http_json")(session, url)
        await endpoints.purchase(order, TIMEOUT_S)
        await endpoints.purchase(order, TIMEOUT_S)
        with pytest.raises(errors.StoreUnavailable):
            await endpoints.purchase(
                attrs.evolve(order, order_id="o2", fence=4), TIMEOUT_S
            )
        listed = await endpoints.endpoints("d1", TIMEOUT_S)
        await endpoints.release(
            ports.ReleaseOrder("o3", "d1", listed[0].endpoint_id, 5),
            TIMEOUT_S,
        )
        after = await endpoints.endpoints("d1", TIMEOUT_S)
    assert [record.state for record in listed] == ["ordered", "ordered"]
    assert [record.state for record in after] == ["leaving", "ordered"]


async def test_usage_report_with_other_figures_is_refused() -> None:
    figures = ports.OrganisationFigures(calls=1)
    report = ports.UsageReport("r", 60, 60, "o", figures, fence=1)
    async with serving(build_platform_app()) as (session, url):
        usage = adapters.USAGE.get("http_json")(session, url)
        await usage.report(report, TIMEOUT_S)
        await usage.report(report, TIMEOUT_S)
        with pytest.raises(ports.ReportConflict):
            await usage.report(
                attrs.evolve(report, figures=ports.OrganisationFigures()),
                TIMEOUT_S,
            )


async def test_weights_are_rate_limited() -> None:
    limits = platform.PlatformLimits(admits_per_s=1.0)
    async with serving(platform.build(limits, Journal())) as (session, url):
        weights = adapters.WEIGHTS.get("http_json")(session, url)
        hosts = adapters.HOSTS.get("http_json")(session, url)
        await weights.admit("m", "1", TIMEOUT_S)
        with pytest.raises(ports.WeightsBusy):
            await weights.admit("m", "1", TIMEOUT_S)
        assert await hosts.hosts(TIMEOUT_S) == ()


@contextlib.asynccontextmanager
async def engine_serving(
    **options: object,
) -> collections.abc.AsyncIterator[ports.Engine]:
    rates = engine.Rates(step_s=0.001)
    started = engine.EngineApp(
        Journal(),
        "m",
        rates,
        change_s=0.01,
        **options,  # type: ignore[arg-type]
    )
    async with serving(engine.build(started)) as (session, url):
        yield adapters.ENGINES.get("openai_http")(session, url)


REQUEST = ports.EngineRequest("r1", "m", "p" * 200, max_tokens=40)


async def collect(
    events: collections.abc.AsyncIterator[ports.EngineEvent],
) -> tuple[str, ports.EngineEvent]:
    parts = [event async for event in events]
    return "".join(event.text for event in parts), parts[-1]


async def test_engine_streams_caches_and_resumes() -> None:
    async with engine_serving() as client:
        text, last = await collect(client.generate(REQUEST, TIMEOUT_S))
        resumed_text, _ = await collect(client.resume("r1", 30, TIMEOUT_S))
        second_request = attrs.evolve(REQUEST, request_id="r2")
        _, cached = await collect(client.generate(second_request, TIMEOUT_S))
    full_text = engine.answer(REQUEST.prompt, 40)
    assert text == full_text
    assert last.finish_reason == "length"
    assert (last.prompt_tokens, last.cached_tokens) == (50, 0)
    assert resumed_text == full_text[-len(resumed_text) :]
    assert resumed_text.count(" ") == 10
    assert (cached.prompt_tokens, cached.cached_tokens) == (2, 48)


async def test_engine_cancels_generation() -> None:
    request = attrs.evolve(REQUEST, max_tokens=100_000)
    async with engine_serving() as client:
        events = client.generate(request, TIMEOUT_S)
        await anext(events)
        assert await client.running(TIMEOUT_S) == ("r1",)
        await client.cancel("r1", TIMEOUT_S)
        assert await client.running(TIMEOUT_S) == ()
        _, last = await collect(events)
        await client.cancel("unknown", TIMEOUT_S)
    assert last.finish_reason == "cancelled"


@pytest.mark.parametrize("checks", [True, False])
async def test_engine_applies_orders_and_checks_fencing(checks: bool) -> None:
    order = ports.EngineOrder(3, 7, ports.EngineRole.PREFILL, "m")
    old = attrs.evolve(order, order_version=2, fence=6)
    async with engine_serving(checks_fencing=checks) as client:
        applied = await client.apply(order, TIMEOUT_S)
        refused = contextlib.nullcontext()
        with pytest.raises(ports.OrderRefused) if checks else refused:
            await client.apply(old, TIMEOUT_S)
        state = await client.state(TIMEOUT_S)
    assert (applied.order_version, applied.changing) == (3, False)
    assert state.order_version == (3 if checks else 2)


@pytest.mark.parametrize("checks", [True, False])
async def test_order_with_stale_expected_count_is_refused(
    checks: bool,
) -> None:
    order = ports.EngineOrder(3, 7, ports.EngineRole.PREFILL, "m")
    late = attrs.evolve(order, order_version=2, fence=7, expected_taken=0)
    async with engine_serving(checks_fencing=checks) as client:
        await client.apply(order, TIMEOUT_S)
        with pytest.raises(ports.OrderRefused):
            await client.apply(late, TIMEOUT_S)
        state = await client.state(TIMEOUT_S)
        assert (state.order_version, state.orders_taken) == (3, 1)
        next_order = attrs.evolve(order, order_version=4, expected_taken=1)
        assert (await client.apply(next_order, TIMEOUT_S)).order_version == 4


async def test_engine_exports_and_imports_kv() -> None:
    async with engine_serving() as prefill, engine_serving() as decode:
        first = attrs.evolve(REQUEST, max_tokens=0)
        await collect(prefill.generate(first, TIMEOUT_S))
        handle = await prefill.export_kv("r1", TIMEOUT_S)
        await decode.import_kv(handle, TIMEOUT_S)
        request = attrs.evolve(REQUEST, kv_handle=handle)
        text, last = await collect(decode.generate(request, TIMEOUT_S))
    assert text == engine.answer(REQUEST.prompt, 40)
    assert last.prompt_tokens == 0


async def test_engine_failure_reports_whether_work_started() -> None:
    async with adapters.open_session(0) as session:
        client = adapters.ENGINES.get("openai_http")(
            session, "http://127.0.0.1:1"
        )
        with pytest.raises(ports.EngineFailure) as refused:
            await collect(client.generate(REQUEST, TIMEOUT_S))
    async with engine_serving() as client:
        other = attrs.evolve(REQUEST, model="other")
        with pytest.raises(ports.EngineFailure) as unknown:
            await collect(client.generate(other, TIMEOUT_S))
        slow = attrs.evolve(REQUEST, max_tokens=100_000)
        with pytest.raises(ports.EngineFailure) as late:
            await collect(client.generate(slow, 0.5))
    started = [error.value.started for error in (refused, unknown, late)]
    assert started == [False, False, True]


PLAIN_REQUEST = ports.PlainRequest(
    "r", "PUT", "/deposit?x=1", "o", "text/plain", b"b"
)


async def test_plain_service_is_called_once() -> None:
    app = plain.build(Journal(), plain.Control())
    async with serving(app) as (session, url):
        client = adapters.PLAIN.get("http")(session, url)
        response = await client.call(PLAIN_REQUEST, TIMEOUT_S)
        record = await (await session.get(f"{url}/record")).json()
    assert response.status == 200
    assert b'"execution":1' in response.body
    assert [event["organisation"] for event in record] == ["o"]


async def test_plain_call_with_lost_response_is_not_retried() -> None:
    calls = 0

    async def abort_connection(request: web.Request) -> web.Response:
        nonlocal calls
        calls += 1
        assert request.transport is not None
        request.transport.abort()
        return web.Response()

    app = web.Application()
    app.router.add_put("/deposit", abort_connection)
    async with serving(app) as (session, url):
        client = adapters.PLAIN.get("http")(session, url)
        with pytest.raises(ports.PlainFailure) as lost:
            await client.call(PLAIN_REQUEST, TIMEOUT_S)
        unreachable = adapters.PLAIN.get("http")(session, "http://127.0.0.1:1")
        with pytest.raises(ports.PlainFailure) as refused:
            await unreachable.call(PLAIN_REQUEST, TIMEOUT_S)
    assert (calls, lost.value.started, refused.value.started) == (
        1,
        True,
        False,
    )

"""Responses to requests for plain services, by the outcome of each send."""

import asyncio
import typing

import pytest

from . import configurations
from . import harness
from . import scripted


async def _ok(call: scripted.Call) -> bytes:
    return scripted.signed_response(call)


async def _failure(call: scripted.Call) -> bytes:
    return scripted.signed_response(call, 500, b"sorry")


async def _not_run(call: scripted.Call) -> bytes:
    return scripted.not_run(call)


async def _misdirected(call: scripted.Call) -> bytes:
    return scripted.not_run(call, 421)


async def _reset(_call: scripted.Call) -> None:
    return None


async def _unproven_503(call: scripted.Call) -> bytes:
    return (
        b"HTTP/1.1 503 X\r\nrequest-id: %b\r\ncontent-length: 0\r\n\r\n"
        % call.request_id
    )


async def _unsigned(call: scripted.Call) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\ncontent-length: 2\r\n\r\nok"
        % call.request_id
    )


async def _encoded(call: scripted.Call) -> bytes:
    return scripted.signed_response(call, content_encoding="gzip")


async def _truncated(call: scripted.Call) -> bytes | None:
    call.writer.write(scripted.signed_response(call, body=b"long body")[:-3])
    return None


async def _silent(_call: scripted.Call) -> bytes:
    await asyncio.sleep(30.0)
    return b""


#: Script of the first endpoint, path, expected status, expected sends, and
#: whether the response proves with a Retry-After that the request did not run.
TABLE: list[tuple[typing.Any, str, int, int, bool]] = [
    (_ok, "/once/", 200, 1, False),
    (_failure, "/once/", 500, 1, False),
    (_failure, "/read/", 200, 2, False),
    (_failure, "/read-one/", 500, 1, False),
    (_not_run, "/once/", 200, 2, False),
    (_not_run, "/once-one/", 503, 1, True),
    (_not_run, "/read/", 200, 2, False),
    (_misdirected, "/once/", 200, 2, False),
    (_misdirected, "/once-one/", 503, 1, True),
    (_reset, "/once/", 502, 1, False),
    (_reset, "/read/", 200, 2, False),
    (_reset, "/read-one/", 502, 1, False),
    (_unproven_503, "/once/", 502, 1, False),
    (_unproven_503, "/read/", 200, 2, False),
    (_unsigned, "/once/", 502, 1, False),
    (_unsigned, "/read/", 200, 2, False),
    (_encoded, "/once/", 502, 1, False),
    (_truncated, "/once/", 502, 1, False),
    (_truncated, "/read/", 200, 2, False),
    (_silent, "/brief/", 504, 1, False),
]


@pytest.mark.parametrize(
    ("script", "path", "status", "sends", "retry_after_expected"),
    TABLE,
    ids=[f"{row[0].__name__[1:]} {row[1]}" for row in TABLE],
)
async def test_response_follows_the_outcome_of_each_send(
    script: scripted.Script,
    path: str,
    status: int,
    sends: int,
    retry_after_expected: bool,
) -> None:
    calls = 0

    async def first_fails(call: scripted.Call) -> bytes | None:
        nonlocal calls
        calls += 1
        return await (script if calls == 1 else _ok)(call)

    endpoints = [scripted.plain(f"e{n}", first_fails) for n in range(3)]
    async with harness.running(*endpoints) as running:
        reply = await running.send(path + "1")
    assert reply.status == status
    assert reply.complete
    assert sum(len(each.calls) for each in endpoints) == sends
    assert (reply.field("retry-after") is not None) == retry_after_expected
    assert (reply.field("server-signature") is None) == (
        status in (502, 503, 504)
    )


async def test_timeout_after_a_send_is_not_reported_as_not_run() -> None:
    """Guards against a 503 for a run that exceeds the route's timeout."""
    endpoint = scripted.plain("e1", _silent)
    async with harness.running(endpoint) as running:
        reply = await running.send("/once/1", deadline_ms=150)
    assert reply.status == 504
    assert len(endpoint.calls) == 1


async def test_refusal_without_endpoints_has_a_retry_after() -> None:
    async with harness.running() as running:
        reply = await running.send("/once/1")
    assert reply.status == 503
    assert reply.field("retry-after") is not None


async def test_headers_forwarded_to_an_endpoint() -> None:
    endpoint = scripted.plain("e1", _ok)
    async with harness.running(endpoint) as running:
        await running.send(
            "/once/1?q=1",
            body=b"payload",
            tenant_id="forged",
            expect_instance="forged",
            kv_source="1.2.3.4:1/x",
            kv_hold="1",
            serving_stage="prefill",
            request_priority="0",
            x_other="kept",
            deadline_ms=1500,
        )
    (call,) = endpoint.calls
    assert call.head.startswith(b"POST /once/1?q=1 HTTP/1.1\r\n")
    assert call.body == b"payload"
    assert call.field("tenant-id") == b"o1"
    assert call.field("expect-instance") == b"e1"
    assert call.field("x-other") == b"kept"
    assert call.field("host") == b"h.example"
    assert call.request_id == b"r1"
    assert 1000 < int(call.field("deadline-ms") or 0) <= 1500
    for name in ("key", "kv-source", "kv-hold", "serving-stage"):
        assert call.field(name) is None
    assert call.head.lower().count(b"tenant-id") == 1


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        ("/nowhere/1", {}, 404),
        ("/once", {}, 404),
        ("/once/1", {"host": "other.example"}, 404),
        ("/once/1", {"host": "H.EXAMPLE:80"}, 200),
        ("/once/1", {"key": "unknown"}, 401),
        ("/open/1", {"key": "unknown"}, 200),
        ("/once/1", {"request_id": ""}, 400),
    ],
)
async def test_request_validation(
    path: str, fields: dict[str, str], status: int
) -> None:
    endpoint = scripted.plain("e1", _ok)
    async with harness.running(endpoint) as running:
        reply = await running.send(path, **fields)  # type: ignore[arg-type]
    assert reply.status == status
    assert len(endpoint.calls) == (status == 200)
    if path.startswith("/open/"):
        assert endpoint.calls[0].field("tenant-id") is None


async def test_disconnected_caller_aborts_the_run() -> None:
    endpoint = scripted.plain("e1", _silent)
    async with harness.running(endpoint) as running:
        sending = asyncio.create_task(running.send("/read/1"))
        await endpoint.arrived.wait()
        sending.cancel()
        async with asyncio.timeout(1.0):
            await endpoint.disconnected.wait()


async def test_draining_endpoint_gets_no_new_requests() -> None:
    first = scripted.plain("e1", _ok)
    second = scripted.plain("e2", _ok)
    async with harness.running(first, second) as running:
        running.cluster.set_endpoint(
            configurations.registration(first, ready=False)
        )
        for _ in range(5):
            assert (await running.send("/once/1")).status == 200
    assert first.calls == []


async def test_requests_are_counted_once() -> None:
    async with harness.running(
        scripted.plain("e1", _failure), scripted.plain("e2", _failure)
    ) as running:
        await running.send("/read/1")
        await running.send("/once/1")
    assert running.usage_counter.by_organisation == {"o1": 2}

"""What callers of plain services get, by what became of each send."""

import asyncio
import typing

import pytest

from . import harness


async def _ok(call: harness.Call) -> bytes:
    return harness.answer(call)


async def _failure(call: harness.Call) -> bytes:
    return harness.answer(call, 500, b"sorry")


async def _full(call: harness.Call) -> bytes:
    return harness.not_run(call)


async def _moved(call: harness.Call) -> bytes:
    return harness.not_run(call, 421)


async def _reset(_call: harness.Call) -> None:
    return None


async def _busy_without_proof(call: harness.Call) -> bytes:
    return (
        b"HTTP/1.1 503 X\r\nrequest-id: %b\r\ncontent-length: 0\r\n\r\n"
        % call.request_id
    )


async def _unsigned(call: harness.Call) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\ncontent-length: 2\r\n\r\nok"
        % call.request_id
    )


async def _encoded(call: harness.Call) -> bytes:
    return harness.answer(call, content_encoding="gzip")


async def _cut(call: harness.Call) -> bytes | None:
    call.writer.write(harness.answer(call, body=b"long body")[:-3])
    return None


async def _silent(_call: harness.Call) -> bytes:
    await asyncio.sleep(30.0)
    return b""


#: What the first endpoint does; kind of route; status; sends; whether the
#: caller may take it that its request did not run.
TABLE: list[tuple[typing.Any, str, int, int, bool]] = [
    (_ok, "/once/", 200, 1, False),
    (_failure, "/once/", 500, 1, False),
    (_failure, "/read/", 200, 2, False),
    (_failure, "/read-one/", 500, 1, False),
    (_full, "/once/", 200, 2, False),
    (_full, "/once-one/", 503, 1, True),
    (_full, "/read/", 200, 2, False),
    (_moved, "/once/", 200, 2, False),
    (_moved, "/once-one/", 503, 1, True),
    (_reset, "/once/", 502, 1, False),
    (_reset, "/read/", 200, 2, False),
    (_reset, "/read-one/", 502, 1, False),
    (_busy_without_proof, "/once/", 502, 1, False),
    (_busy_without_proof, "/read/", 200, 2, False),
    (_unsigned, "/once/", 502, 1, False),
    (_unsigned, "/read/", 200, 2, False),
    (_encoded, "/once/", 502, 1, False),
    (_cut, "/once/", 502, 1, False),
    (_cut, "/read/", 200, 2, False),
    (_silent, "/brief/", 504, 1, False),
]


@pytest.mark.parametrize(
    ("script", "path", "status", "sends", "proved"),
    TABLE,
    ids=[f"{row[0].__name__[1:]} {row[1]}" for row in TABLE],
)
async def test_what_became_of_a_send_decides(
    script: harness.Script, path: str, status: int, sends: int, proved: bool
) -> None:
    tried = 0

    async def first_fails(call: harness.Call) -> bytes | None:
        nonlocal tried
        tried += 1
        return await (script if tried == 1 else _ok)(call)

    endpoints = [harness.plain(f"e{n}", first_fails) for n in range(3)]
    async with harness.running(*endpoints) as running:
        reply = await running.ask(path + "1")
    assert reply.status == status
    assert reply.whole
    assert sum(len(each.calls) for each in endpoints) == sends
    assert (reply.field("retry-after") is not None) == proved
    assert (reply.field("server-signature") is None) == (
        status in (502, 503, 504)
    )


async def test_a_timeout_after_the_send_never_says_not_run() -> None:
    """A run that outlives the route's time had been answered 503."""
    endpoint = harness.plain("e1", _silent)
    async with harness.running(endpoint) as running:
        reply = await running.ask("/once/1", deadline_ms=150)
    assert reply.status == 504
    assert len(endpoint.calls) == 1


async def test_without_endpoints_the_caller_may_come_back() -> None:
    async with harness.running() as running:
        reply = await running.ask("/once/1")
    assert reply.status == 503
    assert reply.field("retry-after") is not None


async def test_what_an_endpoint_sees() -> None:
    endpoint = harness.plain("e1", _ok)
    async with harness.running(endpoint) as running:
        await running.ask(
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
async def test_what_is_proper(
    path: str, fields: dict[str, str], status: int
) -> None:
    endpoint = harness.plain("e1", _ok)
    async with harness.running(endpoint) as running:
        reply = await running.ask(path, **fields)  # type: ignore[arg-type]
    assert reply.status == status
    assert len(endpoint.calls) == (status == 200)
    if path.startswith("/open/"):
        assert endpoint.calls[0].field("tenant-id") is None


async def test_a_caller_that_leaves_ends_the_run() -> None:
    endpoint = harness.plain("e1", _silent)
    async with harness.running(endpoint) as running:
        asking = asyncio.create_task(running.ask("/read/1"))
        await endpoint.arrived.wait()
        asking.cancel()
        async with asyncio.timeout(1.0):
            await endpoint.left.wait()


async def test_a_leaving_endpoint_gets_nothing_new() -> None:
    first = harness.plain("e1", _ok)
    second = harness.plain("e2", _ok)
    async with harness.running(first, second) as running:
        running.cluster.set_endpoint(harness.announced(first, ready=False))
        for _ in range(5):
            assert (await running.ask("/once/1")).status == 200
    assert first.calls == []


async def test_begun_requests_are_counted_once() -> None:
    async with harness.running(
        harness.plain("e1", _failure), harness.plain("e2", _failure)
    ) as running:
        await running.ask("/read/1")
        await running.ask("/once/1")
    assert running.usage_counter.by_name == {"o1": 2}

"""Answers that can't be read are typed failures of their call."""

import asyncio

import pytest

from ... import adapters
from ... import errors
from ... import ports
from . import peer

TIMEOUT_S = 3.0
BODIES = [
    pytest.param(b"", id="empty"),
    pytest.param(b"{", id="cut"),
    pytest.param(b"[]", id="other type"),
    pytest.param(b'{"unknown":1}', id="fields missing"),
    pytest.param(b'{"model":"\xff\xfe","rows":"\xff"}', id="not UTF-8"),
    pytest.param(b"\x00\xff garbage", id="garbage"),
    pytest.param(b'{"a":' + b"[" * 100_000, id="nested"),
    pytest.param(b"[" * 100_000, id="nested array"),
]
TRANSACTION = ports.Transaction((), (ports.Write("t", "k", b"v"),))
ORDER = ports.EngineOrder(3, 7, ports.EngineRole.PREFILL, "m")


def _answering(
    body: bytes, status: int = 200, fields: bytes = b""
) -> peer.Script:
    async def script(writer: asyncio.StreamWriter, _number: int) -> None:
        writer.write(
            b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b"
            % (status, fields, len(body), body)
        )

    return script


@pytest.mark.parametrize("status", [200, 404, 409, 429])
@pytest.mark.parametrize("body", BODIES)
async def test_transaction_with_an_unreadable_answer_is_of_unknown_outcome(
    body: bytes, status: int
) -> None:
    """Guards against a committed transaction that counts as failed."""
    script = _answering(body, status)
    async with peer.serving(script) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        with pytest.raises(errors.OutcomeUnknown):
            await table.commit(TRANSACTION, TIMEOUT_S)


@pytest.mark.parametrize("status", [200, 404, 409, 429])
@pytest.mark.parametrize("body", BODIES)
async def test_unreadable_answer_to_a_read_is_an_unavailable_store(
    body: bytes, status: int
) -> None:
    """Guards against an agent that ended, and loops that went on without."""
    script = _answering(body, status)
    async with peer.serving(script) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        hosts = adapters.HOSTS.get("http_json")(session, url)
        endpoints = adapters.ENDPOINTS.get("http_json")(session, url)
        with pytest.raises(errors.StoreUnavailable):
            await table.read((ports.RowKey("t", "k"),), TIMEOUT_S)
        with pytest.raises(errors.StoreUnavailable):
            await table.scan("t", "", "", 10, TIMEOUT_S)
        with pytest.raises(errors.StoreUnavailable):
            await hosts.hosts(TIMEOUT_S)
        with pytest.raises(errors.StoreUnavailable):
            await endpoints.endpoints("d1", TIMEOUT_S)


async def test_answer_with_another_number_of_rows_is_unreadable() -> None:
    body = b'{"rows":[],"versions":[]}'
    async with peer.serving(_answering(body)) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        with pytest.raises(errors.StoreUnavailable):
            await table.read((ports.RowKey("t", "k"),), TIMEOUT_S)
        with pytest.raises(errors.OutcomeUnknown):
            await table.commit(TRANSACTION, TIMEOUT_S)


@pytest.mark.parametrize("body", BODIES)
async def test_unreadable_answer_of_an_engine_is_its_failure(
    body: bytes,
) -> None:
    """Guards against an agent that ended by an answer of its engine."""
    async with peer.serving(_answering(body)) as (session, url):
        engine = adapters.ENGINES.get("openai_http")(session, url)
        for call in (
            engine.running(TIMEOUT_S),
            engine.load(TIMEOUT_S),
            engine.cache_events(0, TIMEOUT_S),
            engine.state(TIMEOUT_S),
            engine.apply(ORDER, TIMEOUT_S),
            engine.export_kv("r", TIMEOUT_S),
        ):
            with pytest.raises(ports.EngineFailure) as failure:
                await call
            assert failure.value.started


@pytest.mark.parametrize("body", BODIES)
async def test_unreadable_event_of_a_stream_is_a_failure_of_its_engine(
    body: bytes,
) -> None:
    request = ports.EngineRequest("r1", "m", "p", max_tokens=4)
    script = _answering(b"data: " + body + b"\n\n")
    async with peer.serving(script) as (session, url):
        engine = adapters.ENGINES.get("openai_http")(session, url)
        with pytest.raises(ports.EngineFailure) as failure:
            async for _event in engine.generate(request, TIMEOUT_S):
                pass
    assert failure.value.started


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param(b"content-encoding: gzip\r\n", id="not gzip"),
        pytest.param(b"content-encoding: br\r\n", id="not brotli"),
        pytest.param(b"content-type: \xff\xfe/\x01\r\n", id="content type"),
        pytest.param(b"content-type: text/plain; charset=no\r\n", id="set"),
        pytest.param(b"set-cookie: \xff=;;=\r\n", id="cookie"),
        pytest.param(b"location: http://[\r\n", id="location"),
        pytest.param(b"retry-after: x\r\n", id="delay"),
    ],
)
@pytest.mark.parametrize("status", [200, 302, 503, 999])
async def test_odd_fields_fail_at_most_their_call(
    status: int, fields: bytes
) -> None:
    request = ports.PlainRequest("r", "PUT", "/x", "o", "text/plain", b"b")
    script = _answering(b"body", status, fields)
    async with peer.serving(script) as (session, url):
        client = adapters.PLAIN.get("http")(session, url)
        table = adapters.TABLES.get("http_json")(session, url)
        try:
            assert (await client.call(request, TIMEOUT_S)).body == b"body"
        except ports.PlainFailure as error:
            started = error.started
            assert started
        with pytest.raises(errors.BilberrydealError):
            await table.commit(TRANSACTION, TIMEOUT_S)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"2", 2.0),
        (b"0.5", 0.5),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", 60.0),
        (b"86400", 60.0),
        (b"soon", None),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", None),
        (b"", None),
    ],
)
async def test_delay_that_a_peer_advises_is_bounded(
    value: bytes, expected: float | None
) -> None:
    """Guards against an agent that waits for hours, or not at all."""
    script = _answering(b"", 503, b"retry-after: " + value + b"\r\n")
    async with peer.serving(script) as (session, url):
        table = adapters.TABLES.get("http_json")(session, url)
        with pytest.raises(errors.StoreUnavailable) as unavailable:
            await table.commit(TRANSACTION, TIMEOUT_S)
    assert unavailable.value.retry_after_s == expected

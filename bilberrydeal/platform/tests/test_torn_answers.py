"""Answers of the store and of engines whose connection ends too soon."""

import collections.abc
import typing

import pytest

from ... import catalogue
from ... import errors
from ... import ports
from ...http1.tests import harness
from .. import _calls
from .. import _engines
from .. import _signals
from .. import _store
from .. import _usage

TIMEOUT_S = 2.0
ROWS = b'{"row_version":7,"now_ms":1000,"rows":[]}'
MORE = (
    b'{"row_version":7,"now_ms":1000,"has_more":true,'
    b'"rows":[{"table":"t","key":"a","value":"e30=","row_version":3}]}'
)
REPORT = b'{"sequence":3,"busy":false}'
WRITE = ports.Transaction(
    (ports.Check("t", "a", 0),), (ports.Write("t", "a", b"{}"),)
)
ENGINE = catalogue.Endpoint(
    endpoint_id="e1",
    service="llm",
    host="127.0.0.1",
    port=1,
    failure_domain="d1",
    slots=16,
    ready=True,
    role=ports.EngineRole.DECODE,
    started_ms=1,
)

Answer = collections.abc.Callable[[bytes, int], bytes]
Operation = collections.abc.Callable[
    [int], collections.abc.Awaitable[typing.Any]
]


def _with_length(body: bytes, status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b" % (
        status,
        len(body),
        body,
    )


def _in_chunks(body: bytes, status: int = 200) -> bytes:
    return (
        b"HTTP/1.1 %d X\r\ntransfer-encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\nx-a: 1\r\n\r\n" % (status, len(body), body)
    )


def _with_neither(body: bytes, status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\nx-a: 1\r\n\r\n%b" % (status, body)


def _old(body: bytes, status: int = 200) -> bytes:
    return b"HTTP/1.0 %d X\r\nx-a: 1\r\n\r\n%b" % (status, body)


def _after_hints(body: bytes, status: int = 200) -> bytes:
    hints = b"HTTP/1.1 103 X\r\nlink: </a>\r\n\r\n"
    return hints + _with_length(body, status)


FRAMED = [_with_length, _in_chunks, _after_hints]
UNFRAMED = [_with_neither, _old]


async def _read(port: int) -> object:
    client = _store.PlatformStore("127.0.0.1", port)
    return await client.read((ports.RowKey("t", "a"),), TIMEOUT_S)


async def _scan(port: int) -> object:
    client = _store.PlatformStore("127.0.0.1", port)
    return await client.scan("t", "", "", 10, TIMEOUT_S)


async def _snapshot(port: int) -> object:
    client = _store.PlatformStore("127.0.0.1", port)
    return await client.snapshot("t", TIMEOUT_S)


async def _changes(port: int) -> object:
    client = _store.PlatformStore("127.0.0.1", port)
    return await client.changes("t", ports.StoreVersion(5), 0.0, TIMEOUT_S)


async def _commit(port: int) -> object:
    client = _store.PlatformStore("127.0.0.1", port)
    return await client.commit(WRITE, TIMEOUT_S)


async def _outcome(
    operation: Operation, ending: harness.Ending, *answers: bytes
) -> object:
    """Return what an operation returned or raised."""
    async with harness.scripted(*answers, ending=ending) as peer:
        try:
            return await operation(peer.port)
        except errors.BilberrydealError as error:
            return type(error)


#: Operation of the store, and what it raises without a whole answer.
STORE = [
    pytest.param(_read, errors.StoreUnavailable, id="read"),
    pytest.param(_scan, errors.StoreUnavailable, id="scan"),
    pytest.param(_snapshot, errors.StoreUnavailable, id="snapshot"),
    pytest.param(_changes, errors.StoreUnavailable, id="changes"),
    pytest.param(_commit, errors.OutcomeUnknown, id="commit"),
]


@pytest.mark.parametrize("ending", harness.Ending)
@pytest.mark.parametrize("answer", FRAMED + UNFRAMED)
@pytest.mark.parametrize(("operation", "error"), STORE)
async def test_torn_answer_of_the_store_is_not_an_empty_one(
    operation: Operation, error: type, answer: Answer, ending: harness.Ending
) -> None:
    whole = answer(ROWS, 200)
    for size in range(len(whole)):
        outcome = await _outcome(operation, ending, whole[:size])
        assert outcome is error, size


@pytest.mark.parametrize("answer", FRAMED + UNFRAMED)
@pytest.mark.parametrize(("operation", "error"), STORE)
async def test_whole_answer_of_the_store_is_taken(
    operation: Operation, error: type, answer: Answer
) -> None:
    whole = answer(ROWS, 200)
    outcome = await _outcome(operation, harness.Ending.CLOSE, whole)
    assert outcome is not error


@pytest.mark.parametrize("ending", harness.Ending)
@pytest.mark.parametrize("answer", FRAMED + UNFRAMED)
async def test_torn_page_makes_no_short_snapshot(
    answer: Answer, ending: harness.Ending
) -> None:
    whole = answer(ROWS, 200)
    first = _with_length(MORE)
    for size in range(len(whole)):
        outcome = await _outcome(_snapshot, ending, first, whole[:size])
        assert outcome is errors.StoreUnavailable, size


@pytest.mark.parametrize("ending", harness.Ending)
@pytest.mark.parametrize("answer", FRAMED)
@pytest.mark.parametrize("status", [409, 412])
async def test_torn_conflict_names_no_version(
    status: int, answer: Answer, ending: harness.Ending
) -> None:
    body = b'{"rows":[{"table":"t","key":"a","row_version":3}]}'
    whole = answer(body, status)
    for size in range(len(whole)):
        outcome = await _outcome(_commit, ending, whole[:size])
        assert outcome is errors.OutcomeUnknown, size


async def _report(port: int) -> object:
    api = _usage.UsageApi("127.0.0.1", port)
    return await api.report(1, {"o1": 2}, "g1", 1, TIMEOUT_S)


def _ignore(_signals: _signals.EndpointSignals) -> None:
    """Get what a response tells."""


async def _order(port: int) -> object:
    return await _engines.EngineApi().order_role(
        _calls.pool("127.0.0.1", port, 1),
        ENGINE,
        ports.EngineRole.PREFILL,
        "g1",
        1,
        3,
        _ignore,
    )


async def _free(port: int) -> object:
    pool = _calls.pool("127.0.0.1", port, 1)
    return await _engines.EngineApi().free_kv_handle(pool, "h1", _ignore)


async def _accepted(port: int) -> object:
    pool = _calls.pool("127.0.0.1", port, 1)
    return await _engines.EngineApi().accepted_order_count(pool, _ignore)


#: Operation, and its results without a whole answer and with one.
CALLS = [
    pytest.param(_report, False, True, id="usage"),
    pytest.param(_order, False, True, id="order"),
    pytest.param(_free, False, True, id="free handle"),
    pytest.param(_accepted, None, 3, id="accepted orders"),
]


@pytest.mark.parametrize("ending", harness.Ending)
@pytest.mark.parametrize("answer", FRAMED + UNFRAMED)
@pytest.mark.parametrize(("operation", "without", "result"), CALLS)
async def test_torn_answer_to_a_call_accepts_nothing(
    operation: Operation,
    without: object,
    result: object,
    answer: Answer,
    ending: harness.Ending,
) -> None:
    whole = answer(REPORT, 200)
    # A status says all that these calls need; only the orders are in a body.
    end = len(whole)
    if answer in UNFRAMED and operation is not _accepted:
        end -= len(REPORT)
    for size in range(end):
        outcome = await _outcome(operation, ending, whole[:size])
        assert outcome is without, size
    taken = await _outcome(operation, harness.Ending.CLOSE, whole)
    assert taken == result


def test_no_beginning_of_a_prefill_result_is_a_handle() -> None:
    body = b'{"kv_handle":"h1","tokens":1}'
    decode = _engines.EngineApi().decode_kv_handle
    assert decode(body) == "h1"
    for size in range(len(body)):
        assert decode(body[:size]) is None, size


@pytest.mark.parametrize("ending", harness.Ending)
@pytest.mark.parametrize("answer", FRAMED + UNFRAMED)
async def test_torn_answer_on_a_kept_connection_is_no_answer(
    answer: Answer, ending: harness.Ending
) -> None:
    whole = answer(ROWS, 200)
    for size in range(len(whole)):
        async with harness.scripted(
            _with_length(ROWS), whole[:size], ending=ending
        ) as peer:
            client = _store.PlatformStore("127.0.0.1", peer.port)
            await client.scan("t", "", "", 10, TIMEOUT_S)
            with pytest.raises(errors.StoreUnavailable):
                await client.scan("t", "", "", 10, TIMEOUT_S)
        assert len(peer.received) == 2
        assert len(peer.writers) == 1

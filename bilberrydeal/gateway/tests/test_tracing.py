"""A traced request has a span for each hop."""

import json
import pathlib

from ... import settings
from . import harness

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE}-b7ad6b7169203331-01"


async def _read(call: harness.Call) -> bytes:
    return harness.handle(call)


async def _make(call: harness.Call) -> bytes:
    return harness.whole_stream(call, 1, 5)


async def test_each_send_has_a_span_below_that_of_the_request(
    tmp_path: pathlib.Path,
) -> None:
    reader = harness.engine("p1", "prefill", _read)
    maker = harness.engine("d1", "decode", _make)
    target = tmp_path / "spans.jsonl"
    trace = settings.TraceSettings("file", str(target), 1.0)
    async with harness.running(reader, maker, trace=trace) as running:
        await running.stream(traceparent=PARENT)
    spans = [json.loads(line) for line in target.read_text().splitlines()]
    (whole,) = [span for span in spans if span["name"] == "gateway"]
    sends = [span for span in spans if span["name"] == "endpoint"]
    assert {span["context"]["trace_id"] for span in spans} == {f"0x{TRACE}"}
    assert {span["parent_id"] for span in sends} == {
        whole["context"]["span_id"]
    }
    assert [span["attributes"]["step"] for span in sends] == ["read", "serve"]
    ids = [span["context"]["span_id"].removeprefix("0x") for span in sends]
    for endpoint, span_id in zip((reader, maker), ids, strict=True):
        (call,) = endpoint.calls
        assert call.field("traceparent") == f"00-{TRACE}-{span_id}-01".encode()


async def test_without_a_trace_the_context_of_the_caller_passes_on() -> None:
    maker = harness.engine("d1", "decode", _make)
    async with harness.running(maker) as running:
        await running.stream(traceparent=PARENT)
    assert maker.calls[0].field("traceparent") == PARENT.encode()

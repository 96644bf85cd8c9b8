"""Tests metric labels, log prefixes and trace propagation."""

import io
import json
import pathlib

from bilberrydeal import settings
from bilberrydeal import telemetry

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def test_label_cardinality_is_bounded() -> None:
    seen: set[str] = set()
    labels = {
        telemetry.bounded_label(f"org{number}", seen) for number in range(99)
    }
    assert len(labels) == 51
    assert "other" in labels


def test_event_has_the_prefix_of_its_component() -> None:
    # Not closed, because cached loggers of other tests may use the stream.
    stream = io.StringIO()
    telemetry.configure("info", stream)
    telemetry.logger("lease").info("Taken.", duty="reporter")
    line = json.loads(stream.getvalue())
    assert line["event"] == "lease: Taken."
    assert line["duty"] == "reporter"


def test_span_without_exporter_propagates_the_context() -> None:
    tracing = telemetry.Tracing(settings.TraceSettings(), "entry")
    with tracing.span("admission", PARENT) as span:
        assert span.traceparent == PARENT


def test_span_continues_the_callers_trace(
    tmp_path: pathlib.Path,
) -> None:
    target = tmp_path / "spans"
    chosen = settings.TraceSettings(exporter="file", target=str(target))
    tracing = telemetry.Tracing(chosen, "entry")
    with tracing.span("admission", PARENT) as span:
        assert span.traceparent.split("-")[1] == PARENT.split("-")[1]
        assert span.traceparent != PARENT
    tracing.close()
    assert json.loads(target.read_text())["name"] == "admission"


def test_metrics_render_as_text() -> None:
    metrics = telemetry.Metrics()
    metrics.counter("requests_total", "Requests.").inc({"code": "ok"})
    assert b'requests_total{code="ok"} 1' in metrics.render()

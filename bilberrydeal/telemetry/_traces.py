"""Tracing with one span per hop; exported only if configured."""

import collections.abc
import contextlib
import typing

import attrs

from .. import settings

_TRACEPARENT = "traceparent"


@attrs.frozen
class Span:
    """An open span; without an exporter it only propagates the context."""

    #: W3C trace context for the next hop; empty if not traced.
    traceparent: str = ""
    #: The OpenTelemetry span; ``None`` without an exporter.
    otel_span: typing.Any = None

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Set an attribute."""
        if self.otel_span is not None:
            self.otel_span.set_attribute(name, value)


class Tracing:
    """Opens spans; imports OpenTelemetry only if an exporter is configured."""

    def __init__(
        self, trace_settings: settings.TraceSettings, service: str
    ) -> None:
        self._provider: typing.Any = None
        self._tracer: typing.Any = None
        if trace_settings.exporter != "none":
            self._provider = _provider(trace_settings, service)
            self._tracer = self._provider.get_tracer("bilberrydeal")

    @contextlib.contextmanager
    def span(
        self, name: str, traceparent: str = ""
    ) -> collections.abc.Iterator[Span]:
        """Open a span as a child of a W3C trace context.

        The span does not become the task's current span, so it may stay open
        across the yields of an asynchronous generator.
        """
        if self._tracer is None:
            yield Span(traceparent=traceparent)
            return
        from opentelemetry import trace
        from opentelemetry.trace.propagation import tracecontext

        propagator = tracecontext.TraceContextTextMapPropagator()
        parent = propagator.extract({_TRACEPARENT: traceparent})
        otel_span = self._tracer.start_span(name, parent)
        carrier: dict[str, str] = {}
        propagator.inject(
            carrier, trace.set_span_in_context(otel_span, parent)
        )
        try:
            yield Span(
                traceparent=carrier.get(_TRACEPARENT, ""), otel_span=otel_span
            )
        except Exception as error:
            otel_span.set_attribute("error", type(error).__name__)
            raise
        finally:
            otel_span.end()

    def close(self) -> None:
        """Export the remaining spans and shut down."""
        if self._provider is not None:
            self._provider.shutdown()


def _provider(
    trace_settings: settings.TraceSettings, service: str
) -> typing.Any:
    """Import OpenTelemetry and return an exporting tracer provider."""
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace
    from opentelemetry.sdk.trace import export
    from opentelemetry.sdk.trace import sampling

    provider = trace.TracerProvider(
        resource=resources.Resource.create({"service.name": service}),
        sampler=sampling.ParentBasedTraceIdRatio(trace_settings.sample_share),
    )
    provider.add_span_processor(
        export.BatchSpanProcessor(_exporter(trace_settings))
    )
    return provider


def _exporter(trace_settings: settings.TraceSettings) -> typing.Any:
    if trace_settings.exporter == "otlp":
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        return trace_exporter.OTLPSpanExporter(endpoint=trace_settings.target)
    from opentelemetry.sdk.trace import export

    # The exporter keeps the file open until the process ends.
    target = open(trace_settings.target, "a", encoding="utf-8")  # noqa: SIM115
    return export.ConsoleSpanExporter(
        out=target, formatter=lambda span: span.to_json(indent=None) + "\n"
    )

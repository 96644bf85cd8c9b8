"""Traces with a span for each hop, exported only where settings ask."""

import collections.abc
import contextlib
import typing

import attrs

from .. import settings

_PROPAGATED = "traceparent"


@attrs.frozen
class Span:
    """A span that runs; without an exporter it only carries the context."""

    #: W3C trace context for the next hop, empty when not traced.
    traceparent: str = ""
    #: The library's span.
    inner: typing.Any = None

    def note(self, name: str, value: str | int | float) -> None:
        """Set an attribute."""
        if self.inner is not None:
            self.inner.set_attribute(name, value)


class Tracing:
    """Opens spans; without an exporter none of the libraries is loaded."""

    def __init__(self, chosen: settings.TraceSettings, service: str) -> None:
        self._provider: typing.Any = None
        self._tracer: typing.Any = None
        if chosen.exporter != "none":
            self._provider = _provider(chosen, service)
            self._tracer = self._provider.get_tracer("bilberrydeal")

    @contextlib.contextmanager
    def span(
        self, name: str, traceparent: str = ""
    ) -> collections.abc.Iterator[Span]:
        """Run a span named ``name`` below a W3C trace context.

        The span is not made the current one of the task, so it may be held
        over the parts of an asynchronous generator.
        """
        if self._tracer is None:
            yield Span(traceparent=traceparent)
            return
        from opentelemetry import trace
        from opentelemetry.trace.propagation import tracecontext

        propagator = tracecontext.TraceContextTextMapPropagator()
        parent = propagator.extract({_PROPAGATED: traceparent})
        inner = self._tracer.start_span(name, parent)
        carrier: dict[str, str] = {}
        propagator.inject(carrier, trace.set_span_in_context(inner, parent))
        try:
            yield Span(traceparent=carrier.get(_PROPAGATED, ""), inner=inner)
        except Exception as error:
            inner.set_attribute("error", type(error).__name__)
            raise
        finally:
            inner.end()

    def close(self) -> None:
        """Export what is left."""
        if self._provider is not None:
            self._provider.shutdown()


def _provider(chosen: settings.TraceSettings, service: str) -> typing.Any:
    """Load the libraries and return a provider that exports."""
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace
    from opentelemetry.sdk.trace import export
    from opentelemetry.sdk.trace import sampling

    provider = trace.TracerProvider(
        resource=resources.Resource.create({"service.name": service}),
        sampler=sampling.ParentBasedTraceIdRatio(chosen.sample_share),
    )
    provider.add_span_processor(export.BatchSpanProcessor(_exporter(chosen)))
    return provider


def _exporter(chosen: settings.TraceSettings) -> typing.Any:
    if chosen.exporter == "otlp":
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        return trace_exporter.OTLPSpanExporter(endpoint=chosen.target)
    from opentelemetry.sdk.trace import export

    # The exporter keeps the file open until the process ends.
    target = open(chosen.target, "a", encoding="utf-8")  # noqa: SIM115
    return export.ConsoleSpanExporter(
        out=target, formatter=lambda span: span.to_json(indent=None) + "\n"
    )

"""Distributed tracing with OpenTelemetry: a span for each hop of a request.

The hops are caller, entry, claim, schedule and runner. The trace context is
taken from the caller's ``traceparent`` header (W3C Trace Context) and passed
to the runner in the same header. Finished spans are written as JSON lines by a
thread of the library. Spans are dropped if its queue is full or the file
cannot be written; requests never wait for either.
"""

import collections.abc
import json
import pathlib
import typing as ty

from opentelemetry import context
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

__all__ = ['Tracer', 'make_tracer']

Tracer = trace.Tracer
_propagator = tracecontext.TraceContextTextMapPropagator()


@ty.final
class _JsonLinesExporter(export.SpanExporter):
    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def export(
        self, spans: collections.abc.Sequence[sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        try:
            with self._path.open('a') as file:
                for span in spans:
                    file.write(json.dumps(_describe_span(span)) + '\n')
        except OSError:
            return export.SpanExportResult.FAILURE
        return export.SpanExportResult.SUCCESS


def _describe_span(span: sdk.ReadableSpan) -> dict[str, ty.Any]:
    span_context = span.get_span_context()
    assert span_context is not None
    parent = span.parent
    return {
        'trace': trace.format_trace_id(span_context.trace_id),
        'span': trace.format_span_id(span_context.span_id),
        'parent': trace.format_span_id(parent.span_id) if parent else None,
        'name': span.name,
        'host': span.resource.attributes.get('service.instance.id'),
        'start_ns': span.start_time,
        'end_ns': span.end_time,
        'attributes': dict(span.attributes or {}),
    }


def make_tracer(
    name: str, path: pathlib.Path | None
) -> tuple[Tracer, collections.abc.Callable[[], None]]:
    """Return a tracer and a function that flushes it and shuts it down.

    Without a path, the tracer is a no-op.
    """
    if path is None:
        return trace.NoOpTracerProvider().get_tracer('apricotlanding'), _noop
    provider = sdk.TracerProvider(
        resource=resources.Resource({'service.instance.id': name}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(
        export.BatchSpanProcessor(
            _JsonLinesExporter(path), schedule_delay_millis=500
        )
    )
    return provider.get_tracer('apricotlanding'), provider.shutdown


def extract_context(headers: dict[str, str]) -> context.Context:
    """Return the trace context of a caller's headers."""
    return _propagator.extract(headers)


def inject_context(
    trace_context: context.Context,
) -> list[tuple[bytes, bytes]]:
    """Return the headers that propagate a trace context."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace_context)
    return [(name.encode(), value.encode()) for name, value in carrier.items()]


def _noop() -> None:
    return

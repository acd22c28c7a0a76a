"""Creates and exports spans with the OpenTelemetry SDK.

Importing the SDK takes a tenth of a daemon's start time. Therefore this module
is imported only if tracing is enabled.
"""

import typing

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

FILE_PREFIX = 'file:'


class Spans:
    """Creates and exports the spans of one process.

    :param host: name of the host, for the attribute ``host.name``
    :param destination: ``file:PATH`` or an OTLP/HTTP URL
    """

    def __init__(self, host: str, destination: str) -> None:
        self._file: typing.IO[str] | None = None
        self._propagator = tracecontext.TraceContextTextMapPropagator()
        self._provider = sdk_trace.TracerProvider(
            resource=resources.Resource(
                {'service.name': 'persimmonpassd', 'host.name': host}
            )
        )
        self._provider.add_span_processor(self._make_processor(destination))
        self._tracer = self._provider.get_tracer('persimmonpass')

    def start(
        self,
        name: str,
        headers: typing.Mapping[str, str] | None,
        attributes: typing.Mapping[str, str],
    ) -> tuple[trace.Span, dict[str, str]]:
        """Start a span.

        :param headers: headers with the context of the parent span, if any
        :returns: the span, and the headers that carry its context to the
            next hop
        """
        context = self._propagator.extract(dict(headers)) if headers else None
        span = self._tracer.start_span(
            name, context, trace.SpanKind.INTERNAL, attributes
        )
        trace_headers: dict[str, str] = {}
        self._propagator.inject(trace_headers, trace.set_span_in_context(span))
        return span, trace_headers

    def shut_down(self) -> None:
        """Export the remaining spans and close the file."""
        self._provider.shutdown()
        if self._file is not None:
            self._file.close()

    def _make_processor(self, destination: str) -> sdk_trace.SpanProcessor:
        if destination.startswith(FILE_PREFIX):
            path = destination.removeprefix(FILE_PREFIX)
            self._file = open(path, 'a', encoding='utf-8')
            return export.SimpleSpanProcessor(
                export.ConsoleSpanExporter(
                    out=self._file, formatter=_format_line
                )
            )
        # Importing the exporter takes a fifth of a daemon's start time.
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        return export.BatchSpanProcessor(
            trace_exporter.OTLPSpanExporter(endpoint=destination)
        )


def _format_line(span: sdk_trace.ReadableSpan) -> str:
    return span.to_json(indent=None) + '\n'

"""Spans for each hop, with W3C trace context carried along."""

import collections.abc
import contextlib
import contextvars
import typing

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

FILE_PREFIX = 'file:'

PARENT_HEADER = 'traceparent'

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_PARENT: contextvars.ContextVar[str] = contextvars.ContextVar(
    'persimmonpass_trace_parent', default=''
)

Headers = typing.Mapping[str, str]


class Tracing:
    """Tracer of one daemon.

    :ivar destination: ``file:PATH``, an OTLP/HTTP URL, or empty for none
    """

    def __init__(self, host: str, destination: str = '') -> None:
        self.destination = destination
        self._file: typing.IO[str] | None = None
        self._provider = sdk_trace.TracerProvider(
            resource=resources.Resource(
                {'service.name': 'persimmonpassd', 'host.name': host}
            )
        )
        processor = self._make_processor(destination)
        if processor is not None:
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer('persimmonpass')

    @property
    def enabled(self) -> bool:
        """Whether spans go anywhere."""
        return bool(self.destination)

    @contextlib.contextmanager
    def span(
        self, name: str, headers: Headers | None = None, **attributes: str
    ) -> collections.abc.Iterator[dict[str, str]]:
        """Open a span.

        :param name: name of the hop
        :param headers: headers with the caller's trace context, if any
        :param attributes: attributes of the span
        :returns: headers that carry the span's context onwards
        """
        if not self.enabled:
            yield _pass_on(headers)
            return
        context = _PROPAGATOR.extract(dict(headers)) if headers else None
        span = self._tracer.start_span(
            name, context, trace.SpanKind.INTERNAL, attributes
        )
        onwards: dict[str, str] = {}
        _PROPAGATOR.inject(onwards, trace.set_span_in_context(span))
        outer = _PARENT.get()
        _PARENT.set(onwards.get(PARENT_HEADER, ''))
        try:
            yield onwards
        finally:
            _PARENT.set(outer)
            span.end()

    @contextlib.contextmanager
    def inner_span(
        self, name: str, parent: str | None = None, **attributes: str
    ) -> collections.abc.Iterator[None]:
        """Open a span inside another one, and none where there is no other.

        :param parent: trace parent that a peer sent; ``None`` for the span
            in which the present task runs
        """
        found = _PARENT.get() if parent is None else parent
        if not found:
            yield
            return
        with self.span(name, {PARENT_HEADER: found}, **attributes):
            yield

    def shut_down(self) -> None:
        """Write out what is left."""
        self._provider.shutdown()
        if self._file is not None:
            self._file.close()

    def _make_processor(
        self, destination: str
    ) -> sdk_trace.SpanProcessor | None:
        if not destination:
            return None
        if destination.startswith(FILE_PREFIX):
            path = destination.removeprefix(FILE_PREFIX)
            self._file = open(path, 'a', encoding='utf-8')
            return export.SimpleSpanProcessor(
                export.ConsoleSpanExporter(
                    out=self._file, formatter=_format_line
                )
            )
        # Its import takes a fifth of a daemon's start.
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        return export.BatchSpanProcessor(
            trace_exporter.OTLPSpanExporter(endpoint=destination)
        )


def current_parent() -> str:
    """Return the trace parent of the present task's span, or empty."""
    return _PARENT.get()


def _format_line(span: sdk_trace.ReadableSpan) -> str:
    return span.to_json(indent=None) + '\n'


def _pass_on(headers: Headers | None) -> dict[str, str]:
    if headers and PARENT_HEADER in headers:
        return {PARENT_HEADER: headers[PARENT_HEADER]}
    return {}

"""Opens a span for each hop and propagates the W3C trace context."""

import collections.abc
import contextlib
import contextvars
import typing

PARENT_HEADER = 'traceparent'

_PARENT: contextvars.ContextVar[str] = contextvars.ContextVar(
    'persimmonpass_trace_parent', default=''
)

Headers = typing.Mapping[str, str]


class Tracing:
    """Tracer of one daemon.

    :ivar destination: ``file:PATH``, an OTLP/HTTP URL, or empty for no
        tracing
    """

    def __init__(self, host: str, destination: str = '') -> None:
        self.destination = destination
        self._spans = None
        if destination:
            # Imported only when tracing is on: it slows down the start.
            from persimmonpass import spans

            self._spans = spans.Spans(host, destination)

    @property
    def enabled(self) -> bool:
        """Whether spans are recorded."""
        return bool(self.destination)

    @contextlib.contextmanager
    def span(
        self, name: str, headers: Headers | None = None, **attributes: str
    ) -> collections.abc.Iterator[dict[str, str]]:
        """Open a span.

        :param name: name of the hop
        :param headers: headers with the caller's trace context, if any
        :param attributes: attributes of the span
        :returns: trace headers for requests that are sent within the span
        """
        if self._spans is None:
            yield _trace_headers(headers)
            return
        span, trace_headers = self._spans.start(name, headers, attributes)
        outer_parent = _PARENT.get()
        _PARENT.set(trace_headers.get(PARENT_HEADER, ''))
        try:
            yield trace_headers
        finally:
            _PARENT.set(outer_parent)
            span.end()

    @contextlib.contextmanager
    def inner_span(
        self, name: str, parent: str | None = None, **attributes: str
    ) -> collections.abc.Iterator[None]:
        """Open a span inside another one; without a parent, open none.

        :param name: name of the hop
        :param parent: trace parent that a peer sent; ``None`` for the span
            of the current task
        :param attributes: attributes of the span
        """
        trace_parent = _PARENT.get() if parent is None else parent
        if not trace_parent:
            yield
            return
        with self.span(name, {PARENT_HEADER: trace_parent}, **attributes):
            yield

    def shut_down(self) -> None:
        """Export the remaining spans and stop."""
        if self._spans is not None:
            self._spans.shut_down()


def current_parent() -> str:
    """Return the trace parent of the current task's span.

    :returns: value of the ``traceparent`` header; empty without a span
    """
    return _PARENT.get()


def _trace_headers(headers: Headers | None) -> dict[str, str]:
    """Return the trace context of headers, unchanged."""
    if headers and PARENT_HEADER in headers:
        return {PARENT_HEADER: headers[PARENT_HEADER]}
    return {}

"""Spans for each hop, with W3C trace context carried along."""

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

    :ivar destination: ``file:PATH``, an OTLP/HTTP URL, or empty for none
    """

    def __init__(self, host: str, destination: str = '') -> None:
        self.destination = destination
        self._spans = None
        if destination:
            # Only a process that traces pays for the import.
            from persimmonpass import spans

            self._spans = spans.Spans(host, destination)

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
        if self._spans is None:
            yield _pass_on(headers)
            return
        span, trace_headers = self._spans.start(name, headers, attributes)
        outer = _PARENT.get()
        _PARENT.set(trace_headers.get(PARENT_HEADER, ''))
        try:
            yield trace_headers
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
        if self._spans is not None:
            self._spans.shut_down()


def current_parent() -> str:
    """Return the trace parent of the present task's span, or empty."""
    return _PARENT.get()


def _pass_on(headers: Headers | None) -> dict[str, str]:
    if headers and PARENT_HEADER in headers:
        return {PARENT_HEADER: headers[PARENT_HEADER]}
    return {}

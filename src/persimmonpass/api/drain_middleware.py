"""ASGI middleware that counts requests and closes connections in a drain."""

import collections.abc

import anyio
from starlette import types

from persimmonpass import events
from persimmonpass import exchange

CLOSE_HEADER = (b'connection', b'close')


class _Progress:
    """How far a request and its answer have come.

    :ivar has_body: whether the whole request was read
    :ivar has_left: whether the caller closed the connection
    :ivar has_started: whether the head of the answer was sent
    :ivar is_answered: whether the whole answer was sent
    """

    def __init__(self) -> None:
        self.has_body = False
        self.has_left = False
        self.has_started = False
        self.is_answered = False

    def record_received(self, message: types.Message) -> None:
        """Record a message of the request."""
        if message['type'] == 'http.disconnect':
            self.has_left = True
        elif not message.get('more_body', False):
            self.has_body = True

    def record_sent(self, message: types.Message) -> None:
        """Record a message of the answer."""
        self.has_started = True
        if message['type'] == 'http.response.body':
            self.is_answered = not message.get('more_body', False)


class DrainMiddleware:
    """Middleware around the application for callers.

    While the host drains, it adds ``Connection: close`` to each answer, so
    that callers don't send their next request on a connection that the host
    is about to close. It logs each request that ends without a whole answer.

    :ivar in_progress: number of requests in progress
    """

    def __init__(
        self,
        app: types.ASGIApp,
        is_draining: collections.abc.Callable[[], bool],
        host: str,
        read_id: collections.abc.Callable[[exchange.Headers], str],
    ) -> None:
        """Wrap an application.

        :param app: application to wrap
        :param is_draining: returns whether the host drains
        :param host: id of this host, for the log
        :param read_id: takes the headers of a request; returns its id
        """
        self.in_progress = 0
        self._app = app
        self._is_draining = is_draining
        self._host = host
        self._read_id = read_id

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request or other ASGI scope."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        progress = _Progress()

        async def receive_recorded() -> types.Message:
            message = await receive()
            progress.record_received(message)
            return message

        async def send_closing(message: types.Message) -> None:
            if message['type'] == 'http.response.start':
                if self._is_draining():
                    headers = [*message.get('headers', []), CLOSE_HEADER]
                    message = {**message, 'headers': headers}
            await send(message)
            progress.record_sent(message)

        self.in_progress += 1
        began = anyio.current_time()
        try:
            await self._app(scope, receive_recorded, send_closing)
        finally:
            self.in_progress -= 1
            if not progress.is_answered:
                self._log_unanswered(scope, progress, began)

    def _log_unanswered(
        self, scope: types.Scope, progress: _Progress, began: float
    ) -> None:
        events.log(
            events.REQUEST_UNANSWERED,
            host=self._host,
            key=self._read_id(list(scope['headers'])),
            read=progress.has_body,
            started=progress.has_started,
            left=progress.has_left,
            draining=self._is_draining(),
            ms=round(1000 * (anyio.current_time() - began), 1),
        )

"""ASGI middleware that counts requests and closes connections in a drain."""

import collections.abc

from starlette import types

CLOSE_HEADER = (b'connection', b'close')


class DrainMiddleware:
    """Middleware around the application for callers.

    While the host drains, it adds ``Connection: close`` to each answer, so
    that callers don't send their next request on a connection that the host
    is about to close.

    :ivar in_progress: number of requests in progress
    """

    def __init__(
        self,
        app: types.ASGIApp,
        is_draining: collections.abc.Callable[[], bool],
    ) -> None:
        """Wrap an application.

        :param app: application to wrap
        :param is_draining: returns whether the host drains
        """
        self.in_progress = 0
        self._app = app
        self._is_draining = is_draining

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request or other ASGI scope."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return

        async def send_closing(message: types.Message) -> None:
            if message['type'] == 'http.response.start':
                if self._is_draining():
                    headers = [*message.get('headers', []), CLOSE_HEADER]
                    message = {**message, 'headers': headers}
            await send(message)

        self.in_progress += 1
        try:
            await self._app(scope, receive, send_closing)
        finally:
            self.in_progress -= 1

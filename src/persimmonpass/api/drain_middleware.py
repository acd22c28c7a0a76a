"""Counts requests in progress and closes connections during a drain."""

import collections.abc

from starlette import types

CLOSE = (b'connection', b'close')


class DrainMiddleware:
    """ASGI application around another one.

    While the host drains, each answer tells the caller to close its
    connection, so that it does not come back on one that the host will close.

    :ivar in_progress: requests in progress
    """

    def __init__(
        self,
        app: types.ASGIApp,
        is_draining: collections.abc.Callable[[], bool],
    ) -> None:
        self.in_progress = 0
        self._app = app
        self._is_draining = is_draining

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return

        async def send_closing(message: types.Message) -> None:
            if message['type'] == 'http.response.start':
                if self._is_draining():
                    headers = [*message.get('headers', []), CLOSE]
                    message = {**message, 'headers': headers}
            await send(message)

        self.in_progress += 1
        try:
            await self._app(scope, receive, send_closing)
        finally:
            self.in_progress -= 1

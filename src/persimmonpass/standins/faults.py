"""Fault injection, which every stand-in offers on a control route."""

import typing

import anyio
import msgspec
from starlette import requests
from starlette import responses
from starlette import types

CONTROL_PATH = '/control/faults'


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of a stand-in.

    :ivar delay_seconds: delay before each call is handled
    :ivar outage: whether every call is refused with status 503
    :ivar lose_answers: number of writes that still take effect but are
        answered with a gateway's status 504
    :ivar silent: whether calls are accepted but never answered
    :ivar lag_seconds: age of the load reports, cache events and target lists
        that are returned
    :ivar drop_cache_events: share of cache events that are lost, from 0 to 1
    """

    delay_seconds: float = 0.0
    outage: bool = False
    lose_answers: int = 0
    silent: bool = False
    lag_seconds: float = 0.0
    drop_cache_events: float = 0.0


class FaultInjector:
    """ASGI middleware that applies the fault switches.

    :ivar faults: current switches
    """

    def __init__(self, app: types.ASGIApp) -> None:
        self.faults = Faults()
        self._app = app

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Handle a request; control routes are not subject to faults."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
        elif scope['path'] == CONTROL_PATH:
            await self._control(scope, receive, send)
        elif scope['path'].startswith('/control/'):
            await self._app(scope, receive, send)
        else:
            await self._serve(scope, receive, send)

    async def _control(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        body = await requests.Request(scope, receive).body()
        self.faults = msgspec.json.decode(body, type=Faults)
        answer = responses.JSONResponse(msgspec.to_builtins(self.faults))
        await answer(scope, receive, send)

    async def _serve(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if self.faults.delay_seconds:
            await anyio.sleep(self.faults.delay_seconds)
        if self.faults.silent:
            await anyio.sleep_forever()
        if self.faults.outage:
            await responses.Response(status_code=503)(scope, receive, send)
        elif scope['method'] != 'GET' and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await self._app(scope, receive, _discard_message)
            await responses.Response(status_code=504)(scope, receive, send)
        else:
            await self._app(scope, receive, send)


async def _discard_message(
    message: typing.MutableMapping[str, typing.Any],
) -> None:
    del message

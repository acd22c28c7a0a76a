"""Stand-in for a plain service, which counts how often each call ran."""

import collections

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.standins import faults

_METHODS = ['GET', 'POST', 'PUT', 'DELETE']


class Service:
    """A plain service that accepts every call.

    :ivar app: the ASGI application
    :ivar runs: number of runs, by ``METHOD /path body``
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        self.app = faults.FaultInjector(
            applications.Starlette(
                routes=[
                    routing.Route('/control/runs', self._count),
                    routing.Route('/{path:path}', self._run, methods=_METHODS),
                ]
            )
        )

    async def _run(self, request: requests.Request) -> responses.Response:
        body = (await request.body()).decode(errors='replace')
        call = f'{request.method} {request.url.path} {body}'.strip()
        self.runs[call] += 1
        return responses.JSONResponse(
            {'service': self.name, 'call': call, 'runs': self.runs[call]}
        )

    async def _count(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(self.runs)

"""What an HTTP front needs of a gateway."""

import collections.abc
import typing

import anyio
import httpx
import result
from starlette import types

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers import job_log
from persimmonpass import exceptions
from persimmonpass import exchange
from persimmonpass import job_records
from persimmonpass import records
from persimmonpass import routes
from persimmonpass import verdicts

_Async = collections.abc.Awaitable


class Entry(typing.NamedTuple):
    """Where callers should connect.

    :ivar addresses: ``ip:port`` of hosts
    """

    addresses: list[str]
    ttl_seconds: float


class GatewayPorts(typing.NamedTuple):
    """Calls of a gateway.

    :ivar max_body_bytes: largest body that is allowed now
    :ivar find_route: call -> the route, or why there is none
    :ivar serve: call, route, caller -> nothing
    :ivar accept_job: job, route, seconds left or ``None`` -> nothing
    :ivar read_results: job id, position, seconds to wait -> results
    :ivar read_item_body: job id, item id -> the item's body
    :ivar end_job: job id, seconds left or ``None`` -> nothing
    """

    max_body_bytes: collections.abc.Callable[[], int]
    find_route: collections.abc.Callable[
        [exchange.Call],
        _Async[result.Result[routes.Route, verdicts.Failure]],
    ]
    serve: collections.abc.Callable[
        [exchange.Call, routes.Route, exchange.CallerPort], _Async[None]
    ]
    accept_job: collections.abc.Callable[
        [job_records.Job, routes.Route, float | None],
        _Async[result.Result[None, verdicts.Failure]],
    ]
    read_results: collections.abc.Callable[
        [str, int, float],
        _Async[result.Result[job_log.Page, verdicts.Failure]],
    ]
    read_item_body: collections.abc.Callable[
        [str, str], _Async[result.Result[bytes, verdicts.Failure]]
    ]
    end_job: collections.abc.Callable[
        [str, float | None], _Async[result.Result[None, verdicts.Failure]]
    ]


class PlatformPorts(typing.NamedTuple):
    """What a platform brings.

    :ivar connect: client, address, budget -> its store
    :ivar wire: how requests look on the wire
    :ivar kinds: names of the kinds of configuration and of targets
    :ivar read_results: how their records are read
    :ivar caller_app: ports -> application for callers
    :ivar ready_app: readiness -> application for its checks
    :ivar entry_app: entry answers -> application that gives them
    """

    connect: collections.abc.Callable[
        [httpx.AsyncClient, str, budget.Budget], records.RecordPort
    ]
    wire: exchange.WirePort
    configuration_kind: str
    configuration_name: str
    targets_kind: str
    read_configuration: collections.abc.Callable[
        [records.Record], routes.Configuration | None
    ]
    read_target: collections.abc.Callable[
        [records.Record], blackboard.Target | None
    ]
    caller_app: collections.abc.Callable[[GatewayPorts], types.ASGIApp]
    ready_app: collections.abc.Callable[
        [collections.abc.Callable[[], bool]], types.ASGIApp
    ]
    entry_app: collections.abc.Callable[
        [collections.abc.Callable[[str], Entry | None]],
        types.ASGIApp,
    ]


async def run_until_disconnect(
    job: collections.abc.Callable[[], _Async[None]], receive: types.Receive
) -> None:
    """Run a job until it ends or its caller closes the connection.

    :param receive: of the request, whose body has been read
    """
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            while (await receive())['type'] != 'http.disconnect':
                pass
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        try:
            await job()
        except exceptions.BrokenAnswerError:
            # Returning without the end of the answer closes the connection.
            pass
        tasks.cancel_scope.cancel()

"""Interfaces between a gateway and a platform.

The platform supplies formats and HTTP applications to the gateway; the
gateway supplies to these applications the calls that answer requests.
"""

import collections.abc
import typing

import anyio
import httpx
import result
from starlette import types

from persimmonpass import blackboard
from persimmonpass import budget
from persimmonpass.controllers.batch import job_log
from persimmonpass.controllers.fleet import drain
from persimmonpass import exceptions
from persimmonpass import exchange
from persimmonpass import job_records
from persimmonpass import records
from persimmonpass import routes
from persimmonpass import verdicts

_Async = collections.abc.Awaitable


class Entry(typing.NamedTuple):
    """An entry answer: where callers should connect.

    :ivar addresses: ``ip:port`` of hosts, in the order of preference
    :ivar ttl_seconds: how long callers may keep the answer
    """

    addresses: list[str]
    ttl_seconds: float


class GatewayPorts(typing.NamedTuple):
    """Calls of a gateway that the application for callers makes.

    :ivar max_body_bytes: returns the largest body that is allowed at present
    :ivar accepts: takes a request and its route, ``None`` for a call on a job;
        returns a failure if this host stops and does not take it
    :ivar cancelled_at_stop: returns a scope that is cancelled when this host
        ends the requests in progress, because it stops
    :ivar find_route: takes a request; returns its route, or a failure if
        there is none
    :ivar authenticate: takes a request and its route, ``None`` for a call on a
        job; returns the request with its account, or a failure if it has no
        valid key and needs one
    :ivar serve: takes a request, its route and its caller; sends the answer
    :ivar accept_job: takes a job, its route and the seconds that the caller
        waits or ``None``; stores the job
    :ivar read_results: takes a job id, a position, the seconds to wait for
        a result and the caller's account; returns the results from that
        position on. For this and the next two, the account is ``None`` if the
        configuration has no accounts.
    :ivar read_item_body: takes a job id, an item id and the caller's account;
        returns the item's body
    :ivar end_job: takes a job id, the seconds that the caller waits or
        ``None``, and the caller's account; ends the job
    """

    max_body_bytes: collections.abc.Callable[[], int]
    accepts: collections.abc.Callable[
        [exchange.Call, routes.Route | None],
        result.Result[None, verdicts.Failure],
    ]
    cancelled_at_stop: drain.CancelledAtEnd
    find_route: collections.abc.Callable[
        [exchange.Call],
        _Async[result.Result[routes.Route, verdicts.Failure]],
    ]
    authenticate: collections.abc.Callable[
        [exchange.Call, routes.Route | None],
        _Async[result.Result[exchange.Call, verdicts.Failure]],
    ]
    serve: collections.abc.Callable[
        [exchange.Call, routes.Route, exchange.CallerPort], _Async[None]
    ]
    accept_job: collections.abc.Callable[
        [job_records.Job, routes.Route, float | None],
        _Async[result.Result[None, verdicts.Failure]],
    ]
    read_results: collections.abc.Callable[
        [str, int, float, str | None],
        _Async[result.Result[job_log.Page, verdicts.Failure]],
    ]
    read_item_body: collections.abc.Callable[
        [str, str, str | None], _Async[result.Result[bytes, verdicts.Failure]]
    ]
    end_job: collections.abc.Callable[
        [str, float | None, str | None],
        _Async[result.Result[None, verdicts.Failure]],
    ]


class PlatformPorts(typing.NamedTuple):
    """What a platform supplies to a gateway.

    :ivar connect: takes an HTTP client, an address and a budget of calls;
        returns the port of the store
    :ivar wire: wire format of requests and answers
    :ivar configuration_kind: kind of the records of configuration
    :ivar configuration_name: name of the record that is in use
    :ivar targets_kind: kind of the records of targets
    :ivar read_configuration: decodes a record; returns ``None`` if it is
        not valid
    :ivar read_target: decodes a record; returns ``None`` if it is not valid
    :ivar caller_app: takes the calls of a gateway; returns the application
        for callers
    :ivar ready_app: takes a function that returns whether the host is ready;
        returns the application for readiness checks
    :ivar entry_app: takes a function that returns the entry answer for an
        availability zone; returns the application for entry answers
    :ivar clean_record: takes a kind and a record, as a peer of an older build
        may send it; returns the record without secrets, as hosts keep it
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
    clean_record: records.Clean


async def run_until_disconnect(
    task: collections.abc.Callable[[], _Async[None]], receive: types.Receive
) -> None:
    """Run a task until it ends or the caller closes the connection.

    :param task: serves the request
    :param receive: receives the request's ASGI messages; its body has been
        read already
    """
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            while (await receive())['type'] != 'http.disconnect':
                pass
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        try:
            await task()
        except exceptions.BrokenAnswerError:
            # Returning without the end of the answer closes the connection.
            pass
        tasks.cancel_scope.cancel()

"""Routes of the operator API for status, events, metrics and probes."""

import typing

import result
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass.api import objects as object_routes
from persimmonpass.api import ports as operator_ports
from persimmonpass.controllers.fleet import explain
from persimmonpass import events
from persimmonpass import metrics
from persimmonpass import verdicts


def routes(
    ports: operator_ports.OperatorPorts, authorize: object_routes.Authorize
) -> list[routing.Route]:
    """Return the routes.

    :param authorize: returns the person who sent a request, or a failure if
        the person's role is lower than the one given
    """

    async def show_status(request: requests.Request) -> responses.Response:
        person = authorize(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        return responses.JSONResponse(_status(ports))

    async def show_events(request: requests.Request) -> responses.Response:
        person = authorize(request, 'viewer')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        kind = request.path_params['kind']
        if kind not in events.SUBJECTS:
            allowed = ', '.join(sorted(events.SUBJECTS))
            return answers.make_failure_response(
                verdicts.invalid(
                    'kind', f'expected one of {allowed}, got {kind!r}'
                )
            )
        name = request.path_params['name']
        explanation = await explain.gather(ports.peers, ports.host, kind, name)
        return responses.JSONResponse(explanation)

    async def show_metrics(request: requests.Request) -> responses.Response:
        return responses.Response(
            ports.counters.render(), media_type=metrics.CONTENT_TYPE
        )

    async def show_health(request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse('ok\n')

    async def show_ready(request: requests.Request) -> responses.Response:
        ready = ports.is_ready()
        return responses.PlainTextResponse(
            'ready\n' if ready else 'not ready\n', 200 if ready else 503
        )

    return [
        routing.Route('/v1/status', show_status),
        routing.Route('/v1/explain/{kind}/{name:path}', show_events),
        routing.Route('/metrics', show_metrics),
        routing.Route('/healthz', show_health),
        routing.Route('/readyz', show_ready),
    ]


def _status(ports: operator_ports.OperatorPorts) -> dict[str, typing.Any]:
    loads = dict(ports.board.loads.items())
    host_loads = dict(ports.board.host_loads.items())
    members = [
        {**row._asdict(), 'load': host_loads.get(row.host)}
        for row in ports.board.members.rows()
    ]
    rows = []
    for target in ports.board.targets.rows():
        load = loads.get(target.name)
        rows.append(
            {
                **target._asdict(),
                'running': load.reported if load else None,
                'models': list(load.models) if load else [],
            }
        )
    versions = [item.version for item in ports.board.objects.rows()]
    return {
        'host': ports.host,
        'config_version': max(versions, default=0),
        'members': sorted(members, key=lambda row: row['host']),
        'targets': sorted(rows, key=lambda row: row['name']),
    }

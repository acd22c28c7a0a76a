"""Application for operators: configuration, status, drain and metrics."""

import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass.api import objects
from persimmonpass.api import ports as operator_ports
from persimmonpass.api import spread
from persimmonpass.api import status
from persimmonpass import auth
from persimmonpass import events
from persimmonpass import verdicts


def make_app(
    ports: operator_ports.OperatorPorts,
) -> applications.Starlette:
    """Make the application that serves the operator port."""

    def authorize(
        request: requests.Request, role: str
    ) -> result.Result[auth.Person, verdicts.Failure]:
        return auth.find_person(
            ports.board, request.headers, role, ports.admin_token_sha256
        )

    async def drain(request: requests.Request) -> responses.Response:
        person = authorize(request, 'operator')
        if isinstance(person, result.Err):
            return answers.make_failure_response(person.err_value)
        events.log(
            events.DRAIN_REQUESTED,
            host=ports.host,
            person=person.ok_value.name,
        )
        ports.start_drain()
        return responses.JSONResponse({'host': ports.host}, 202)

    return applications.Starlette(
        routes=[
            *objects.routes(ports, authorize),
            *status.routes(ports, authorize),
            spread.route(ports.config, authorize),
            routing.Route('/v1/drain', drain, methods=['POST']),
        ]
    )

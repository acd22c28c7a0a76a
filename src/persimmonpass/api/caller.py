"""Application for callers: completions, service calls, jobs and entry."""

import hashlib
import random
import typing
import uuid

import anyio
import msgspec
import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.api import answers
from persimmonpass.api import completions
from persimmonpass.api import jobs
from persimmonpass.api import ports as caller_ports
from persimmonpass.api import stops
from persimmonpass import auth
from persimmonpass.controllers.fleet import config
from persimmonpass.controllers.online import keys as key_controller
from persimmonpass.controllers.online import online_requests
from persimmonpass import events
from persimmonpass import exchange
from persimmonpass import keys
from persimmonpass.policy import entry
from persimmonpass.targets import service
from persimmonpass import verdicts

KEY_HEADER = 'idempotency-key'
DEADLINE_HEADER = 'persimmonpass-deadline-seconds'
MAX_KEY_LENGTH = 200
_KEY_NAME = KEY_HEADER.encode()
SERVICE_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


class CompletionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/completions``.

    :ivar model: name of a model that a service offers, or of a service
    """

    model: str
    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    stream: bool = False


def read_key(headers: exchange.Headers) -> str:
    """Return the idempotency key of a request; empty if it has none."""
    found = [value for name, value in headers if name.lower() == _KEY_NAME]
    return found[-1].decode('latin-1') if found else ''


def make_app(ports: caller_ports.CallerPorts) -> applications.Starlette:
    """Make the application that serves the caller port."""

    async def complete(request: requests.Request) -> responses.Response:
        checked = await _check_completion(ports, request)
        if isinstance(checked, result.Err):
            return answers.make_failure_response(checked.err_value)
        completion, stream = checked.ok_value
        return completions.CompletionResponse(ports, completion, stream)

    async def call_service(request: requests.Request) -> responses.Response:
        checked = await _check_service_call(ports, request)
        if isinstance(checked, result.Err):
            return answers.make_failure_response(checked.err_value)
        online_request, call = checked.ok_value
        with (
            anyio.CancelScope(shield=True),
            ports.spans.span(
                'entry.call', online_request.headers
            ) as trace_headers,
        ):
            online_request = online_request._replace(
                headers=online_request.headers | trace_headers
            )
            outcome = await ports.online.call(online_request, call)
        if isinstance(outcome, result.Err):
            return answers.make_failure_response(outcome.err_value)
        return completions.make_answer(online_request, outcome.ok_value)

    async def show_request(request: requests.Request) -> responses.Response:
        account = auth.find_account(ports.board, request.headers)
        if isinstance(account, result.Err):
            return answers.make_failure_response(account.err_value)
        name = key_controller.KeyName(
            account.ok_value.name, request.path_params['key']
        )
        found = await ports.key_calls.look_up(name)
        if isinstance(found, result.Err):
            return answers.make_failure_response(found.err_value)
        return _make_state_response(name, found.ok_value)

    async def show_entry(request: requests.Request) -> responses.Response:
        zone = request.query_params.get('availability_zone', '')
        board = ports.board
        hosts = entry.hosts_of(
            board.members.rows(),
            board.host_loads.get,
            ports.seconds_in_state,
        )
        ttl = ports.entry_ttl_seconds
        return responses.JSONResponse(
            {
                'addresses': entry.order(hosts, zone, random.random),
                'ttl_seconds': ttl,
            },
            headers={'Cache-Control': f'max-age={int(ttl)}'},
        )

    routes = [
        routing.Route('/v1/completions', complete, methods=['POST']),
        routing.Route(
            '/v1/services/{service}/{path:path}',
            call_service,
            methods=SERVICE_METHODS,
        ),
        routing.Route('/v1/requests/{key}', show_request),
        routing.Route('/v1/entry', show_entry),
        *jobs.routes(ports),
    ]
    return applications.Starlette(routes=routes)


async def _check_completion(
    ports: caller_ports.CallerPorts, request: requests.Request
) -> result.Result[
    tuple[online_requests.CompletionRequest, bool], verdicts.Failure
]:
    account = auth.find_account(ports.board, request.headers)
    if isinstance(account, result.Err):
        return account
    raw = await answers.read_body(request, ports.max_body_bytes)
    if isinstance(raw, result.Err):
        return raw
    decoded = answers.read_json(raw.ok_value, CompletionBody)
    if isinstance(decoded, result.Err):
        return decoded
    body = decoded.ok_value
    found = config.find_service(ports.board, body.model)
    if found is None or found.spec.type != 'engine':
        return result.Err(
            verdicts.invalid(
                'model',
                f'no service of type engine offers {body.model!r}',
                404,
            )
        )
    checked = _make_online_request(
        account.ok_value, request, found, raw.ok_value, uuid.uuid4().hex
    ).and_then(lambda online: _accept(ports, online, True))
    return checked.map(
        lambda online_request: (
            online_requests.CompletionRequest(
                online_request, body.prompt, body.max_tokens
            ),
            body.stream,
        )
    )


async def _check_service_call(
    ports: caller_ports.CallerPorts, request: requests.Request
) -> result.Result[
    tuple[online_requests.OnlineRequest, service.ServiceCall], verdicts.Failure
]:
    account = auth.find_account(ports.board, request.headers)
    if isinstance(account, result.Err):
        return account
    name = request.path_params['service']
    found = config.find_service(ports.board, name)
    if found is None or found.spec.type != 'plain':
        return result.Err(
            verdicts.invalid(
                'service', f'no service of type plain is named {name!r}', 404
            )
        )
    raw = await answers.read_body(request, ports.max_body_bytes)
    if isinstance(raw, result.Err):
        return raw
    path = '/' + request.path_params['path']
    if request.url.query:
        path = f'{path}?{request.url.query}'
    call = service.ServiceCall(
        request.method, path, dict(request.headers), raw.ok_value
    )
    runs_once = online_requests.is_non_idempotent(found.spec, call)
    if runs_once and KEY_HEADER not in request.headers:
        return result.Err(
            verdicts.invalid(
                'Idempotency-Key',
                'required, as the service declares this call non-idempotent',
            )
        )
    content = f'{request.method} {path}\n'.encode() + raw.ok_value
    checked = _make_online_request(
        account.ok_value, request, found, content, uuid.uuid4().hex
    ).and_then(lambda online: _accept(ports, online, not runs_once))
    return checked.map(lambda online_request: (online_request, call))


def _accept(
    ports: caller_ports.CallerPorts,
    online_request: online_requests.OnlineRequest,
    may_repeat: bool,
) -> result.Result[online_requests.OnlineRequest, verdicts.Failure]:
    """Turn a request away that a host which stops might not finish."""
    if ports.accepts(online_request.limit_seconds, may_repeat):
        return result.Ok(online_request)
    return result.Err(stops.turned_away())


def _make_online_request(
    account: auth.Account,
    request: requests.Request,
    found: config.Service,
    content: bytes,
    new_key: str,
) -> result.Result[online_requests.OnlineRequest, verdicts.Failure]:
    key = request.headers.get(KEY_HEADER, new_key)
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        return result.Err(
            verdicts.invalid(
                'Idempotency-Key',
                f'expected 1 to {MAX_KEY_LENGTH} characters, got {len(key)}',
            )
        )
    limit_seconds = answers.read_seconds(
        request.headers.get(DEADLINE_HEADER), found.spec.deadline_seconds
    )
    if isinstance(limit_seconds, result.Err):
        return result.Err(
            verdicts.invalid(DEADLINE_HEADER, limit_seconds.err_value)
        )
    return result.Ok(
        online_requests.OnlineRequest(
            key_controller.KeyName(account.name, key),
            hashlib.sha256(content).hexdigest(),
            found.name,
            found.spec,
            min(limit_seconds.ok_value, found.spec.deadline_seconds),
            dict(request.headers),
            account.spec.limits,
        )
    )


def _make_state_response(
    name: key_controller.KeyName, key_state: keys.Begun
) -> responses.Response:
    answer = key_state['answer']
    if answer is not None:
        answer = keys.Answer(*answer)
        return responses.Response(
            answer.body,
            answer.status,
            {
                answers.REQUEST_ID_HEADER: name.key,
                answers.RECORDED_HEADER: 'true',
                answers.VERDICT_HEADER: verdicts.Verdict.RAN.value,
            },
            answer.content_type or None,
        )
    if key_state['state'] == keys.RELEASED:
        return answers.make_failure_response(
            verdicts.Failure(
                verdicts.Verdict.NOT_RUN,
                events.REQUEST_INVALID,
                f'request {name.key!r} does not exist',
                404,
            )
        )
    return responses.JSONResponse(
        {
            'id': name.key,
            'state': key_state['state'],
            'verdict': verdicts.Verdict.MAY_HAVE_RUN.value,
        },
        202,
        {
            answers.REQUEST_ID_HEADER: name.key,
            answers.VERDICT_HEADER: verdicts.Verdict.MAY_HAVE_RUN.value,
        },
    )

"""Routes for callers: requests, jobs and entry answers."""

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
from persimmonpass import auth
from persimmonpass.controllers import config
from persimmonpass.controllers import keys as key_controller
from persimmonpass.controllers import online_requests
from persimmonpass import events
from persimmonpass import keys
from persimmonpass.policy import entry
from persimmonpass.targets import service
from persimmonpass import verdicts

KEY_HEADER = 'idempotency-key'
DEADLINE_HEADER = 'persimmonpass-deadline-seconds'
MAX_KEY_LENGTH = 200


METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


class CompletionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/completions``.

    :ivar model: model that a service offers, or the name of a service
    """

    model: str
    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    stream: bool = False


def make_app(ports: caller_ports.CallerPorts) -> applications.Starlette:
    """Make the application that callers talk to."""

    async def complete(request: requests.Request) -> responses.Response:
        checked = await _check_completion(ports, request)
        if isinstance(checked, result.Err):
            return answers.fail(checked.err_value)
        completion, stream = checked.ok_value
        return completions.CompletionResponse(ports, completion, stream)

    async def call_service(request: requests.Request) -> responses.Response:
        checked = await _check_call(ports, request)
        if isinstance(checked, result.Err):
            return answers.fail(checked.err_value)
        name, call = checked.ok_value
        with (
            anyio.CancelScope(shield=True),
            ports.spans.span('entry.call', name.headers) as trace_headers,
        ):
            name = name._replace(headers=name.headers | trace_headers)
            outcome = await ports.online.call(name, call)
        if isinstance(outcome, result.Err):
            return answers.fail(outcome.err_value)
        return completions.make_answer(name, outcome.ok_value)

    async def show_request(request: requests.Request) -> responses.Response:
        account = auth.find_account(ports.board, request.headers)
        if isinstance(account, result.Err):
            return answers.fail(account.err_value)
        name = key_controller.KeyName(
            account.ok_value.name, request.path_params['key']
        )
        found = await ports.key_calls.look_up(name)
        if isinstance(found, result.Err):
            return answers.fail(found.err_value)
        return _show_state(name, found.ok_value)

    async def show_entry(request: requests.Request) -> responses.Response:
        zone = request.query_params.get('availability_zone', '')
        board = ports.board
        hosts = entry.hosts_of(board.members.rows(), board.host_loads.get)
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
            methods=METHODS,
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
    raw = await answers.read_body(request)
    if isinstance(raw, result.Err):
        return raw
    decoded = answers.read_json(raw.ok_value, CompletionBody)
    if isinstance(decoded, result.Err):
        return decoded
    body = decoded.ok_value
    found = config.find_service(ports.board, body.model)
    if found is None or found.spec.type != 'engine':
        return result.Err(
            verdicts.invalid('model', f'no service offers {body.model!r}', 404)
        )
    checked = _make_online(
        account.ok_value, request, found, raw.ok_value, uuid.uuid4().hex
    )
    return checked.map(
        lambda made: (
            online_requests.CompletionRequest(
                made, body.prompt, body.max_tokens
            ),
            body.stream,
        )
    )


async def _check_call(
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
            verdicts.invalid('service', f'{name!r} is unknown', 404)
        )
    raw = await answers.read_body(request)
    if isinstance(raw, result.Err):
        return raw
    path = '/' + request.path_params['path']
    if request.url.query:
        path = f'{path}?{request.url.query}'
    call = service.ServiceCall(
        request.method, path, dict(request.headers), raw.ok_value
    )
    once = online_requests.is_non_idempotent(found.spec, call)
    if once and KEY_HEADER not in request.headers:
        return result.Err(
            verdicts.invalid(
                'Idempotency-Key', 'this call may run only once and needs one'
            )
        )
    content = f'{request.method} {path}\n'.encode() + raw.ok_value
    checked = _make_online(
        account.ok_value, request, found, content, uuid.uuid4().hex
    )
    return checked.map(lambda made: (made, call))


def _make_online(
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
                'Idempotency-Key', f'needs 1 to {MAX_KEY_LENGTH} characters'
            )
        )
    limit = answers.read_seconds(
        request.headers.get(DEADLINE_HEADER), found.spec.deadline_seconds
    )
    if isinstance(limit, result.Err):
        return result.Err(verdicts.invalid(DEADLINE_HEADER, limit.err_value))
    return result.Ok(
        online_requests.OnlineRequest(
            key_controller.KeyName(account.name, key),
            hashlib.sha256(content).hexdigest(),
            found.name,
            found.spec,
            min(limit.ok_value, found.spec.deadline_seconds),
            dict(request.headers),
            account.spec.limits,
        )
    )


def _show_state(
    name: key_controller.KeyName, begun: keys.Begun
) -> responses.Response:
    answer = begun['answer']
    if answer is not None:
        answer = keys.Answer(*answer)
        return responses.Response(
            answer.body,
            answer.status,
            {
                answers.REQUEST_HEADER: name.key,
                answers.RECORDED_HEADER: 'true',
                answers.VERDICT_HEADER: verdicts.Verdict.RAN.value,
            },
            answer.content_type or None,
        )
    if begun['state'] == keys.RELEASED:
        return answers.fail(
            verdicts.Failure(
                verdicts.Verdict.NOT_RUN,
                events.REQUEST_INVALID,
                f'no request {name.key!r} is known',
                404,
            )
        )
    return responses.JSONResponse(
        {
            'id': name.key,
            'state': begun['state'],
            'verdict': verdicts.Verdict.MAY_HAVE_RUN.value,
        },
        202,
        {
            answers.REQUEST_HEADER: name.key,
            answers.VERDICT_HEADER: verdicts.Verdict.MAY_HAVE_RUN.value,
        },
    )

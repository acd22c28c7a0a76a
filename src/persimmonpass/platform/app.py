"""ASGI applications that serve the platform's paths.

They translate requests into calls of :class:`gateway_ports.GatewayPorts` and
the results into answers.
"""

import collections.abc
import enum
import typing
import urllib.parse

import msgspec
import result
from starlette import types

from persimmonpass import exchange
from persimmonpass import gateway_ports
from persimmonpass.platform import jobs
from persimmonpass.platform import wire
from persimmonpass import routes
from persimmonpass import verdicts

READY_PATH = '/persimmonpass/readyz'
RESOLVE_PATH = '/persimmonpass/resolve'
JOBS_PREFIX = '/persimmonpass/lots/'
ITEMS_PREFIX = '/persimmonpass/items/'
WAIT_MS = b'wait-ms'
MAX_WAIT_SECONDS = 1.0

_MILLISECONDS = 1000
_JSON = (b'content-type', b'application/json')
_Query = dict[str, str]


class _BodyError(enum.Enum):
    """Why the body of a request cannot be read.

    :cvar CUT: the caller closed the connection before the end of the body
    :cvar TOO_LONG: the body is longer than allowed
    """

    CUT = 'cut'
    TOO_LONG = 'too long'


class _Caller:
    """Sends the answer to one request.

    :ivar port: the calls with which a gateway streams an answer
    """

    def __init__(self, send: types.Send) -> None:
        self._send = send
        self.port = exchange.CallerPort(self._start, self._body)

    async def _start(self, status: int, headers: exchange.Headers) -> None:
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def _body(self, data: bytes, more: bool) -> None:
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': more}
        )

    async def answer(
        self, status: int, body: bytes = b'', *headers: tuple[bytes, bytes]
    ) -> None:
        """Send a complete answer."""
        length = (b'content-length', str(len(body)).encode())
        await self._start(status, [*headers, length])
        await self._body(body, False)

    async def refuse(self, failure: verdicts.Failure) -> None:
        """Send the status of a failure and when to retry, without a body."""
        await exchange.refuse(
            self.port, failure.status, failure.retry_after_seconds
        )


def make_caller_app(ports: gateway_ports.GatewayPorts) -> types.ASGIApp:
    """Return the application that serves the requests of callers.

    It answers 413 to a body that is too long and 400 to a request that it
    cannot parse.
    """

    async def app(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] != 'http':
            return
        caller = _Caller(send)
        found = await _read_body(receive, ports.max_body_bytes())
        if found is _BodyError.CUT:
            return
        if found is _BodyError.TOO_LONG:
            await caller.answer(413)
            return
        body = typing.cast(bytes, found)
        path: bytes = scope['raw_path']
        if scope['query_string']:
            path += b'?' + scope['query_string']
        try:
            call = wire.read_call(
                scope['method'], path, list(scope['headers']), body
            )
        except ValueError:
            await caller.answer(400)
            return
        await gateway_ports.run_until_disconnect(
            lambda: _serve(ports, call, caller), receive
        )

    return app


async def _serve(
    ports: gateway_ports.GatewayPorts, call: exchange.Call, caller: _Caller
) -> None:
    path = call.route_path
    if path.startswith((JOBS_PREFIX, ITEMS_PREFIX)):
        known = await ports.authenticate(call, None)
        if isinstance(known, result.Err):
            await caller.refuse(known.err_value)
            return
        call = known.ok_value
    if path.startswith(JOBS_PREFIX):
        await _serve_job(ports, call, caller, path[len(JOBS_PREFIX) :])
        return
    if path.startswith(ITEMS_PREFIX):
        job_id = urllib.parse.unquote(path[len(ITEMS_PREFIX) :])
        item_id = _parse_query(call.query).get('id', '')
        found = await ports.read_item_body(job_id, item_id, _account_of(call))
        if isinstance(found, result.Err):
            await caller.refuse(found.err_value)
        else:
            await caller.answer(200, found.ok_value)
        return
    found_route = await ports.find_route(call)
    if isinstance(found_route, result.Err):
        await caller.refuse(found_route.err_value)
        return
    route = found_route.ok_value
    authenticated = await ports.authenticate(call, route)
    if isinstance(authenticated, result.Err):
        await caller.refuse(authenticated.err_value)
        return
    call = authenticated.ok_value
    if route.kind is not routes.Kind.JOB:
        await ports.serve(call, route, caller.port)
        return
    job = jobs.read_job(call, route)
    if job is None:
        await caller.answer(400)
        return
    accepted = await ports.accept_job(job, route, call.deadline_seconds)
    if isinstance(accepted, result.Err):
        await caller.refuse(accepted.err_value)
    else:
        await caller.answer(202)


async def _serve_job(
    ports: gateway_ports.GatewayPorts,
    call: exchange.Call,
    caller: _Caller,
    name: str,
) -> None:
    job_id = urllib.parse.unquote(name)
    if call.method == 'DELETE':
        ended = await ports.end_job(
            job_id, call.deadline_seconds, _account_of(call)
        )
        if isinstance(ended, result.Err):
            await caller.refuse(ended.err_value)
        else:
            await caller.answer(200)
        return
    headers = {name.lower(): value for name, value in call.headers}
    try:
        after = int(_parse_query(call.query).get('after', '0'))
        wait = float(headers.get(WAIT_MS, b'0')) / _MILLISECONDS
    except ValueError:
        await caller.answer(400)
        return
    found = await ports.read_results(
        job_id, after, min(wait, MAX_WAIT_SECONDS), _account_of(call)
    )
    if isinstance(found, result.Err):
        await caller.refuse(found.err_value)
        return
    page = found.ok_value
    body = jobs.encode_page(page.total, page.next, page.results)
    await caller.answer(200, body, _JSON)


def _account_of(call: exchange.Call) -> str | None:
    return call.account if call.has_accounts else None


def make_ready_app(
    is_ready: collections.abc.Callable[[], bool],
) -> types.ASGIApp:
    """Return the application that answers the platform's readiness checks.

    :param is_ready: returns whether this host accepts requests
    """

    async def app(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] != 'http':
            return
        caller = _Caller(send)
        if scope['path'] != READY_PATH:
            await caller.answer(404)
        else:
            await caller.answer(200 if is_ready() else 503)

    return app


def make_entry_app(
    find_entry: collections.abc.Callable[[str], gateway_ports.Entry | None],
) -> types.ASGIApp:
    """Return the application that tells callers where to connect.

    :param find_entry: availability zone of the caller, or empty -> the hosts
        to connect to; ``None`` if unknown, which is answered with 503
    """

    async def app(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] != 'http':
            return
        caller = _Caller(send)
        if scope['path'] != RESOLVE_PATH:
            await caller.answer(404)
            return
        zone = _parse_query(scope['query_string']).get('zone', '')
        entry = find_entry(zone)
        if entry is None:
            await caller.answer(503)
            return
        body = msgspec.json.encode(
            {'addresses': entry.addresses, 'ttlS': entry.ttl_seconds}
        )
        await caller.answer(200, body, _JSON)

    return app


async def _read_body(receive: types.Receive, limit: int) -> bytes | _BodyError:
    """Return a request's body, or why it cannot be read.

    :param limit: largest size in bytes
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] != 'http.request':
            return _BodyError.CUT
        part = typing.cast(bytes, message.get('body', b''))
        size += len(part)
        if size > limit:
            return _BodyError.TOO_LONG
        parts.append(part)
        if not message.get('more_body', False):
            return b''.join(parts)


def _parse_query(text: bytes) -> _Query:
    return dict(urllib.parse.parse_qsl(text.decode('latin-1')))

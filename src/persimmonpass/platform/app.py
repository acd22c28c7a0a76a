"""ASGI applications that serve the platform's paths.

They translate requests into calls of :class:`gateway_ports.GatewayPorts` and
the results into answers.
"""

import collections.abc
import enum
import typing
import urllib.parse

import anyio
import msgspec
import result
from starlette import types

from persimmonpass import exceptions
from persimmonpass import exchange
from persimmonpass import gateway_ports
from persimmonpass import intake
from persimmonpass import numerals
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
# How long the body of a request that was refused by its head is still read.
# Closing a connection with unread bytes resets it, and the caller may lose the
# answer. Less than the grace period of a host that stops.
DROP_SECONDS = 3.0
# The same at the end of a stop.
STOP_DROP_SECONDS = 0.2
# How long a caller may take to read what one send waits for, which is at most
# the buffers of its connection, about 100 kB.
CALLER_STALL_SECONDS = 5.0
SEND_BYTES = 16_384
# A job is in memory as its body, its items and its records.
JOB_COPIES = 5
NO_ROOM_RETRY_SECONDS = 1.0

_MILLISECONDS = 1000
_JSON = (b'content-type', b'application/json')
_Query = dict[str, str]


class _BodyError(enum.Enum):
    """Why the body of a request cannot be read.

    :cvar CUT: the caller closed the connection before the end of the body
    :cvar TOO_LONG: the body is longer than allowed
    :cvar NO_ROOM: the requests in progress hold as much as they may
    """

    CUT = 'cut'
    TOO_LONG = 'too long'
    NO_ROOM = 'no room'


class _Held(typing.NamedTuple):
    """What a request holds once it has been read.

    :ivar copies: how often its body is in memory
    """

    connection: intake.Connection
    copies: int


class _Caller:
    """Sends the answer to one request.

    :ivar port: the calls with which a gateway streams an answer
    :ivar has_started: whether the head of the answer was sent
    :ivar connection: what its connection holds
    """

    def __init__(
        self, send: types.Send, connection: intake.Connection
    ) -> None:
        self.connection = connection
        self._send = send
        self.has_started = False
        self.port = exchange.CallerPort(self._start, self._body)

    async def _start(self, status: int, headers: exchange.Headers) -> None:
        self.has_started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def _body(self, data: bytes, more: bool) -> None:
        """Send a part of the body.

        :raises CallerStalledError: if the caller takes next to nothing
        """
        for start in range(0, max(1, len(data)), SEND_BYTES):
            part = data[start : start + SEND_BYTES]
            follows = more or start + SEND_BYTES < len(data)
            with anyio.move_on_after(CALLER_STALL_SECONDS) as limit:
                await self._send(
                    {
                        'type': 'http.response.body',
                        'body': part,
                        'more_body': follows,
                    }
                )
            if limit.cancelled_caught:
                raise exceptions.CallerStalledError

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

    async def start_refusal(
        self, status: int, retry_after_seconds: float | None
    ) -> None:
        """Send a refusal as :meth:`refuse` does, without its end."""
        await exchange.refuse(
            self.port._replace(send=_send_nothing), status, retry_after_seconds
        )

    async def end(self) -> None:
        """Send the end of an answer that has no body."""
        await self._body(b'', False)


async def _send_nothing(data: bytes, more: bool) -> None:
    pass


def make_caller_app(ports: gateway_ports.GatewayPorts) -> types.ASGIApp:
    """Return the application that serves the requests of callers.

    A request that its head shows to be malformed, unauthenticated or without a
    route is refused before its body is read. The answer is 413 to a body that
    is too long and 400 to a request that cannot be parsed.
    """

    async def app(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] != 'http':
            return
        caller = _Caller(send, intake.find(scope))
        path: bytes = scope['raw_path']
        if scope['query_string']:
            path += b'?' + scope['query_string']
        try:
            head = wire.read_call(
                scope['method'], path, list(scope['headers']), b''
            )
        except ValueError:
            await _refuse_head(caller, receive, ports.max_body_bytes(), 400)
            return
        found = await _find_route(ports, head)
        if isinstance(found, result.Err):
            await _refuse_head(
                caller,
                receive,
                ports.max_body_bytes(),
                found.err_value.status,
                found.err_value.retry_after_seconds,
            )
            return
        if exchange.read_length(scope['headers']) > ports.max_body_bytes():
            await _refuse_head(caller, receive, ports.max_body_bytes(), 413)
            return
        route = found.ok_value
        is_job = route is not None and route.kind is routes.Kind.JOB
        held = _Held(caller.connection, JOB_COPIES if is_job else 1)
        with ports.cancelled_at_stop(head.id) as reading:
            body = await _read_body(receive, ports.max_body_bytes(), held)
        if reading.cancelled_caught:
            # Nothing ran, as the request was not read whole.
            await _refuse_head(
                caller,
                receive,
                ports.max_body_bytes(),
                503,
                0.0,
                STOP_DROP_SECONDS,
            )
            return
        if body is _BodyError.CUT:
            return
        if body is _BodyError.TOO_LONG:
            await caller.answer(413)
            return
        if body is _BodyError.NO_ROOM:
            await exchange.refuse(caller.port, 503, NO_ROOM_RETRY_SECONDS)
            return
        call = head._replace(body=typing.cast(bytes, body))
        await gateway_ports.run_until_disconnect(
            lambda: _serve(ports, call, route, caller), receive
        )

    return app


async def _find_route(
    ports: gateway_ports.GatewayPorts, head: exchange.Call
) -> result.Result[routes.Route | None, verdicts.Failure]:
    """Check the head of a request before its body is read.

    :returns: its route, ``None`` for a call on a job; a failure if there is no
        route, the caller is not authenticated or the host stops
    """
    route: routes.Route | None = None
    if not head.route_path.startswith((JOBS_PREFIX, ITEMS_PREFIX)):
        found = await ports.find_route(head)
        if isinstance(found, result.Err):
            return found
        route = found.ok_value
    known = await ports.authenticate(head, route)
    accepted = known.and_then(lambda call: ports.accepts(call, route))
    return accepted.map(lambda _: route)


async def _refuse_head(
    caller: _Caller,
    receive: types.Receive,
    limit: int,
    status: int,
    retry_after_seconds: float | None = None,
    drop_seconds: float | None = None,
) -> None:
    """Refuse a request whose body has not been read.

    The answer is sent whole at once, but ends only after the body has been
    read: the server closes the connection at the end of an answer if the body
    of the request has not ended by then.

    :param limit: largest number of bytes of the body that are read
    :param drop_seconds: how long they are read; ``None`` for the usual time
    """
    await caller.start_refusal(status, retry_after_seconds)
    with anyio.move_on_after(drop_seconds or DROP_SECONDS):
        if await _drop_body(receive, limit, caller.connection):
            return
    # The server's queue of received messages is bounded. If it is full, the
    # end of the answer waits until a message has been taken from it.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_drop_until_disconnect, receive)
        await caller.end()
        tasks.cancel_scope.cancel()


async def _drop_body(
    receive: types.Receive, limit: int, connection: intake.Connection
) -> bool:
    """Read the body of a request without keeping it.

    :param limit: largest number of bytes that are read
    :param connection: connection that holds it
    :returns: whether the caller closed the connection
    """
    size = 0
    while size <= limit:
        message = await receive()
        if message['type'] != 'http.request':
            return True
        part = len(message.get('body', b''))
        connection.release(part)
        size += part
        if not message.get('more_body', False):
            break
    return False


async def _drop_until_disconnect(receive: types.Receive) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass


async def _serve(
    ports: gateway_ports.GatewayPorts,
    call: exchange.Call,
    route: routes.Route | None,
    caller: _Caller,
) -> None:
    """Serve a request whose body has been read.

    :param route: its route, ``None`` for a call on a job
    """
    # The caller's key may have been withdrawn while the body arrived, and the
    # stop of this host may have begun.
    known = await ports.authenticate(call, route)
    accepted = known.and_then(lambda call: ports.accepts(call, route))
    if isinstance(accepted, result.Err):
        await caller.refuse(accepted.err_value)
        return
    call = known.unwrap()
    if route is not None and route.kind is not routes.Kind.JOB:
        await ports.serve(call, route, caller.port)
        return
    with ports.cancelled_at_stop(call.id) as scope:
        if route is None:
            await _serve_job_call(ports, call, caller)
        else:
            await _submit_job(ports, call, route, caller)
    if scope.cancelled_caught and not caller.has_started:
        # The job may have been stored or ended.
        await caller.answer(504)


async def _submit_job(
    ports: gateway_ports.GatewayPorts,
    call: exchange.Call,
    route: routes.Route,
    caller: _Caller,
) -> None:
    job = jobs.read_job(call, route)
    if job is None:
        await caller.answer(400)
        return
    accepted = await ports.accept_job(job, route, call.deadline_seconds)
    if isinstance(accepted, result.Err):
        await caller.refuse(accepted.err_value)
    else:
        await caller.answer(202)


async def _serve_job_call(
    ports: gateway_ports.GatewayPorts, call: exchange.Call, caller: _Caller
) -> None:
    path = call.route_path
    if path.startswith(JOBS_PREFIX):
        await _serve_job(ports, call, caller, path[len(JOBS_PREFIX) :])
        return
    job_id = urllib.parse.unquote(path[len(ITEMS_PREFIX) :])
    item_id = _parse_query(call.query).get('id', '')
    found = await ports.read_item_body(job_id, item_id, _account_of(call))
    if isinstance(found, result.Err):
        await caller.refuse(found.err_value)
    else:
        await caller.answer(200, found.ok_value)


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
    after = numerals.read_integer(_parse_query(call.query).get('after', '0'))
    wait_ms = numerals.read_decimal(headers.get(WAIT_MS, b'0'))
    if after is None or wait_ms is None:
        await caller.answer(400)
        return
    found = await ports.read_results(
        job_id,
        after,
        min(wait_ms / _MILLISECONDS, MAX_WAIT_SECONDS),
        _account_of(call),
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
        caller = _Caller(send, intake.find(scope))
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
        caller = _Caller(send, intake.find(scope))
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


async def _read_body(
    receive: types.Receive, limit: int, held: _Held
) -> bytes | _BodyError:
    """Return a request's body, or why it cannot be read.

    :param limit: largest size in bytes
    """
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] != 'http.request':
            return _BodyError.CUT
        body += message.get('body', b'')
        if len(body) > limit:
            return _BodyError.TOO_LONG
        if not message.get('more_body', False):
            if not held.connection.take_whole(held.copies):
                return _BodyError.NO_ROOM
            return bytes(body)


def _parse_query(text: bytes) -> _Query:
    return dict(urllib.parse.parse_qsl(text.decode('latin-1')))

"""Fakes of the platform: its store and its model servers, over HTTP."""

import asyncio
import base64
import contextlib
import contextvars
import json
from unittest import mock

import anyio
import httpx
import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass import blackboard
from persimmonpass.controllers.targets import error_answers
from persimmonpass.controllers.targets import target_paths
from persimmonpass.controllers.targets import target_stats
from persimmonpass import events
from persimmonpass import gateway
from persimmonpass import gateway_settings
from persimmonpass.platform import ports
from persimmonpass.policy import core
from persimmonpass import servers
from tests import fakes
from tests import record_fakes
from tests import test_store_client

HOST = 'notes.example'
TOKENS = 4
# Name of the host to which the present task belongs.
current_host = contextvars.ContextVar('current_host', default='')


class StoreApp:
    """The HTTP application of the platform's store, on a store in memory.

    :ivar error_status: status of every answer, ``None`` to answer normally
    :ivar silent: whether calls are never answered
    :ivar page_rows: most objects on a page of a list
    :ivar raw: JSON that answers have in place of the texts ``@NAME``, by name
    """

    def __init__(self, memory=None):
        self.memory = memory or record_fakes.MemoryRecords()
        self.error_status = None
        self.silent = False
        self.page_rows = 2
        self.raw = {}
        path = '/persimmonpass/objects/{kind}'
        self.app = applications.Starlette(
            routes=[
                routing.Route(path, self._list, methods=['GET']),
                routing.Route(path, self._create, methods=['POST']),
                routing.Route(path + '/{name}', self._get, methods=['GET']),
                routing.Route(
                    path + '/{name}', self._replace, methods=['PUT']
                ),
                routing.Route(
                    path + '/{name}', self._delete, methods=['DELETE']
                ),
                routing.Route(
                    path + '/{name}/status', self._status, methods=['PUT']
                ),
            ]
        )

    async def _simulate_outage(self):
        if self.silent:
            await anyio.sleep_forever()
        if self.error_status is not None:
            return responses.Response(status_code=self.error_status)
        return None

    @staticmethod
    def _encode(row):
        return {
            'metadata': {'name': row.name, 'revision': row.version},
            'spec': row.data,
            'status': row.status,
        }

    def _respond(self, body):
        text = json.dumps(body)
        for name, raw in self.raw.items():
            text = text.replace(f'"@{name}"', raw)
        return responses.Response(text, media_type='application/json')

    async def _answer(self, request, outcome):
        if isinstance(outcome, result.Ok):
            key = (
                request.path_params['kind'],
                request.path_params.get('name', self._name),
            )
            row = self.memory.rows.get(key)
            body = {} if row is None else self._encode(row)
            return self._respond(body)
        event = outcome.err_value.event
        if event == events.STORE_OUTCOME_UNKNOWN:
            await anyio.sleep_forever()
        status = {
            events.STORE_CONFLICT: 409,
            events.STORE_NOT_FOUND: 404,
            events.STORE_REJECTED: 413,
        }.get(event, 503)
        return responses.Response(status_code=status)

    async def _list(self, request: requests.Request):
        failure = await self._simulate_outage()
        if failure is not None:
            return failure
        kind = request.path_params['kind']
        if 'watch' in request.query_params:
            outcome = await self.memory.port.watch(
                kind,
                int(request.query_params['watch']),
                int(request.query_params['waitMs']) / 1000,
            )
            if isinstance(outcome, result.Err):
                lost = outcome.err_value.event == events.STORE_HISTORY_LOST
                return responses.Response(status_code=410 if lost else 503)
            return self._respond(
                {
                    'storeRevision': outcome.ok_value.version,
                    'events': [
                        {'object': self._encode(row), 'deleted': row.deleted}
                        for row in outcome.ok_value.records
                    ],
                }
            )
        outcome = await self.memory.port.list(kind)
        if isinstance(outcome, result.Err):
            return responses.Response(status_code=503)
        after = request.query_params.get('after', '')
        rows = [row for row in outcome.ok_value.records if row.name > after]
        return self._respond(
            {
                'items': [self._encode(row) for row in rows[: self.page_rows]],
                'hasMore': len(rows) > self.page_rows,
                'storeRevision': outcome.ok_value.version,
            }
        )

    async def _get(self, request):
        failure = await self._simulate_outage()
        if failure is not None:
            return failure
        outcome = await self.memory.port.get(**request.path_params)
        return await self._answer(request, outcome)

    async def _write(self, request, call, *args):
        failure = await self._simulate_outage()
        if failure is not None:
            return failure
        return await self._answer(request, await call(*args))

    async def _create(self, request):
        body = await request.json()
        self._name = body['metadata']['name']
        return await self._write(
            request,
            self.memory.port.create,
            request.path_params['kind'],
            self._name,
            body['spec'],
        )

    async def _replace(self, request):
        body = await request.json()
        return await self._write(
            request,
            self.memory.port.replace,
            *request.path_params.values(),
            body['spec'],
            body['metadata']['revision'],
        )

    async def _status(self, request):
        body = await request.json()
        return await self._write(
            request,
            self.memory.port.set_status,
            *request.path_params.values(),
            body['status'],
            body['metadata']['revision'],
        )

    async def _delete(self, request):
        version = request.query_params.get('revision')
        return await self._write(
            request,
            self.memory.port.delete,
            *request.path_params.values(),
            None if version is None else int(version),
        )


def _with_header(send, header):
    """Return a send function that adds a header to the head of an answer."""

    async def send_with_header(message):
        if message['type'] == 'http.response.start':
            headers = [*message.get('headers', []), header]
            message = {**message, 'headers': headers}
        await send(message)

    return send_with_header


class Server:
    """A model server of the platform.

    :ivar runs: requests that were run, as id and number of the first event
    :ivar finished_ids: ids of the requests whose answers were sent completely
    :ivar headers: headers of the last request
    :ivar wait_seconds: time before the head of an answer
    :ivar recalled: number of requests whose caller left in that time
    :ivar pace_seconds: time between events
    :ivar tokens: number of events of each answer
    :ivar event_bytes: length of the padding of each event
    :ivar cut_after: number of events after which answers break off; ``None``
        for never
    :ivar cuts_left: how many answers break off so; ``None`` for all
    :ivar crashes_when_cut: whether an answer breaks off because the server
        crashes, so that it refuses connections for a while
    :ivar refuses_all: whether every request is refused as not executed
    :ivar memory: tokens of the largest request that is not refused; ``None``
        for any
    :ivar refused_path: part of the path of requests that are refused; ``None``
        for none
    :ivar refused: number of requests that were refused
    :ivar status: status of the answers
    :ivar foreign: whether answers carry the id of another request
    :ivar busy: number of running requests
    :ivar leaving: whether each answer states that the server is leaving
    :ivar version: version of its software
    :ivar deadly_part: id of the part of a prompt that crashes the server as
        it begins to answer; ``None`` for no part
    :ivar crashes: number of these crashes
    :ivar crash_ends_all: whether a crash breaks off all answers in progress
    :ivar read_seconds: time from the head of an answer to its first event
    :ivar down_seconds: how long new connections are refused after a crash; 0
        for a link that broke
    :ivar down_until: event loop's clock at the end of that time
    :ivar names_version: whether each event has the version as its type
    :ivar limit: requests a second that each answer names as the server's
        limit; ``None`` for no limit
    :ivar arrivals: event loop's clock at the arrival of each request
    :ivar queues: whether requests beyond the slots wait in order of arrival
    :ivar peak: most requests that ran at once
    """

    def __init__(self, name='i-1', slots=8):
        self.name = name
        self.slots = slots
        self.service = 'notes'
        self.version = 'v1'
        self.names_version = False
        self.address = ''
        self.runs = []
        self.finished_ids = []
        self.headers = {}
        self.wait_seconds = 0.0
        self.recalled = 0
        self.pace_seconds = 0.002
        self.tokens = TOKENS
        self.event_bytes = 0
        self.cut_after = None
        self.cuts_left = None
        self.crashes_when_cut = False
        self.deadly_part = None
        self.crashes = 0
        self.crash_ends_all = False
        self.read_seconds = 0.0
        self.down_seconds = 0.5
        self.down_until = 0.0
        self.refuses_all = False
        self.memory = None
        self.refused_path = None
        self.refused = 0
        self.status = 200
        self.foreign = False
        self.busy = 0
        self.leaving = False
        self.limit = None
        self.arrivals = []
        self.queues = False
        self.peak = 0
        self._ended = anyio.Event()
        self._queue = []

    def entry(self, state='ready', service=None):
        """Return the entry that the server writes to the store."""
        return {
            'service': service or self.service,
            'address': self.address,
            'zone': 'a',
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'seq': 1,
        }

    async def app(self, scope, receive, send):
        """Serve one request."""
        if scope['type'] != 'http':
            return
        if self.leaving:
            send = _with_header(send, (b'server-leaving', b'1'))
        if self.limit is not None:
            value = str(self.limit).encode()
            send = _with_header(send, (b'server-limit', value))
        self.arrivals.append(anyio.current_time())
        request = requests.Request(scope, receive)
        self.headers = request.headers
        body = await request.body()
        request_id = request.headers.get('request-id', '')
        echo = 'someone-else' if self.foreign else request_id
        headers = {'request-id': echo, 'response-signature': 's'}
        if request.headers.get('expect-instance') != self.name:
            answer = responses.Response(status_code=421)
            return await answer(scope, receive, send)
        if self._refuses(request):
            self.refused += 1
            answer = responses.Response(
                status_code=503, headers={'not-executed': '1'}
            )
            return await answer(scope, receive, send)
        if self.wait_seconds:
            with anyio.move_on_after(self.wait_seconds):
                while (await receive())['type'] != 'http.disconnect':
                    pass
                self.recalled += 1
                return None
        if self.queues and not await self._admit(receive):
            return None
        first = int(request.headers.get('last-event-id', '0')) + 1
        self.runs.append((request_id, first))
        if self.status != 200:
            answer = responses.Response(
                status_code=self.status, headers=headers
            )
            return await answer(scope, receive, send)
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [
                    (b'content-type', b'text/event-stream'),
                    *(
                        (name.encode(), value.encode())
                        for name, value in headers.items()
                    ),
                ],
            }
        )
        prompt = request.headers.get('prompt-prefix', '')
        if self.deadly_part is not None and f'{self.deadly_part}:' in prompt:
            self.crashes += 1
            self.down_until = anyio.current_time() + self.down_seconds
            return None
        self.busy += 1
        self.peak = max(self.peak, self.busy)
        try:
            if await self._stream(first, body, send, receive):
                self.finished_ids.append(request_id)
        finally:
            self.busy -= 1
            self._ended.set()
            self._ended = anyio.Event()

    def _refuses(self, request):
        usage = request.headers.get('token-usage', '0')
        if self.memory is not None:
            if sum(map(int, usage.split(','))) > self.memory:
                return True
        if self.refused_path is not None:
            if self.refused_path in request.url.path:
                return True
        return self.refuses_all

    async def _admit(self, receive):
        """Wait for a slot; return whether the caller is still there."""
        turn = object()
        self._queue.append(turn)
        left = False

        async def watch_disconnect():
            nonlocal left
            while (await receive())['type'] != 'http.disconnect':
                pass
            left = True
            tasks.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch_disconnect)
                while self.busy >= self.slots or self._queue[0] is not turn:
                    await self._ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._queue.remove(turn)
        return not left

    def _is_cut(self, number):
        """Return whether an answer breaks off before an event."""
        if self.cut_after is None or number <= self.cut_after:
            return False
        if self.cuts_left is None:
            return True
        self.cuts_left -= 1
        return self.cuts_left >= 0

    async def _stream(self, first, body, send, receive):
        completed = False
        crashes = self.crashes

        async def watch_disconnect():
            while (await receive())['type'] != 'http.disconnect':
                pass
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_disconnect)
            await anyio.sleep(self.read_seconds)
            for number in range(first, self.tokens + 1):
                if self.crash_ends_all and self.crashes != crashes:
                    tasks.cancel_scope.cancel()
                    return False
                if self._is_cut(number):
                    if self.crashes_when_cut:
                        self.down_until = (
                            anyio.current_time() + self.down_seconds
                        )
                    tasks.cancel_scope.cancel()
                    return False
                text = f'id: {number}\ndata: {body.decode()}-{number}\n\n'
                if self.event_bytes:
                    text = f': {"x" * self.event_bytes}\n{text}'
                if self.names_version:
                    text = f'event: {self.version}\n{text}'
                await send(
                    {
                        'type': 'http.response.body',
                        'body': text.encode(),
                        'more_body': True,
                    }
                )
                await anyio.sleep(self.pace_seconds)
            await send({'type': 'http.response.body', 'body': b''})
            completed = True
            tasks.cancel_scope.cancel()
        return completed


def route(prefix, kind='streaming', **terms):
    """Return a route in the format of the operator's configuration."""
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'timeoutMs': 3000,
        'sloMs': 300,
        'priority': 0,
        'service': 'notes',
        'maxAttempts': 2,
        'resumable': True,
        'gapTargetMs': 1000,
        'runTargetMs': 18000,
        'retentionS': 60,
        'maxCount': 100_000,
        **terms,
    }


def configuration(version=1, routes=None):
    """Return a configuration in the operator's format."""
    return {
        'version': version,
        'routes': routes
        or [
            route('/notes/'),
            route('/once/', resumable=False, maxAttempts=1, gapTargetMs=200),
            route('/jobs/', 'batch', maxAttempts=3),
        ],
        'services': [{'name': 'notes', 'engine': {'slots': 8}}],
        'limits': {'maxBodyBytes': 100_000, 'idleTimeoutMs': 15000},
    }


def encode_body(text):
    """Return a text as the body of an item."""
    return base64.b64encode(text.encode()).decode()


def submission(count=3, body='eA==', **item):
    """Return the body of a request that submits a job.

    :param count: number of items
    """
    return submission_of(
        [f'/jobs/{number}' for number in range(count)], body, **item
    )


def submission_of(paths, body='eA==', **item):
    """Return the body of a request that submits a job.

    :param paths: path of each item
    """
    return json.dumps(
        {
            'items': [
                {
                    'id': f'item-{number}',
                    'path': path,
                    'headers': {'Model': 'm'},
                    'body': body,
                    'tokens': 10,
                    **item,
                }
                for number, path in enumerate(paths)
            ]
        }
    )


class Fleet:
    """Hosts, servers and the store of a small deployment.

    :ivar hosts: gateways by host
    :ivar addresses: addresses for callers by host
    :ivar entries: addresses for entry answers by host
    :ivar stopped: events that are set once a gateway has stopped, by host
    """

    def __init__(self, tasks, store, servers_, client):
        self.store = store
        self.servers = servers_
        self.client = client
        self.hosts = {}
        self.entries = {}
        self.addresses = {}
        self.stopped = {}
        self._scopes = {}
        self._tasks = tasks

    async def start_host(
        self, name, store_address, trace='', bound=None, is_first=False
    ):
        """Start a gateway and wait until it is ready.

        :param is_first: whether it starts with the whole fleet, for the first
            time
        :param bound: a socket that listens for callers already, by address
        """
        options = gateway_settings.Settings(
            name,
            'a',
            store_address,
            100_000.0,
            100_000.0,
            **dict.fromkeys(
                (
                    'caller_listen',
                    'ready_listen',
                    'entry_listen',
                    'peer_listen',
                    'metrics_listen',
                ),
                '127.0.0.1:0',
            ),
            grace_seconds=8.0,
            trace=trace,
            is_first_start=is_first,
        )
        options = _assign_free_ports(options)
        if bound:
            options = options._replace(caller_listen=next(iter(bound)))
        host_gateway = gateway.Gateway(options, ports.PORTS, bound)
        self.hosts[name] = host_gateway
        self.addresses[name] = options.caller_listen
        self.entries[name] = options.entry_listen
        self.stopped[name] = anyio.Event()

        async def run():
            current_host.set(name)
            with anyio.CancelScope() as self._scopes[name]:
                await host_gateway.run()
            self.stopped[name].set()

        self._tasks.start_soon(run)
        with anyio.fail_after(10):
            while True:
                await anyio.sleep(0.02)
                if not hasattr(host_gateway, '_runner'):
                    continue
                if host_gateway.is_ready:
                    return host_gateway

    def kill(self, name):
        """End a gateway at once, without a drain."""
        self._scopes[name].cancel()
        del self.hosts[name]

    async def post(self, path, content='x', host='one', **headers):
        """Send a POST request to a host."""
        return await self.client.post(
            f'http://{self.addresses[host]}{path}',
            content=content,
            headers={'Host': HOST, **headers},
        )

    async def get(self, path, host='one', **headers):
        """Send a GET request to a host."""
        return await self.client.get(
            f'http://{self.addresses[host]}{path}',
            headers={'Host': HOST, **headers},
        )

    async def results(self, job_id, total, host='one'):
        """Return the page of a job's results once it has all of them.

        :param total: number of results to wait for
        """
        with anyio.fail_after(15):
            while True:
                answer = await self.get(
                    f'/persimmonpass/lots/{job_id}?after=0', host
                )
                if answer.status_code == 200:
                    page = answer.json()
                    if page['next'] == total:
                        return page
                await anyio.sleep(0.05)


def _assign_free_ports(options):
    """Return settings with a free port in each listening address."""
    fields = {}
    held = []
    for name, value in options._asdict().items():
        if value == '127.0.0.1:0':
            bound = servers.listen(value)
            held.append(bound)
            fields[name] = servers.address_of(bound)
    for bound in held:
        bound.close()
    return options._replace(**fields)


@contextlib.contextmanager
def _refusing_connections(model_servers):
    """Refuse connections to servers that are down after a crash."""
    original = anyio.connect_tcp

    async def connect(remote_host, remote_port, **names):
        address = f'{remote_host}:{remote_port}'
        now = anyio.current_time()
        for server in model_servers:
            if server.address == address and now < server.down_until:
                raise ConnectionRefusedError
        return await original(remote_host, remote_port, **names)

    with mock.patch.object(anyio, 'connect_tcp', connect):
        yield


@contextlib.asynccontextmanager
async def fleet(
    hosts=('one',), count=2, config=None, trace='', slots=None, services=()
):
    """Run a small deployment.

    :param count: number of model servers
    :param slots: slots of each model server, which then lets requests beyond
        them wait; replaces ``count``
    :param services: service of each model server
    """
    store = StoreApp()
    model_servers = [
        Server(f'i-{number}', each)
        for number, each in enumerate(slots or [8] * count)
    ]
    for server, service in zip(model_servers, services, strict=False):
        server.service = service
    for server in model_servers:
        server.queues = slots is not None
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(
            test_store_client.serving(store.app)
        )
        for server in model_servers:
            server.address = await stack.enter_async_context(
                test_store_client.serving(server.app)
            )
            store.memory.put('servers', server.name, server.entry())
        stack.enter_context(_refusing_connections(model_servers))
        store.memory.put('config', 'main', config or configuration())
        client = await stack.enter_async_context(
            httpx.AsyncClient(trust_env=False, timeout=10.0)
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        deployment = Fleet(tasks, store, model_servers, client)
        deployment.store_address = address
        for host in hosts:
            await deployment.start_host(host, address, trace, is_first=True)
        if len(hosts) > 1:
            await wait_until_connected(deployment)
        yield deployment
        for host in deployment.hosts.values():
            host.drain()
            host.stop()


def core_of(count):
    """Return a context in which larger fleets have a core of a few hosts."""
    return mock.patch.multiple(core, CORE_HOSTS=count, MAX_MESH_HOSTS=count)


async def wait_until_connected(deployment):
    """Wait until all hosts have links to each other."""
    with anyio.fail_after(10):
        while any(
            len(host._peers.port.connected()) < len(deployment.hosts) - 1
            for host in deployment.hosts.values()
        ):
            await anyio.sleep(0.02)


def run(test):
    """Run a test on the event loop that is used in production."""
    asyncio.run(test())


def target_stats_of(host='host', board=None, peers=()):
    """Return the statistics of a host that reaches all targets.

    :param peers: hosts to which it has links
    """
    board = board or blackboard.Blackboard()
    network = fakes.Network()
    network.handlers = dict.fromkeys(peers)
    ports = target_paths.PathPorts(
        board, network.port(host), lambda: [host, *peers]
    )
    paths = target_paths.TargetPaths(host, 'a', ports)
    errors = error_answers.ErrorAnswers(host, board, network.port(host))
    return target_stats.TargetStats(host, board, paths, errors)


def unreachable_store_port():
    """Return the port of a store that this host cannot reach."""
    memory = record_fakes.MemoryRecords()
    memory.outage = True
    return memory.port

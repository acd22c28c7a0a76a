"""Stand-ins for a small deployment, and the hosts of the system beside them.

The platform's store, the model servers and the clients run in the process of
a case. They speak what the pages say. The hosts run as separate processes with
the command of the deploy file, each on a loopback address of its own.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from stand3 import forwarder

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
OBJECTS = '/persimmonpass/objects/'
HOST_NAME = 'nony24.example'
SERVICE = 'huvo11a'
STREAM_PREFIX = '/lohu930/'
JOB_PREFIX = '/pule252/'
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
BEAT_SECONDS = 1.2
# How long a server that has crashed is down.
BACK_SECONDS = 3.5
GRACE_SECONDS = 8
REASONS = {
    200: 'OK',
    201: 'Created',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class Record:
    """The lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    @property
    def seconds(self):
        """Seconds since the beginning."""
        return time.monotonic() - self._began

    def write(self, text):
        """Write a line with the time in seconds."""
        self._file.write(f'{self.seconds:8.3f} {text}\n')
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        path, _, query = target.partition('?')
        self.path = path
        self.query = dict(
            part.partition('=')[::2] for part in query.split('&') if part
        )
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers of a message, or ``None``."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body that follows a head."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


def encode_answer(status, body=b'', headers=()):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "-")}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def serve(address, answer, writers=None):
    """Listen on ``ip:port`` and answer requests; return the server.

    :param answer: takes a request, a reader and a writer; returns whether the
        connection goes on
    :param writers: set that holds the writers of the open connections
    """

    async def handle(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                first, headers = head
                method, target, _ = first.split(' ', 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                if not await answer(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    ip, _, port = address.rpartition(':')
    return await asyncio.start_server(handle, ip, int(port), limit=2**20)


class Store:
    """The platform's store: objects with revisions, lists and watches.

    :ivar calls: number of calls
    """

    def __init__(self, record):
        self.calls = 0
        self.objects = {}
        self._record = record
        self._history = []
        self._revision = 100
        self._changed = asyncio.Event()

    async def start(self, address):
        """Listen on an address."""
        self._server = await serve(address, self._answer)

    def put(self, kind, name, spec):
        """Create or replace the ``spec`` of an object, as operators do."""
        known = self.objects.get((kind, name))
        found = known or {
            'metadata': {
                'name': name,
                'created': self._revision + 1,
                'finalizers': [],
                'deleting': False,
            },
            'status': None,
        }
        if known is not None and known['spec'] == spec:
            return known
        return self._store(kind, name, {**found, 'spec': spec})

    def remove(self, kind, name):
        """Remove an object if it exists."""
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self._revision += 1
            gone = {
                **found,
                'metadata': {**found['metadata'], 'revision': self._revision},
            }
            self._add_event(kind, gone, True)

    def _store(self, kind, name, found):
        self._revision += 1
        found = {
            **found,
            'metadata': {**found['metadata'], 'revision': self._revision},
        }
        self.objects[kind, name] = found
        self._add_event(kind, found, False)
        return found

    def _add_event(self, kind, found, deleted):
        self._history.append((self._revision, kind, found, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request, reader, writer):
        self.calls += 1
        status, body = await self._handle(request)
        data = b'' if body is None else json.dumps(body).encode()
        json_type = [('Content-Type', 'application/json')]
        writer.write(encode_answer(status, data, json_type))
        await writer.drain()
        return True

    async def _handle(self, request):
        if not request.path.startswith(OBJECTS):
            return 404, None
        kind, _, name = request.path[len(OBJECTS) :].partition('/')
        name, _, part = name.partition('/')
        if request.method == 'GET':
            if name:
                found = self.objects.get((kind, name))
                return (404, None) if found is None else (200, found)
            if 'watch' in request.query:
                return await self._watch(kind, request.query)
            return 200, self._list(kind, request.query.get('after', ''))
        body = json.loads(request.body) if request.body else {}
        if request.method == 'POST':
            name = body['metadata']['name']
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self.put(kind, name, body.get('spec'))
        known = self.objects.get((kind, name))
        if known is None:
            return 404, None
        revision = body.get('metadata', {}).get('revision')
        if 'revision' in request.query:
            revision = int(request.query['revision'])
        if revision not in (None, known['metadata']['revision']):
            return 409, known
        if request.method == 'DELETE':
            self.remove(kind, name)
            return 200, known
        field = 'status' if part == 'status' else 'spec'
        if known[field] == body.get(field):
            return 200, known
        return 200, self._store(kind, name, {**known, field: body.get(field)})

    def _list(self, kind, after):
        items = []
        size = 0
        more = False
        for (other, name), found in sorted(self.objects.items()):
            if other != kind or name <= after:
                continue
            length = len(json.dumps(found))
            if items and (
                size + length > PAGE_BYTES or len(items) == PAGE_ITEMS
            ):
                more = True
                break
            items.append(found)
            size += length
        return {
            'items': items,
            'hasMore': more,
            'storeRevision': self._revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while True:
            events = [
                {'object': found, 'deleted': deleted}
                for revision, other, found, deleted in self._history
                if other == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'storeRevision': self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Server:
    """A model server that streams events and registers itself.

    :ivar runs: ids of the requests that it began to run, with the first event
    :ivar spoil: takes a request and the number of requests answered before;
        returns bytes to send in place of an answer, or ``None``
    :ivar is_deadly: takes the id of a request; returns whether the server
        crashes as it begins to run it
    :ivar crashes: number of crashes
    :ivar status: takes a request; returns the status of its answer
    """

    def __init__(self, record, store, number, address, zone):
        self.name = f'i-{number:08x}'
        self.address = address
        self.zone = zone
        self.events = 20
        self.gap_seconds = 0.02
        self.slots = 8
        self.running = 0
        self.answered = 0
        self.runs = []
        self.spoil = lambda request, before: None
        self.is_deadly = lambda key: False
        self.crashes = 0
        self.status = lambda request: 200
        self._record = record
        self._store = store
        self._queue = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._seq = 0
        self._is_leaving = False
        self._writers = set()

    async def start(self):
        """Listen and register."""
        self._server = await serve(self.address, self._answer, self._writers)
        self._task = asyncio.ensure_future(self._beat())

    def _crash(self):
        """Cut all connections, and be back as another one after a while."""
        self.crashes += 1
        self.running = 0
        self._queue = asyncio.Semaphore(self.slots)
        self._task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        asyncio.ensure_future(self._come_back(self.name))

    async def _come_back(self, name):
        # The platform removes the entry after three beats of silence.
        await asyncio.sleep(BACK_SECONDS)
        self.name = f'{name.partition(".")[0]}.{self.crashes}'
        self._record.write(f'{name} is back as {self.name}')
        await self.start()
        await asyncio.sleep(3 * BEAT_SECONDS - BACK_SECONDS)
        self._store.remove('servers', name)

    async def leave(self, drain_seconds=2.0):
        """Report ``draining``, go on for a while, and end."""
        self._is_leaving = True
        self._seq += 1
        self._store.put('servers', self.name, self.entry())
        await asyncio.sleep(drain_seconds)
        while self.running:
            await asyncio.sleep(0.05)
        self._task.cancel()
        self._store.remove('servers', self.name)
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        self._record.write(f'{self.name} has left')

    def entry(self):
        """Return the entry in the list of servers."""
        return {
            'service': SERVICE,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'draining' if self._is_leaving else 'ready',
            'coldLeftMs': 0,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'seq': self._seq,
        }

    async def _beat(self):
        while True:
            self._seq += 1
            self._store.put('servers', self.name, self.entry())
            await asyncio.sleep(BEAT_SECONDS)

    async def _answer(self, request, reader, writer):
        instance = [('Instance-Id', self.name)]
        if request.method == 'GET':
            body = b''
            if request.path == '/persimmonpass/report':
                body = json.dumps(
                    {
                        'stage': 'both',
                        'models': [],
                        'busy': False,
                        'seq': 0,
                        'waiting': self._waiting,
                        'running': self.running,
                        'kvUsed': 0,
                        'kvTotal': 147261,
                        'handles': 0,
                    }
                ).encode()
            writer.write(encode_answer(200, body, instance))
            await writer.drain()
            return True
        key = request.headers.get('request-id', '')
        if request.headers.get('expect-instance', self.name) != self.name:
            self._record.write(f'{self.name} misdirected {key}')
            writer.write(encode_answer(421, b'', instance))
            await writer.drain()
            return True
        if self._waiting >= 24:
            self._record.write(f'{self.name} full, refuses {key}')
            writer.write(encode_answer(503, b'', [('Not-Executed', '1')]))
            await writer.drain()
            return True
        queue, start = self._queue, self.crashes
        self._waiting += 1
        try:
            await queue.acquire()
        finally:
            self._waiting -= 1
        if start != self.crashes:
            return False
        self.running += 1
        try:
            return await self._run(request, key, reader, writer)
        finally:
            if start == self.crashes:
                self.running -= 1
            queue.release()

    async def _run(self, request, key, reader, writer):
        first = int(request.headers.get('last-event-id', '0')) + 1
        self.runs.append((key, first))
        self._record.write(f'{self.name} runs {key} from event {first}')
        own = [('Request-Id', key), ('Response-Signature', f's.{key}')]
        if self.is_deadly(key):
            self._record.write(f'{self.name} crashes as it runs {key}')
            self._crash()
            return False
        status = self.status(request)
        before = self.answered
        self.answered += 1
        if status != 200:
            self._record.write(f'{self.name} answers {key} with {status}')
            writer.write(encode_answer(status, b'', own))
            await writer.drain()
            return True
        spoilt = self.spoil(request, before)
        if spoilt is not None:
            self._record.write(
                f'{self.name} answers {key} with bytes that are no answer: '
                f'{spoilt!r}'
            )
            writer.write(spoilt)
            await writer.drain()
            await asyncio.sleep(0.5)
            return False
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in own]
        lines += [
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_seconds)
            if writer.transport.is_closing() or reader.at_eof():
                self._record.write(f'{self.name} is left alone with {key}')
                return False
            event = f'id: {number}\ndata: {text_of(key, number)}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self._record.write(f'{self.name} finishes {key}')
        return True


def text_of(key, number):
    """Return the data of an event of a request."""
    return f'{key}-{number}'


class Answer:
    """What a client got for a request.

    :ivar status: status; ``None`` if no head came
    :ivar ended: whether the answer came whole
    :ivar seconds: time until the end
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        self.ended = False
        self.seconds = 0.0
        self.cause = ''


async def call(address, method, target, headers, body=b'', seconds=5.0):
    """Make a request on a new connection; return what came within a time."""
    answer = Answer()
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            ip, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(
                ip, int(port), limit=2**22
            )
            lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST_NAME}']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            head = await read_head(reader)
            if head is not None:
                answer.status = int(head[0].split(' ')[1])
                answer.headers = head[1]
                answer.body = await read_body(reader, head[1])
                answer.ended = True
    except TimeoutError:
        answer.cause = 'no answer in time'
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.cause = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    answer.seconds = time.monotonic() - began
    return answer


class Host:
    """A host of the system.

    :ivar process: its process, ``None`` if it isn't running
    """

    def __init__(self, world, number, ip, zone):
        self.name = f'edge-{zone}-{number}'
        self.ip = ip
        self.zone = zone
        self.process = None
        self._world = world
        self.front = f'{ip}:{world.ports["front"]}'
        self.ready = f'{ip}:{world.ports["ready"]}'
        self.control = f'{ip}:{world.ports["control"]}'
        self.directory = f'{ip}:{world.ports["directory"]}'
        self.metrics = f'{ip}:{world.ports["peer"] + 1}'
        # The host's own way to the store.
        self.store_address = f'{ip}:{world.ports["store"]}'
        self.store_link = forwarder.Forwarder(world.store_address)

    def settings(self, bootstrap):
        """Return the settings, which are also valid YAML."""
        return json.dumps(
            {
                'nodeName': self.name,
                'role': 'host',
                'machineClass': 'edge',
                'serves': ['edge', 'registry', 'control'],
                'ip': self.ip,
                'zone': self.zone,
                'region': 'nairobi-east',
                'zones': {host.zone: 'nairobi-east' for host in self._world.hosts},
                'listen': {
                    'front': self.front,
                    'ready': self.ready,
                    'control': self.control,
                    'directory': self.directory,
                },
                'portRange': [
                    self._world.ports['peer'],
                    self._world.ports['peer'] + 15,
                ],
                'seeds': [host.control for host in self._world.hosts[:3]],
                'bootstrap': bootstrap,
                'countLoss': False,
                'limits': {
                    'cpuShare': 0.537,
                    'cores': 2,
                    'memoryMb': self._world.memory_mb,
                    'maxFds': self._world.max_fds,
                    'linkMbps': 1000.0,
                    'diskMb': 0,
                },
                'dataDir': None,
                'discovery': 'platform',
                'entry': 'registry',
                'beatIntervalMs': 1200,
                'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
                'bounds': {
                    'seedLagS': 3,
                    'reuseAfterS': 2,
                    'contactMs': 3000,
                    'ackTimeoutMs': 4000,
                    'catchUpS': 5,
                    'drainMs': 2000,
                    'graceS': GRACE_SECONDS,
                    'lossSlackMs': 200,
                    'configApplyMs': 2000,
                    'rollbackSlackMs': 250,
                    'skewMaxMs': 5000,
                    'recoveryS': 12,
                    'passMs': 120,
                    'retryAfterS': 0,
                    'finishS': 18,
                    'statusS': 120,
                    'cancelMs': 3000,
                    'settleMs': 1000,
                    'quotaOverage': 0.1,
                    'ttl_max_s': 5,
                },
                'platform': {
                    'address': self.store_address,
                    'form': 'objects',
                    'writesPerS': 400,
                    'readsPerS': 2000,
                    'historyS': 20,
                    'valueBytes': 1048576,
                    'ttlMinMs': 1000,
                },
            }
        )

    async def start(self, bootstrap=False):
        """Start the process with the command of the deploy file."""
        path = self._world.folder / f'{self.name}.yaml'
        path.write_text(self.settings(bootstrap))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['host']['run']
        for name in ('front', 'directory', 'ready'):
            command = command.replace(
                '{{listen.%s}}' % name, getattr(self, name)
            )
        words = command.split()
        words[0] = shutil.which(words[0]) or sys.executable
        log = open(self._world.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'PERSIMMONPASS_SETTINGS': str(path),
            },
            preexec_fn=self._limit_descriptors,
        )
        log.close()
        self._world.record.write(f'{self.name} starts')

    def _limit_descriptors(self):
        limit = self._world.max_fds - self._world.reserved_fds
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def log(self):
        """Return what the process has written."""
        return (self._world.folder / f'{self.name}.log').read_text()

    async def is_ready(self):
        """Return whether it answers the platform's question with 200."""
        answer = await call(
            self.ready, 'GET', '/persimmonpass/readyz', {}, seconds=1.0
        )
        return answer.status == 200

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class World:
    """A deployment: a store, servers, hosts and clients."""

    def __init__(self, record, hosts=3, servers=3):
        self.record = record
        self.max_fds = 4200
        self.memory_mb = 300
        self.reserved_fds = 0
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        zones = ['ruai', 'kasarani', 'embakasi']
        ips = [f'127.0.71.{10 + number}' for number in range(hosts)]
        self.ports = _free_ports([*ips, '127.0.71.2', '127.0.71.3'])
        self.store_address = f'127.0.71.2:{self.ports["store"]}'
        self.store = Store(record)
        self.hosts = []
        for number, ip in enumerate(ips):
            self.hosts.append(Host(self, number + 1, ip, zones[number % 3]))
        self.servers = [
            Server(
                record,
                self.store,
                0x51A0 + number,
                f'127.0.71.3:{self.ports["servers"] + number}',
                zones[number % 3],
            )
            for number in range(servers)
        ]
        self.version = 0
        self.routes = [
            {
                'name': 'r-a3hwrr6',
                'host': HOST_NAME,
                'pathPrefix': STREAM_PREFIX,
                'type': 'streaming',
                'timeoutMs': 5000,
                'sloMs': 300,
                'priority': 0,
                'service': SERVICE,
                'maxAttempts': 2,
                'sticky': True,
                'resumable': True,
                'gapTargetMs': 200,
            },
            {
                'name': 'r-lots',
                'host': HOST_NAME,
                'pathPrefix': JOB_PREFIX,
                'type': 'batch',
                'timeoutMs': 15000,
                'sloMs': 400,
                'priority': 2,
                'service': SERVICE,
                'maxAttempts': 3,
                'runTargetMs': 18000,
                'retentionS': 60,
                'maxCount': 2100000,
                'gapTargetMs': 200,
            },
        ]

    def write_config(self):
        """Write the next version of the configuration, as the operator."""
        self.version += 3
        self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': self.routes,
                'services': [
                    {
                        'name': SERVICE,
                        'healthPath': '/healthz',
                        'maxConns': 230,
                        'protocol': 'h1',
                        'tls': False,
                        'engine': {'slots': 8, 'kvCapacity': 147261},
                    }
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 4194304,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
            },
        )
        self.record.write(f'the operator writes version {self.version}')

    async def start(self, seconds=25.0):
        """Start everything and wait until all hosts are ready.

        :raises TimeoutError: if a host isn't ready in time
        """
        await self.store.start(self.store_address)
        for server in self.servers:
            await server.start()
        self.write_config()
        for host in self.hosts:
            await host.store_link.start(host.store_address)
            await host.start(bootstrap=True)
        async with asyncio.timeout(seconds):
            for host in self.hosts:
                while not await host.is_ready():
                    await asyncio.sleep(0.2)
        # The links between the hosts take a moment more.
        await asyncio.sleep(2.5)
        self.record.write('all hosts are ready')

    async def stop(self):
        """End all processes and remove the folder."""
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(
                self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        shutil.rmtree(self.folder, ignore_errors=True)

    async def stream(self, host, key, deadline_ms=5000):
        """Send a request of the streaming route to a host; return its answer."""
        self.record.write(f'client sends {key} to {host.name}')
        answer = await call(
            host.front,
            'POST',
            f'{STREAM_PREFIX}2f',
            {
                'Request-Id': key,
                'Model': 'm',
                'Token-Usage': '450,80',
                'Prompt-Prefix': f'5c1e07a2:200,{key}:250',
                'Deadline-Ms': str(deadline_ms),
            },
            b'x' * 200,
            seconds=deadline_ms / 1000 + 2.0,
        )
        self.record.write(
            f'client gets {answer.status} for {key} after '
            f'{answer.seconds:.3f} s, whole: {answer.ended} {answer.cause}'
        )
        return answer

    async def offer(self, host, key, items):
        """Send a batch job once to a host; return the status."""
        body = json.dumps({'items': items}).encode()
        self.record.write(
            f'client sends batch job {key} of {len(items)} items to '
            f'{host.name}'
        )
        answer = await call(
            host.front,
            'POST',
            f'{JOB_PREFIX}{key}',
            {
                'Request-Id': key,
                'Content-Type': 'application/json',
                'Deadline-Ms': '4000',
            },
            body,
        )
        self.record.write(
            f'client gets {answer.status} for {key} after '
            f'{answer.seconds:.3f} s {answer.cause}'
        )
        return answer.status

    async def submit(self, key, items, hosts=None):
        """Send a batch job until it is accepted; return whether it was."""
        for host in [*(hosts or self.hosts)] * 2:
            status = await self.offer(host, key, items)
            if status == 202:
                return True
            if status in (400, 404, 413):
                return False
            await asyncio.sleep(0.3)
        return False

    async def read(self, host, key, after=0, wait_ms=0):
        """Return the decoded page of results of a job, or the status."""
        headers = {'Wait-Ms': str(wait_ms)} if wait_ms else {}
        answer = await call(
            host.front,
            'GET',
            f'/persimmonpass/lots/{key}?after={after}',
            headers,
            seconds=wait_ms / 1000 + 1.5,
        )
        if answer.status == 200 and answer.ended:
            return json.loads(answer.body)
        return answer.status

    async def read_all(self, key, hosts=None):
        """Return the results of a job from any host that shows them."""
        results = []
        for _ in range(3):
            for host in hosts or self.hosts:
                page = await self.read(host, key, len(results))
                if isinstance(page, dict):
                    results += page['results']
                    if len(results) >= page['total']:
                        return results
            await asyncio.sleep(0.1)
        return results


def make_item(key, **fields):
    """Return an item of a batch job."""
    return {
        'id': key,
        'path': f'{JOB_PREFIX}3/91c4',
        'headers': {
            'Model': 'm',
            'Token-Usage': '350,198',
            'Prompt-Prefix': f'9c2e41:100,{key}:250',
        },
        'body': 'q83vEjRWeJA=',
        'tokens': 548,
        **fields,
    }


def _free_ports(ips):
    """Return ports that are free on all addresses."""
    names = {
        'front': 1,
        'ready': 1,
        'control': 1,
        'directory': 1,
        'store': 1,
        'peer': 16,
        'servers': 16,
    }
    total = sum(names.values())
    for base in range(21000 + os.getpid() % 290 * 40, 60000, total):
        if all(
            _is_free(ip, port)
            for ip in ips
            for port in range(base, base + total)
        ):
            ports = {}
            for name, count in names.items():
                ports[name] = base
                base += count
            return ports
    raise OSError('no free ports')


def _is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def main(path, play, hosts=3, servers=3, prepare=None):
    """Play a case and exit with its result.

    :param path: path of the case's program
    :param play: takes a world and whether to disturb it; returns whether the
        rule was broken
    :param prepare: takes a world before it is started
    """
    disturbs = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(path).resolve().parent / 'record.txt')

    async def run():
        world = World(record, hosts, servers)
        if prepare is not None:
            prepare(world)
        try:
            await world.start()
            return await play(world, disturbs)
        finally:
            await world.stop()

    try:
        is_broken = asyncio.run(asyncio.wait_for(run(), 114))
    except Exception as error:
        record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}', file=sys.stderr)
        sys.exit(2)
    record.write('the rule was broken' if is_broken else 'the rule held')
    record.close()
    print('broken' if is_broken else 'held')
    sys.exit(1 if is_broken else 0)

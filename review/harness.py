"""Stand-ins and helpers for the scripts of the review.

The store, the model servers and the callers are small programs of the
standard library, all in the process of the script. The hosts are the
project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PREFIX = '/persimmonpass/objects/'
HOST = 'nony24.example'
VALUE_BYTES = 1_048_576
# Bounds of the sites, in seconds.
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackTimeoutMs': 4000,
    'catchUpS': 4.7, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'skewMaxMs': 5000,
    'recoveryS': 12, 'passMs': 120, 'retryAfterS': 0, 'finishS': 18,
    'statusS': 120, 'cancelMs': 3000, 'settleMs': 1000, 'quotaOverage': 0.1,
    'ttl_max_s': 5,
}


def has_trouble():
    """Return whether the disruption of the case is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


class Unready(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def add(self, text):
        """Write a line with the seconds since the start."""
        seconds = time.monotonic() - self._began
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()


# HTTP


async def read_head(reader):
    """Return the first line and the headers, None at the end of the stream.

    Names of headers are in lower case.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body that has a length or comes in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get('content-length', 0)))


def head_bytes(first, headers):
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('utf-8')


async def call(address, method, path, headers=None, body=b'', timeout=10.0):
    """Make a call on a new connection.

    :returns: status, headers and body; raises OSError, EOFError or
        TimeoutError if there is no whole answer
    """
    ip, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            sent = {'Host': HOST, **(headers or {}), 'Connection': 'close'}
            if body or method in ('POST', 'PUT'):
                sent['Content-Length'] = len(body)
            writer.write(head_bytes(f'{method} {path} HTTP/1.1', sent) + body)
            found = await read_head(reader)
            if found is None:
                raise ConnectionResetError('no answer')
            first, got = found
            status = int(first.split()[1])
            if status in (204, 304):
                return status, got, b''
            return status, got, await read_body(reader, got)
        finally:
            writer.close()


async def try_call(*arguments, **options):
    """Make a call; return None if there is no whole answer."""
    try:
        return await call(*arguments, **options)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None


class HttpServer:
    """A server with one handler: (first line, headers, body, writer)."""

    def __init__(self):
        self.address = ''
        self._server = None
        self._writers = set()

    def close(self):
        """Stop listening and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def listen(self, ip):
        self._server = await asyncio.start_server(self._accept, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, OSError, ValueError
        ):
            writer.get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            while True:
                found = await read_head(reader)
                if found is None:
                    break
                first, headers = found
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                if not await self.handle(
                    method, target, headers, body, reader, writer
                ):
                    break
        writer.close()
        self._writers.discard(writer)

    async def handle(self, method, target, headers, body, reader, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


STATUS = {
    200: 'OK', 201: 'Created', 404: 'Not Found', 409: 'Conflict',
    410: 'Gone', 413: 'Content Too Large', 421: 'Misdirected Request',
    422: 'Unprocessable Content', 500: 'Internal Server Error',
    503: 'Service Unavailable',
}


def answer_bytes(status, body=b'', **headers):
    """Return a whole answer with a length."""
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    named['Content-Length'] = len(body)
    return head_bytes(f'HTTP/1.1 {status} {STATUS[status]}', named) + body


class Store(HttpServer):
    """The platform's store, as PROTOCOL.md has it.

    :ivar down: whether every call is answered with 503, with nothing done
    :ivar too_large: number of writes that were refused for their size
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.down = False
        self.revision = 1
        self.objects = {}
        self.log = []
        self.too_large = 0
        self._changed = asyncio.Event()

    def _bump(self):
        self.revision += 1
        return self.revision

    def _note(self, kind, row, deleted=False):
        self.log.append((self.revision, kind, json.loads(json.dumps(row)),
                         deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object unconditionally, as an operator or a server."""
        revision = self._bump()
        row = self.objects.get((kind, name)) or {
            'metadata': {'name': name, 'created': revision, 'finalizers': [],
                         'deleting': False}, 'status': None}
        row['metadata']['revision'] = revision
        row['spec'] = spec
        self.objects[kind, name] = row
        self._note(kind, row)

    def remove(self, kind, name):
        row = self.objects.pop((kind, name), None)
        if row is not None:
            row['metadata']['revision'] = self._bump()
            self._note(kind, row, True)

    async def handle(self, method, target, headers, body, reader, writer):
        if self.down:
            writer.write(answer_bytes(503))
            await writer.drain()
            return True
        path, _, query = target.partition('?')
        params = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part)
                 for part in path[len(PREFIX):].split('/')]
        status, found = await self._answer(method, parts, params, body)
        if self.down:
            status, found = 503, None
        data = b'' if found is None else json.dumps(found).encode()
        writer.write(answer_bytes(status, data,
                                  Content_Type='application/json'))
        await writer.drain()
        return True

    async def _answer(self, method, parts, params, body):
        await asyncio.sleep(0.004)
        kind = parts[0]
        if method == 'GET' and len(parts) == 1:
            if 'watch' in params:
                return await self._watch(kind, params)
            return self._list(kind, params)
        if method == 'POST':
            sent = json.loads(body)
            name = sent['metadata']['name']
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return self._write(kind, name, 201, spec=sent.get('spec'))
        row = self.objects.get((kind, parts[1]))
        if row is None:
            return 404, None
        if method == 'GET':
            return 200, row
        sent = json.loads(body) if body else {}
        wanted = params.get('revision') or sent.get('metadata', {}).get(
            'revision')
        if wanted and int(wanted) != row['metadata']['revision']:
            return 409, row
        if method == 'DELETE':
            self.remove(kind, parts[1])
            return 200, row
        if len(parts) == 3:
            return self._write(kind, parts[1], 200, status=sent['status'])
        return self._write(kind, parts[1], 200, spec=sent.get('spec'))

    def _write(self, kind, name, code, **fields):
        before = self.objects.get((kind, name), {'spec': None, 'status': None})
        after = {**before, **fields}
        # The smallest encoding of the value counts.
        size = len(json.dumps([after['spec'], after['status']],
                              ensure_ascii=False,
                              separators=(',', ':')).encode('utf-8'))
        if size > VALUE_BYTES:
            self.too_large += 1
            if self.too_large <= 5 or not self.too_large % 50:
                self.record.add(
                    f'store refuses {kind}/{name}: {size} bytes, at most '
                    f'{VALUE_BYTES} (refusal {self.too_large})')
            return 413, None
        if code == 200 and all(before[key] == fields[key] for key in fields):
            return code, before
        revision = self._bump()
        row = self.objects.setdefault((kind, name), {
            'metadata': {'name': name, 'created': revision, 'finalizers': [],
                         'deleting': False}, 'spec': None, 'status': None})
        row.update(fields)
        row['metadata']['revision'] = revision
        self._note(kind, row)
        return code, row

    def _list(self, kind, params):
        after = params.get('after', '')
        rows, size = [], 0
        names = sorted(name for found, name in self.objects
                       if found == kind and name > after)
        for name in names:
            row = self.objects[kind, name]
            size += len(json.dumps(row))
            if rows and (len(rows) >= 500 or size > 1_000_000):
                return 200, {'items': rows, 'hasMore': True,
                             'storeRevision': self.revision}
            rows.append(row)
        return 200, {'items': rows, 'hasMore': False,
                     'storeRevision': self.revision}

    async def _watch(self, kind, params):
        since = int(params['watch'])
        end = time.monotonic() + int(params.get('waitMs', 0)) / 1000
        while True:
            changed = self._changed
            events = [{'deleted': deleted, 'object': row}
                      for revision, found, row, deleted in self.log
                      if found == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0 or self.down:
                return 200, {'events': events,
                             'storeRevision': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Server(HttpServer):
    """A model server.

    :ivar runs: id, path, first event, time of each request that it ran
    :ivar override: called before the answer to a request; returns ``None`` to
        go on, or whether the connection stays open
    :ivar text: returns the data of an event: takes item id and number
    :ivar count: returns the number of events of a request
    :ivar pace: returns the seconds between its events
    """

    def __init__(self, record, store, name, service, zone, slots=8):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.running = {}
        self.runs = []
        self.last_finished = 0.0
        self._free = asyncio.Semaphore(slots)
        self._seq = 0
        self.text = lambda request_id, number: f'{request_id}-{number}'
        self.count = lambda request_id: 20
        self.pace = lambda request_id: 0.02
        self.override = None

    async def beat(self):
        """Write the entry of this server until cancelled."""
        while True:
            self._seq += 1
            if not self.store.down:
                self.store.put('servers', self.name, {
                    'service': self.service, 'address': self.address,
                    'zone': self.zone, 'version': 'v1', 'slots': self.slots,
                    'state': 'ready', 'coldLeftMs': 0, 'stage': 'both',
                    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                    'seq': self._seq})
            await asyncio.sleep(1.2)

    def whole(self, request_id):
        """Return the whole output of an item."""
        return '\n'.join(self.text(request_id, number) for number in
                         range(1, self.count(request_id) + 1))

    async def handle(self, method, target, headers, body, reader, writer):
        request_id = headers.get('request-id', '')
        wanted = headers.get('expect-instance')
        if wanted is not None and wanted != self.name:
            writer.write(answer_bytes(421, Instance_Id=self.name))
            await writer.drain()
            return True
        if target == '/healthz':
            writer.write(answer_bytes(200, Instance_Id=self.name))
            return True
        if target == '/persimmonpass/report':
            writer.write(answer_bytes(200, b'{}'))
            return True
        async with self._free:
            first = int(headers.get('last-event-id', 0)) + 1
            self.runs.append((request_id, target, first, time.monotonic()))
            self.record.add(f'server {self.name} ({self.service}) runs '
                            f'{request_id} {target} from event {first}')
            self.running[request_id] = time.monotonic()
            try:
                if self.override is not None:
                    outcome = await self.override(
                        self, request_id, headers, writer)
                    if outcome is not None:
                        return outcome
                return await self._stream(request_id, first, reader, writer)
            finally:
                self.running.pop(request_id, None)

    async def _stream(self, request_id, first, reader, writer):
        writer.write(head_bytes('HTTP/1.1 200 OK', {
            'Request-Id': request_id,
            'Response-Signature': f'sig.{self.name}.{request_id}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked'}))
        began = time.monotonic()
        pace = self.pace(request_id)
        for index, number in enumerate(
                range(first, self.count(request_id) + 1)):
            data = (f'id: {number}\ndata: {self.text(request_id, number)}'
                    '\n\n').encode('utf-8')
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
            wait = began + (index + 1) * pace - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            if reader.at_eof() or writer.is_closing():
                self.record.add(f'server {self.name}: {request_id} was left')
                return False
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.last_finished = time.monotonic()
        self.record.add(f'server {self.name} finished {request_id}')
        return True


# Hosts


def free_ports(ips, count, start):
    """Return a first port from which some are free on all addresses."""
    for first in range(start, start + 4000, count):
        held = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    held.append(socket.socket())
                    held[-1].setsockopt(
                        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    held[-1].bind((ip, port))
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
        return first
    raise Unready('no free ports')


class Host:
    """A machine with the role 'host' of the deploy file."""

    def __init__(self, fleet, name, zone, ip, port):
        self.fleet, self.name, self.zone, self.ip = fleet, name, zone, ip
        self.front = f'{ip}:{port}'
        self.directory = f'{ip}:{port + 1}'
        self.ready = f'{ip}:{port + 2}'
        self.control = f'{ip}:{port + 3}'
        self.peers = port + 4
        self.process = None
        self.log = fleet.folder / f'{name}.log'

    def settings(self, bootstrap):
        fleet = self.fleet
        return {
            'nodeName': self.name, 'role': 'host', 'machineClass': 'edge',
            'serves': ['edge', 'registry', 'control'], 'ip': self.ip,
            'zone': self.zone, 'region': 'lk-west',
            'zones': {host.zone: 'lk-west' for host in fleet.hosts},
            'listen': {'front': self.front, 'ready': self.ready,
                       'directory': self.directory, 'control': self.control},
            'portRange': [self.peers, self.peers + 3],
            'seeds': [host.control for host in fleet.hosts[:3]],
            'bootstrap': bootstrap, 'countLoss': False,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 150,
                       'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None, 'discovery': 'platform', 'entry': 'registry',
            'beatIntervalMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'batch', 'stream', 'engine', 'platform'],
            'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': fleet.store.address, 'form': 'objects',
                'writesPerS': 400, 'readsPerS': 2000, 'historyS': 20,
                'valueBytes': VALUE_BYTES, 'ttlMinMs': 1000},
        }

    async def start(self, bootstrap=False):
        path = self.fleet.folder / f'{self.name}.yaml'
        # JSON is YAML.
        path.write_text(json.dumps(self.settings(bootstrap)))
        environment = {key: os.environ[key] for key in
                       ('PATH', 'HOME', 'LANG') if key in os.environ}
        environment['PERSIMMONPASS_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, '-S', 'deploy/launch.py', 'host', self.front,
                self.directory, self.ready, cwd=ROOT, env=environment,
                stdout=log, stderr=log)
        self.fleet.record.add(f'host {self.name} started')

    def send(self, number):
        self.fleet.record.add(
            f'host {self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def is_ready(self):
        found = await try_call(self.ready, 'GET', '/persimmonpass/readyz',
                               timeout=1.0)
        return found is not None and found[0] == 200


class Fleet:
    """The store, the model servers and the hosts of a case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(self.record)
        self.hosts = []
        # Hosts in an entry answer; None for all.
        self.entries = None
        self.servers = []
        self.tasks = []

    def make_hosts(self, names, zones):
        ips = [f'127.0.{index + 1}.1' for index in range(len(names))]
        port = free_ports(ips, 8, 21_000 + os.getpid() % 500 * 16)
        for index, name in enumerate(names):
            self.hosts.append(Host(self, name, zones[index % len(zones)],
                                   ips[index], port))

    async def add_server(self, name, service, zone, slots=8):
        server = Server(self.record, self.store, name, service, zone, slots)
        await server.listen('127.0.0.1')
        self.servers.append(server)
        self.spawn(server.beat())
        return server

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def start(self, config):
        """Start all hosts and wait until they are ready and linked."""
        self.store.put('config', 'main', config)
        for host in self.hosts:
            await host.start(bootstrap=True)
        end = time.monotonic() + 30
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end:
                    raise Unready(f'{host.name} is not ready')
                await asyncio.sleep(0.1)
        while True:
            found = await asyncio.gather(
                *(self.resolve(host) for host in self.hosts))
            if all(len(row) >= (self.entries or len(self.hosts))
                   for row in found):
                break
            if time.monotonic() > end:
                raise Unready('the hosts do not know each other')
            await asyncio.sleep(0.2)
        # Start and links count as disruption for contactMs.
        await asyncio.sleep(BOUNDS['contactMs'] / 1000 + 0.5)
        self.record.add('all hosts are ready and in touch')

    async def resolve(self, host):
        found = await try_call(
            host.directory, 'GET',
            f'/persimmonpass/resolve?name={HOST}&region=lk-west'
            f'&zone={host.zone}', timeout=1.0)
        if found is None or found[0] != 200:
            return []
        return json.loads(found[2])['addresses']

    def put_config(self, config):
        self.store.put('config', 'main', config)
        self.record.add(f'operator: version {config["version"]} acknowledged')

    async def submit(self, host, path, job_id, items, deadline_ms=4000,
                     name=HOST):
        found = await try_call(
            host.front, 'POST', path,
            {'Host': name, 'Request-Id': job_id,
             'Content-Type': 'application/json', 'Deadline-Ms': deadline_ms},
            json.dumps({'items': items}).encode(), timeout=8.0)
        status = found[0] if found else None
        self.record.add(f'client: job {job_id} of {len(items)} items at '
                        f'{host.name}: {status}')
        return status

    async def read(self, host, job_id, after=0, wait_ms=0, quiet=False):
        """Read a page of results; None without a whole answer of 200."""
        headers = {'Wait-Ms': wait_ms} if wait_ms else {}
        found = await try_call(
            host.front, 'GET', f'/persimmonpass/lots/{job_id}?after={after}',
            headers, timeout=wait_ms / 1000 + 3.0)
        status = found[0] if found else None
        page = json.loads(found[2]) if status == 200 else None
        if not quiet:
            rows = len(page['results']) if page else None
            self.record.add(f'client: results of {job_id} after {after} at '
                            f'{host.name}: {status}, {rows} rows')
        return page

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            process = host.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for server in [self.store, *self.servers]:
            server.close()
        await asyncio.sleep(0.3)
        shutil.rmtree(self.folder, ignore_errors=True)


def item(item_id, path, body=b'x', tokens=940):
    """Return an item of a batch job."""
    return {'id': item_id, 'path': path,
            'headers': {'Model': 'm', 'Token-Usage': '540,400',
                        'Prompt-Prefix': f'9c2e41:300,{item_id}:240'},
            'body': base64.b64encode(body).decode(), 'tokens': tokens}


def batch_route(**fields):
    """Return a route for batch jobs, with the terms of the site."""
    return {'name': 'r-batch', 'host': HOST, 'pathPrefix': '/pule252/',
            'type': 'batch', 'timeoutMs': 15000, 'sloMs': 400, 'priority': 2,
            'service': 'assist', 'maxAttempts': 3, 'sticky': True,
            'resumable': True, 'gapTargetMs': 250, 'runTargetMs': 18000,
            'retentionS': 60, 'maxCount': 1600000, **fields}


def stream_route(**fields):
    """Return a route for resumable streams, with the terms of the site."""
    return {'name': 'r-chat', 'host': HOST, 'pathPrefix': '/lohu930/',
            'type': 'streaming', 'timeoutMs': 5000, 'sloMs': 300,
            'priority': 0, 'service': 'assist', 'maxAttempts': 2,
            'sticky': True, 'resumable': True, 'gapTargetMs': 250, **fields}


def config(version, routes, services=('assist',)):
    """Return a configuration."""
    return {
        'version': version, 'routes': routes,
        'services': [
            {'name': name, 'healthPath': '/healthz', 'maxConns': 370,
             'protocol': 'h1', 'tls': False,
             'engine': {'slots': 8, 'kvCapacity': 147261,
                        'models': [{'name': 'm'}]}} for name in services],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}}


def main(folder, case):
    """Run a case and exit with its verdict.

    :param case: takes the fleet; returns the sentences that say how the rule
        was broken, none if it held
    """
    async def run():
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(115):
                await fleet.store.listen('127.0.0.1')
                broken = await case(fleet)
        except (Unready, TimeoutError) as error:
            fleet.record.add(f'could not run: {error!r}')
            print(f'could not run: {error!r}')
            return 2
        finally:
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
                for path in fleet.folder.glob('*.log'):
                    shutil.copy(path, keep)
            await fleet.close()
        for line in broken[:20]:
            fleet.record.add(f'BROKEN {line}')
            print(f'BROKEN {line}')
        fleet.record.add(f'verdict: {"broken" if broken else "held"}')
        print('rule broken' if broken else 'rule held')
        return 1 if broken else 0

    if not (ROOT / 'target' / 'deps').is_dir():
        print('could not run: target/deps is missing, build first')
        sys.exit(2)
    sys.exit(asyncio.run(run()))

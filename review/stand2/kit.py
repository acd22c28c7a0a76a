"""Small stand-ins for the cases of this review, and helpers that run them.

Only the standard library is used. Everything listens on loopback addresses and
free ports. The gateway and storage programs are started as separate processes
with the commands of the deploy file.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import resource
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOLD, BROKEN, NO_RUN = 0, 1, 2


def free_port(ip='127.0.0.1'):
    """Return a port that is free now on an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_range(ip, count):
    """Return the first of some consecutive ports that are free now."""
    while True:
        first = random.randrange(20000, 30000)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return first
        except OSError:
            continue


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._began = time.monotonic()

    def line(self, text):
        self._file.write(f'{time.monotonic() - self._began:8.3f}  {text}\n')
        self._file.flush()


async def read_head(reader):
    """Read the head of a message; return its first line and its fields."""
    data = await reader.readuntil(b'\r\n\r\n')
    first, *lines = data[:-4].decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    """Read the body of a request."""
    if 'chunked' in fields.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(fields.get('content-length', 0)))


def message(status, fields, body=b'', reason='X'):
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in fields]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's metadata store.

    Each machine gets an address of its own, so that the store can turn
    machines away one by one.

    :ivar modes: what happens to the calls of a machine: ``ok``, ``busy``
        (503), ``silent`` or ``reset``
    :ivar lose: number of write answers that are still lost
    """

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.log = []
        self.changed = asyncio.Event()
        self.modes = collections.defaultdict(lambda: 'ok')
        self.delay = 0.004
        self.on_write = None
        self._servers = []

    async def listen(self, machine):
        """Open an address for a machine and return it."""

        async def serve(reader, writer):
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self._servers.append(server)
        return '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec, status=None):
        """Write an object as the operator or a server does."""
        self._write(kind, name, spec=spec, status=status)

    def remove(self, kind, name):
        """Remove an object."""
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            found['metadata']['revision'] = self.revision
            self._log(kind, found, True)

    def _write(self, kind, name, **fields):
        self.revision += 1
        found = self.objects.get((kind, name))
        if found is None:
            found = {
                'metadata': {'name': name, 'created': self.revision},
                'spec': {},
                'status': {},
            }
        found = json.loads(json.dumps(found))
        for key, value in fields.items():
            if value is not None:
                found[key] = value
        found['metadata']['revision'] = self.revision
        self.objects[kind, name] = found
        self._log(kind, found, False)
        return found

    def _log(self, kind, found, deleted):
        self.log.append(
            (
                self.revision,
                kind,
                {'object': json.loads(json.dumps(found)), 'deleted': deleted},
            )
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, machine, reader, writer):
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                mode = self.modes[machine]
                if mode == 'silent':
                    await asyncio.sleep(3600)
                if mode == 'reset':
                    writer.transport.abort()
                    return
                if mode == 'busy':
                    writer.write(message(503, []))
                    await writer.drain()
                    continue
                await asyncio.sleep(self.delay)
                method, target, _ = first.split(' ')
                path, _, query = target.partition('?')
                params = dict(urllib.parse.parse_qsl(query))
                parts = path.split('/')[2:]
                answer = None
                if method != 'GET' and self.on_write is not None:
                    answer = await self.on_write(
                        machine, method, parts, body, self
                    )
                    if answer == 'lost':
                        await asyncio.sleep(3600)
                if answer is None:
                    answer = await self.handle(method, parts, params, body)
                status, data = answer
                writer.write(
                    message(
                        status,
                        [('Content-Type', 'application/json')],
                        json.dumps(data).encode() if data is not None else b'',
                    )
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def handle(self, method, parts, params, body):
        """Carry out a call and return its status and its answer."""
        kind = urllib.parse.unquote(parts[1])
        name = urllib.parse.unquote(parts[2]) if len(parts) > 2 else None
        if method == 'GET' and name is None and 'watch' in params:
            since = int(params['watch'])
            end = time.monotonic() + int(params.get('waitMs', 0)) / 1000
            while True:
                found = [
                    row for at, k, row in self.log if at > since and k == kind
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {
                        'events': found,
                        'storeRevision': self.revision,
                    }
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if method == 'GET' and name is None:
            names = sorted(
                n
                for k, n in self.objects
                if k == kind and n > params.get('after', '')
            )
            return 200, {
                'items': [self.objects[kind, n] for n in names[:500]],
                'hasMore': len(names) > 500,
                'storeRevision': self.revision,
            }
        if method == 'GET':
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        data = json.loads(body) if body else {}
        if method == 'POST':
            name = data['metadata']['name']
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self._write(kind, name, spec=data.get('spec') or {})
        found = self.objects.get((kind, name))
        if found is None:
            return 404, None
        wanted = params.get('revision') or data.get('metadata', {}).get(
            'revision'
        )
        if wanted is not None and int(wanted) != found['metadata']['revision']:
            return 409, found
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, None
        if len(parts) > 3:
            return 200, self._write(kind, name, status=data.get('status'))
        return 200, self._write(kind, name, spec=data.get('spec'))


class Engine:
    """A server of a service.

    :ivar runs: what it ran: id, first event, how it ended
    :ivar react: called with a request; may return the answer in place of the
        usual one
    """

    def __init__(self, store, record, name, service, zone, **options):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = options.get('slots', 8)
        self.gap = options.get('gap', 0.02)
        self.events = options.get('events', 30)
        self.version = options.get('version', 1)
        self.react = options.get('react')
        self.runs = []
        self.running = 0
        self.state = 'ready'
        self.seq = 0
        self.starts = 0
        self.server = None
        self.tasks = set()

    async def start(self, ip='127.0.0.1', port=0):
        """Listen and write the entry of the server."""
        self.server = await asyncio.start_server(self._serve, ip, port)
        self.address = '%s:%d' % (ip, self.server.sockets[0].getsockname()[1])
        self.beat()

    def beat(self):
        """Write the entry of the server."""
        self.seq += 1
        self.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'coldLeftMs': 0,
                'seq': self.seq,
            },
        )

    def crash(self):
        """Reset all connections and stop listening; the entry stays."""
        self.record.line(f'{self.name} crashes, {len(self.tasks)} connections')
        self.server.close()
        for writer in list(self.tasks):
            writer.transport.abort()

    async def drain(self, seconds):
        """Report draining, serve for some time, then leave and exit."""
        self.state = 'draining'
        self.beat()
        await asyncio.sleep(seconds)
        self.store.remove('servers', self.name)
        self.server.close()
        for writer in list(self.tasks):
            writer.close()

    async def crash_for(self, seconds):
        """Crash, and start again under a new id at the same address.

        The store removes the entry after three heartbeat intervals.
        """
        self.crash()
        ip, _, port = self.address.rpartition(':')
        old = self.name
        await asyncio.sleep(min(seconds, 3.6))
        self.store.remove('servers', old)
        await asyncio.sleep(max(0.0, seconds - 3.6))
        self.starts += 1
        self.name = f'{old.split("-r")[0]}-r{self.starts}'
        await self.start(ip, int(port))
        self.record.line(f'{old} is back as {self.name}')

    def text(self, request_id, number):
        """Return the data of an event."""
        return f'{request_id}-{number}'

    async def _serve(self, reader, writer):
        self.tasks.add(writer)
        connection = {'answers': []}
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self._answer(first, fields, body, writer, connection)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self.tasks.discard(writer)
            writer.close()

    async def _answer(self, first, fields, body, writer, connection):
        request_id = fields.get('request-id', '')
        expected = fields.get('expect-instance', self.name)
        if expected != self.name:
            writer.write(message(421, [('Instance-Id', self.name)]))
            await writer.drain()
            return
        if self.react is not None:
            handled = await self.react(
                self, first, fields, body, writer, connection
            )
            if handled:
                return
        if self.running >= self.slots:
            self.record.line(f'{self.name} refuses {request_id}: full')
            writer.write(
                message(
                    503, [('Not-Executed', '1'), ('Request-Id', request_id)]
                )
            )
            await writer.drain()
            return
        await self.stream(first, fields, writer)

    async def stream(self, first, fields, writer, end=None):
        """Answer a request with events."""
        request_id = fields.get('request-id', '')
        after = int(fields.get('last-event-id', 0) or 0)
        self.running += 1
        run = {
            'id': request_id,
            'first': first,
            'after': after,
            'began': time.monotonic(),
            'ended': None,
            'how': None,
        }
        self.runs.append(run)
        self.record.line(f'{self.name} runs {request_id} after {after}')
        try:
            writer.write(
                (
                    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                    f'Request-Id: {request_id}\r\n'
                    f'Response-Signature: {self.name}.{request_id}\r\n'
                    'Transfer-Encoding: chunked\r\n\r\n'
                ).encode()
            )
            for number in range(after + 1, (end or self.events) + 1):
                await asyncio.sleep(self.gap)
                data = self.text(request_id, number)
                part = f'id: {number}\ndata: {data}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(part), part))
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionResetError
                run['events'] = number
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            run['how'] = 'whole'
        except ConnectionError:
            run['how'] = 'cut'
            raise
        finally:
            run['ended'] = time.monotonic()
            self.running -= 1
            self.record.line(
                f'{self.name} ends {request_id}: {run["how"]} at event '
                f'{run.get("events")}'
            )


class Host:
    """A machine of the system that runs one program.

    :ivar role: ``host`` or ``storage``, as in the deploy file
    """

    def __init__(self, fleet, name, ip, zone, role='host'):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.role = role
        self.process = None
        self.bootstrap = True

    async def start(self):
        """Write the settings file and start the program."""
        fleet = self.fleet
        settings = {
            'nodeName': self.name,
            'role': 'host',
            'machineClass': 'edge',
            'serves': ['edge', 'control', 'registry'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'lk-west',
            'zones': {zone: 'lk-west' for zone in fleet.zones},
            'listen': {
                'front': f'{self.ip}:{fleet.ports["front"]}',
                'ready': f'{self.ip}:{fleet.ports["ready"]}',
                'control': f'{self.ip}:{fleet.ports["control"]}',
                'directory': f'{self.ip}:{fleet.ports["directory"]}',
            },
            'portRange': [fleet.ports['range'], fleet.ports['range'] + 15],
            'seeds': [
                f'{host.ip}:{fleet.ports["control"]}'
                for host in fleet.hosts[:3]
            ],
            'bootstrap': self.bootstrap,
            'countLoss': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': fleet.max_fds,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'registry',
            'beatIntervalMs': 1200,
            'contracts': ['base', 'drain', 'config', 'recover', 'batch'],
            'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': fleet.bounds,
            'platform': {
                'address': self.store_address,
                'form': 'objects',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }
        if self.role == 'storage':
            data = pathlib.Path(fleet.folder) / f'{self.name}.data'
            data.mkdir(exist_ok=True)
            settings.update(
                role='storage', machineClass='storage', serves=['storage'],
                listen={}, countLoss=True, dataDir=str(data),
            )
        path = pathlib.Path(fleet.folder) / f'{self.name}.yaml'
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles'][self.role]['run']
        for key, address in settings['listen'].items():
            command = command.replace('{{listen.%s}}' % key, address)
        out = open(pathlib.Path(fleet.folder) / f'{self.name}.log', 'a')
        def limit():
            # The platform limits the descriptors of each process.
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (fleet.max_fds, fleet.max_fds)
            )

        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(command),
            preexec_fn=limit,
            cwd=ROOT,
            stdout=out,
            stderr=out,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PERSIMMONPASS_SETTINGS': str(path),
            },
        )
        self.bootstrap = False

    def send(self, number):
        """Send a signal to the program."""
        self.process.send_signal(number)

    async def kill(self):
        """Kill the program and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def descriptors(self):
        """Return how many descriptors the program has open."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def log_lines(self):
        """Return what the program has logged."""
        path = pathlib.Path(self.fleet.folder) / f'{self.name}.log'
        return path.read_text().splitlines()

    async def is_ready(self):
        """Return whether the program says that it is ready."""
        try:
            status, _, _ = await call(
                f'{self.ip}:{self.fleet.ports["ready"]}',
                'GET',
                '/persimmonpass/readyz',
                {},
                timeout=1.0,
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            return False
        return status == 200

    @property
    def front(self):
        return f'{self.ip}:{self.fleet.ports["front"]}'


BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackTimeoutMs': 4000,
    'catchUpS': 4.7, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'skewMaxMs': 5000,
    'recoveryS': 12, 'passMs': 120, 'retryAfterS': 0, 'finishS': 18,
    'statusS': 120, 'cancelMs': 3000, 'settleMs': 1000, 'quotaOverage': 0.1,
    'ttl_max_s': 5,
}


class Fleet:
    """A small deployment: store, machines, servers."""

    def __init__(self, case, machines=3, zones=('col-a', 'col-b', 'neg-c')):
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.record = Record(pathlib.Path(case) / 'record.txt')
        self.store = Store()
        self.zones = zones
        self.bounds = dict(BOUNDS)
        self.max_fds = 4100
        self.hosts = []
        self.storages = []
        self.engines = []
        self.ports = {}
        block = random.randrange(10, 250)
        self.ips = [f'127.77.{block}.{n + 1}' for n in range(machines)]
        for key in ('front', 'ready', 'control', 'directory'):
            self.ports[key] = free_port(self.ips[0])
        self.ports['range'] = free_range(self.ips[0], 16)
        for number, ip in enumerate(self.ips):
            zone = zones[number % len(zones)]
            self.hosts.append(
                Host(self, f'edge-{zone}-{number + 1}', ip, zone)
            )

    async def start(self, config):
        """Start the store and the machines, and wait until all are ready."""
        self.store.put('config', 'main', config)
        for host in self.hosts:
            host.store_address = await self.store.listen(host.name)
        for host in self.hosts:
            await host.start()
        await self.wait_ready()

    async def wait_ready(self, seconds=25.0, hosts=None):
        """Wait until machines are ready.

        :raises TimeoutError: if they are not in time
        """
        end = time.monotonic() + seconds
        for host in hosts or self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end:
                    raise TimeoutError(f'{host.name} is not ready')
                await asyncio.sleep(0.05)

    async def engine(self, name, service, **options):
        """Start a server."""
        zone = options.pop('zone', self.zones[0])
        found = Engine(self.store, self.record, name, service, zone, **options)
        await found.start()
        self.engines.append(found)
        return found

    async def storage(self, number=1):
        """Start a storage machine."""
        zone = self.zones[0]
        ip = self.ips[0].rsplit('.', 1)[0] + f'.{100 + number}'
        found = Host(self, f'storage-{zone}-{number}', ip, zone, 'storage')
        found.store_address = await self.store.listen(found.name)
        self.storages.append(found)
        await found.start()
        return found

    async def stop(self):
        """End all processes that were started."""
        for host in [*self.hosts, *self.storages]:
            await host.kill()


def route(name, kind, service, prefix, **fields):
    """Return a route of a configuration."""
    return {
        'name': name, 'host': 'nony24.example', 'pathPrefix': prefix,
        'type': kind, 'service': service, 'timeoutMs': 5000, 'sloMs': 300,
        'maxAttempts': 2, 'priority': 0, **fields,
    }


def config(version, routes, services, **fields):
    """Return a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'maxConns': 370, 'engine': {'slots': slots}}
            for name, slots in services.items()
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 5000, 'idleTimeoutMs': 15000,
        },
        **fields,
    }


async def call(address, method, path, fields, body=b'', timeout=6.0):
    """Make a call on a new connection; return status, fields and body."""
    async with asyncio.timeout(timeout):
        ip, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [f'{method} {path} HTTP/1.1', 'Connection: close']
            fields = {'Host': 'nony24.example', **fields}
            lines += [f'{name}: {value}' for name, value in fields.items()]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            first, found = await read_head(reader)
            status = int(first.split(' ')[1])
            if 'transfer-encoding' in found:
                data = await read_body(reader, found)
            elif 'content-length' in found:
                data = await reader.readexactly(int(found['content-length']))
            else:
                data = await reader.read()
            return status, found, data
        finally:
            writer.close()


async def lookup(fleet, number, path, fields, deadline=5.0):
    """Send an idempotent request as a caller does; return the last status.

    The caller tries again within its deadline, at another machine and on a new
    connection, and honours Retry-After up to a third of the time that is left.
    """
    end = time.monotonic() + deadline
    status = None
    for attempt in range(3):
        left = end - time.monotonic()
        if left < 0.1:
            break
        host = fleet.hosts[(number + attempt) % len(fleet.hosts)]
        request_id = new_id()
        found = {}
        try:
            status, found, _ = await call(
                host.front, 'GET', path or f'/roster/{request_id}',
                {
                    'Request-Id': request_id,
                    'Deadline-Ms': str(int(left * 1000)), **fields,
                },
                timeout=left,
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            status = None
        fleet.record.line(f'request {request_id} at {host.name}: {status}')
        if status == 200:
            if 'response-signature' not in found:
                return None
            break
        left = end - time.monotonic()
        pause = float(found.get('retry-after', 0.1))
        await asyncio.sleep(max(0.0, min(pause, left / 3)))
    return status


async def stream(fleet, number, events, deadline=5.0):
    """Send a request of a resumable stream as a caller does.

    The caller tries again within its deadline, at another machine and on a new
    connection, and honours Retry-After up to a third of the time that is left.

    :returns: 200 for a whole stream, otherwise the last status
    """
    end = time.monotonic() + deadline
    status = None
    for attempt in range(3):
        left = end - time.monotonic()
        if left < 0.1:
            break
        host = fleet.hosts[(number + attempt) % len(fleet.hosts)]
        request_id = new_id()
        found, data = {}, b''
        try:
            status, found, data = await call(
                host.front, 'POST', f'/chat/{request_id[:4]}',
                {
                    'Request-Id': request_id, 'Model': 'm',
                    'Token-Usage': '450,80',
                    'Prompt-Prefix': f'5c1e07a2:200,{request_id[:8]}:250',
                    'Deadline-Ms': str(int(left * 1000)),
                },
                b'{}', timeout=left,
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            status = None
        fleet.record.line(f'request {request_id} at {host.name}: {status}')
        if status == 200:
            whole = data.count(b'\n\n') == events
            return 200 if whole and 'response-signature' in found else None
        left = end - time.monotonic()
        pause = float(found.get('retry-after', 0.1))
        await asyncio.sleep(max(0.0, min(pause, left / 3)))
    return status


def new_id():
    """Return a new id."""
    return '%016x' % random.getrandbits(64)


class BatchClient:
    """Submits, reads and ends batch jobs."""

    def __init__(self, fleet, prefix='/lots7/'):
        self.fleet = fleet
        self.prefix = prefix

    def job(self, count, prefix_parts='9c2e41:300', tokens=500):
        """Return a new job with items."""
        job_id = new_id()
        items = []
        for _ in range(count):
            item_id = new_id()
            items.append(
                {
                    'id': item_id,
                    'path': f'{self.prefix}3/{item_id[:4]}',
                    'headers': {
                        'Model': 'm',
                        'Token-Usage': '540,400',
                        'Prompt-Prefix': f'{prefix_parts},{item_id[:6]}:240',
                    },
                    'body': base64.b64encode(item_id.encode()).decode(),
                    'tokens': tokens,
                }
            )
        return job_id, items

    async def submit(self, host, job_id, items, fields=None, timeout=5.0):
        """Submit a job once; return the status, or None for no answer."""
        body = json.dumps({'items': items}).encode()
        try:
            status, _, _ = await call(
                host.front, 'POST', f'{self.prefix}{job_id[:6]}',
                {
                    'Request-Id': job_id, 'Deadline-Ms': '4000',
                    'Content-Type': 'application/json', **(fields or {}),
                },
                body, timeout,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = None
            self.fleet.record.line(f'no answer: {error!r}')
        self.fleet.record.line(
            f'job {job_id} ({len(items)} items) at {host.name}: {status}'
        )
        return status

    async def read(self, host, job_id, after=0, wait=1000, fields=None):
        """Read results; return the status and the page."""
        try:
            status, _, data = await call(
                host.front, 'GET',
                f'/persimmonpass/lots/{job_id}?after={after}',
                {
                    'Wait-Ms': str(wait), 'Deadline-Ms': '4000',
                    'Request-Id': new_id(), **(fields or {}),
                },
                timeout=wait / 1000 + 2.5,
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            return None, None
        return status, json.loads(data) if status == 200 else None

    async def end(self, host, job_id, fields=None):
        """End a job; return the status."""
        try:
            status, _, _ = await call(
                host.front, 'DELETE', f'/persimmonpass/lots/{job_id}',
                {
                    'Request-Id': new_id(), 'Deadline-Ms': '4000',
                    **(fields or {}),
                },
            )
        except (OSError, TimeoutError, EOFError, ValueError):
            status = None
        self.fleet.record.line(f'end of {job_id} at {host.name}: {status}')
        return status


def trouble():
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(case, main):
    """Run a case, and exit with its result."""
    async def whole():
        fleet = None
        try:
            async with asyncio.timeout(116):
                fleet, result = await main(case)
                return result
        except Exception as error:
            import traceback
            traceback.print_exc()
            print(f'could not run: {error!r}')
            return NO_RUN
        finally:
            for found in FLEETS:
                await found.stop()
                if not os.environ.get('KEEP'):
                    shutil.rmtree(found.folder, ignore_errors=True)
    result = asyncio.run(whole())
    print({HOLD: 'held', BROKEN: 'broken', NO_RUN: 'not run'}[result])
    sys.exit(result)


FLEETS = []

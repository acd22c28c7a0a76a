"""Soak test: gateway processes that are killed, stopped and frozen.

The faults follow a fixed seed. The store and the targets are stand-ins in the
test process. The targets are of two software versions and break off answers.
"""

import collections
import contextlib
import functools
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

import anyio
import httpx
import parameterized

from persimmonpass import servers
from tests import platform_fakes
from tests import processes
from tests import test_store_client

HOSTS = 3
TARGETS = 4
STREAM_CALLERS = 4
MAX_RESUMES = 6
RESUME_SECONDS = 0.1
CUT_AFTER = 2
CUT_SECONDS = 0.3
PAUSE_SECONDS = 0.4
FAULTS = 6
JOB_ITEMS = 4
SETTLE_SECONDS = 30.0
# Other seeds are played by hand, as in SOAK_SEEDS=10:60.
SEEDS = range(
    *map(int, os.environ.get('SOAK_SEEDS', '1:3').split(':', maxsplit=1))
)
# Minimum load of a run, independent of the speed of the machine. With fewer
# answers the checks would show little.
MIN_ANSWERS = 21
MIN_ACCEPTED_JOBS = 3
# Below the range from which systems assign ports to outgoing connections.
PORTS = range(20_000, 30_000)
PORTS_PER_RUN = 100
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
LAUNCHER = str(processes.ROOT / 'deploy' / 'launch.py')
# Script that runs the launcher and sends it SIGTERM at a call made at start.
STOP_AT_CALL = """
import importlib, runpy, signal, ssl, sys
from unittest import mock
launcher, called, program = sys.argv[1:]
module, _, name = called.rpartition('.')
parent, _, attribute = module.rpartition('.')
owner = getattr(importlib.import_module(parent), attribute)
original = getattr(owner, name)
def stop_then_call(*args):
    signal.raise_signal(signal.SIGTERM)
    return original(*args)
authorities = 0
def load(*args, **names):
    global authorities
    authorities += 1
ssl.SSLContext.load_verify_locations = load
sys.argv = [launcher, program]
with mock.patch.object(owner, name, stop_then_call):
    runpy.run_path(launcher, run_name='__main__')
"""
# Prints whether the start loaded certificate authorities or OpenTelemetry,
# which are slow to load and not needed here.
STOP_AT_CALL += """
print('loaded', authorities, 'opentelemetry' in sys.modules)
"""
SETTINGS = """
nodeName: "host-{number}"
zone: "a"
ip: "127.0.0.1"
listen: {{front: "{front}", directory: "{entry}"}}
portRange: [{peer}, {metrics}]
bounds: {{graceS: 8}}
platform: {{address: "{store}", writesPerS: 100000, readsPerS: 100000}}
"""


class Host:
    """A gateway process that can be restarted with the same settings.

    :ivar log_path: file of its log lines, if they are kept
    """

    @property
    def pid(self):
        """Number of the process."""
        return self._process.pid

    def __init__(self, folder, number, store, has_log=False, more_settings=''):
        fields = _free_addresses()
        self.address = fields['front']
        self.entry = fields['entry']
        self._path = pathlib.Path(folder) / f'host-{number}.yaml'
        self._path.write_text(
            SETTINGS.format(number=number, store=store, **fields)
            + more_settings
        )
        self._process = None
        self.log_path = self._path.with_suffix('.log')
        self._has_log = has_log
        self.start()

    def start(self):
        environment = {
            **os.environ,
            'PERSIMMONPASS_SETTINGS': str(self._path),
        }
        log_path = self.log_path if self._has_log else os.devnull
        with open(log_path, 'ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, LAUNCHER, 'host', self.address],
                env=environment,
                stdout=log,
            )

    def send(self, number):
        self._process.send_signal(number)

    async def end(self, number):
        """Send a signal and wait until the process has ended."""
        self._process.send_signal(number)
        while self._process.poll() is None:
            await anyio.sleep(0.02)
        return self._process.returncode

    def close(self):
        self._process.kill()
        self._process.wait()


@functools.cache
def _reserve_ports():
    """Return ports that no other run of these tests uses meanwhile.

    The ports of a host that is down are free, and a run beside this one could
    take them. The first port of the range is kept bound.

    :returns: an endless iterator of ports, each of which has a free next one,
        and the socket that keeps the range
    """
    starts = list(PORTS[::PORTS_PER_RUN])
    random.shuffle(starts)
    for start in starts:
        try:
            guard = socket.create_server(('127.0.0.1', start))
        except OSError:
            continue
        ports = range(start + 2, start + PORTS_PER_RUN, 2)
        return itertools.cycle(ports), guard
    raise RuntimeError(f'expected a free range in {PORTS}, found none')


def _free_addresses():
    """Return free addresses; the two ports of the range are consecutive.

    A restarted host binds the same addresses again. Hosts of one test get
    different ports, as a host that starts has not bound its own ones yet.
    """
    ports, _ = _reserve_ports()
    while True:
        front, entry, peer = itertools.islice(ports, 3)
        with contextlib.ExitStack() as stack:
            try:
                for port in (front, entry, peer, peer + 1):
                    held = servers.listen(f'127.0.0.1:{port}')
                    stack.enter_context(contextlib.closing(held))
            except OSError:
                continue
        return {
            'front': f'127.0.0.1:{front}',
            'entry': f'127.0.0.1:{entry}',
            'peer': peer,
            'metrics': peer + 1,
        }


def _strip_versions(text):
    return ''.join(
        line
        for line in text.splitlines(keepends=True)
        if not line.startswith('event: ')
    )


class Load:
    """Callers that record the answers they receive.

    :ivar answers: status by request id, for requests that must run only once
    :ivar incomplete: bodies of successful answers that were incomplete
    :ivar accepted: ids of the jobs that were accepted
    :ivar streams: texts of the streams that ended, by id of their first
        attempt
    :ivar resumed: number of streams that went on in another attempt
    :ivar stopping: set to end the load
    """

    def __init__(self, hosts, rng):
        self._hosts = hosts
        self._rng = rng
        self.answers = {}
        self.incomplete = []
        self.accepted = []
        self.streams = {}
        self.resumed = 0
        self.stopping = False

    async def wait_enough_answers(self):
        """Wait until the minimum of answers and accepted jobs is reached."""
        with anyio.move_on_after(SETTLE_SECONDS):
            while len(self.answers) < MIN_ANSWERS or (
                len(self.accepted) < MIN_ACCEPTED_JOBS
            ):
                await anyio.sleep(0.1)

    async def send_requests(self, client):
        expected = ''.join(
            f'id: {n}\ndata: x-{n}\n\n'
            for n in range(1, platform_fakes.TOKENS + 1)
        )
        number = 0
        while not self.stopping:
            number += 1
            path = ('/notes/a', '/once/a')[number % 2]
            request_id = f'r{number}'
            answer = await self._post(client, path, 'x', request_id)
            if answer is None:
                continue
            if path == '/once/a':
                self.answers[request_id] = answer.status_code
            text = _strip_versions(answer.text)
            if answer.status_code == 200 and text != expected:
                self.incomplete.append(answer.text)

    async def read_streams(self, client, caller):
        """Read streams, and resume at any host those that break off."""
        number = 0
        while not self.stopping:
            number += 1
            first_id = f's{caller}-{number}'
            text = ''
            for attempt in range(MAX_RESUMES):
                request_id = f'{first_id}-{attempt}'
                if not text:
                    began_id = request_id
                found, complete = await self._read_stream(
                    client, request_id, text.count('\n\n'), began_id
                )
                self.resumed += bool(text and found)
                text += found
                if complete:
                    break
                await anyio.sleep(RESUME_SECONDS)
            self.streams[first_id] = text

    async def _read_stream(self, client, request_id, received, began_id):
        """Return the whole events of one attempt and whether it ended."""
        headers = {'Host': platform_fakes.HOST, 'Request-Id': request_id}
        if received:
            headers['Last-Event-Id'] = str(received)
            headers['Resumes'] = began_id
        text = ''
        try:
            async with client.stream(
                'POST',
                f'http://{self._rng.choice(self._hosts).address}/notes/s',
                content='x',
                headers=headers,
                timeout=4.0,
            ) as answer:
                if answer.status_code != 200:
                    return '', False
                async for chunk in answer.aiter_text():
                    text += chunk
            return text, True
        except httpx.HTTPError:
            return text[: text.rfind('\n\n') + 2] if text else '', False

    async def submit_jobs(self, client):
        number = 0
        while not self.stopping:
            number += 1
            body = platform_fakes.submission(JOB_ITEMS)
            for _ in range(5):
                answer = await self._post(
                    client, '/jobs/j', body, f'j{number}'
                )
                if answer is not None and answer.status_code == 202:
                    self.accepted.append(f'j{number}')
                    break
            await anyio.sleep(0.3)

    async def _post(self, client, path, content, request_id):
        host = self._rng.choice(self._hosts)
        try:
            return await client.post(
                f'http://{host.address}{path}',
                content=content,
                headers={
                    'Host': platform_fakes.HOST,
                    'Request-Id': request_id,
                    'Deadline-Ms': '3000',
                },
                timeout=4.0,
            )
        except httpx.HTTPError:
            # The host died; the outcome is unknown to the caller.
            await anyio.sleep(0.02)
            return None


async def _inject_fault(host, kind):
    """Inject a fault into a host and undo it.

    :returns: the exit status if the host was stopped, 0 for other faults
    """
    if kind == 'freeze':
        host.send(signal.SIGSTOP)
        await anyio.sleep(1.5)
        host.send(signal.SIGCONT)
        return 0
    number = signal.SIGTERM if kind == 'stop' else signal.SIGKILL
    code = await host.end(number)
    host.start()
    return code if kind == 'stop' else 0


async def _break_answers(targets, rng, load):
    """Let one target after the other break off its answers for a while."""
    while not load.stopping:
        server = rng.choice(targets)
        server.cut_after = CUT_AFTER
        await anyio.sleep(CUT_SECONDS)
        server.cut_after = None
        await anyio.sleep(PAUSE_SECONDS)


class TestSignalsAtStart(unittest.TestCase):
    @parameterized.parameterized.expand([(0.15,), (0.4,), (1.0,)])
    def test_process_survives_reload_and_stops_cleanly(self, seconds):
        async def test():
            with tempfile.TemporaryDirectory() as folder:
                host = Host(folder, 1, '127.0.0.1:9')
                try:
                    await anyio.sleep(seconds)
                    host.send(signal.SIGHUP)
                    await anyio.sleep(0.1)
                    with anyio.fail_after(20):
                        code = await host.end(signal.SIGTERM)
                    self.assertEqual(0, code)
                finally:
                    host.close()

        platform_fakes.run(test)

    @parameterized.parameterized.expand(
        [
            ('host', 'persimmonpass.gateway.opaque.TargetClient'),
            ('storage', 'persimmonpass.cli.storage.store.connect'),
        ]
    )
    def test_stop_during_start_exits_cleanly(self, program, called):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'boot.yaml'
            fields = _free_addresses()
            path.write_text(
                SETTINGS.format(number=1, store='127.0.0.1:9', **fields)
            )
            done = subprocess.run(
                [
                    sys.executable,
                    '-c',
                    STOP_AT_CALL,
                    LAUNCHER,
                    called,
                    program,
                ],
                env={**os.environ, 'PERSIMMONPASS_SETTINGS': str(path)},
                capture_output=True,
                text=True,
                timeout=60,
            )
        self.assertEqual((0, ''), (done.returncode, done.stderr))
        self.assertIn('daemon_stopped', done.stdout)
        self.assertIn('loaded 0 False', done.stdout)


class TestSoak(unittest.TestCase):
    @parameterized.parameterized.expand([(seed,) for seed in SEEDS])
    def test_guarantees_hold_under_faults(self, seed):
        rng = random.Random(seed)

        async def test():
            targets = [
                platform_fakes.Server(f'i-{number}')
                for number in range(TARGETS)
            ]
            store = platform_fakes.StoreApp()
            async with contextlib.AsyncExitStack() as stack:
                serving = test_store_client.serving
                address = await stack.enter_async_context(serving(store.app))
                for number, server in enumerate(targets):
                    server.pace_seconds = 0.06
                    server.names_version = True
                    server.version = ('v1', 'v2')[number % 2]
                    server.address = await stack.enter_async_context(
                        serving(server.app)
                    )
                    store.memory.put('servers', server.name, server.entry())
                store.memory.put(
                    'config', 'main', platform_fakes.configuration()
                )
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                hosts = [Host(folder, n, address) for n in range(HOSTS)]
                for host in hosts:
                    stack.callback(host.close)
                client = await stack.enter_async_context(
                    httpx.AsyncClient(trust_env=False)
                )
                load = Load(hosts, rng)
                await anyio.sleep(3)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(load.send_requests, client)
                    tasks.start_soon(load.submit_jobs, client)
                    tasks.start_soon(
                        _break_answers, targets, random.Random(seed), load
                    )
                    for caller in range(STREAM_CALLERS):
                        tasks.start_soon(load.read_streams, client, caller)
                    for _ in range(FAULTS):
                        kind = rng.choice(('kill', 'stop', 'freeze', 'all'))
                        affected = (
                            hosts if kind == 'all' else [rng.choice(hosts)]
                        )
                        for host in affected:
                            code = await _inject_fault(host, kind)
                            self.assertEqual(0, code, kind)
                        await anyio.sleep(1)
                    await load.wait_enough_answers()
                    load.stopping = True
                self._check_requests(load, targets)
                self._check_streams(load)
                print(
                    f'seed {seed}: {len(load.streams)} streams, '
                    f'{load.resumed} resumed',
                    file=sys.stderr,
                )
                await self._check_jobs(load, hosts, client)

        platform_fakes.run(test)

    def _check_requests(self, load, targets):
        runs = collections.Counter(
            request_id for server in targets for request_id, _ in server.runs
        )
        self.assertEqual([], load.incomplete)
        self.assertGreaterEqual(len(load.answers), MIN_ANSWERS)
        for request_id, status in load.answers.items():
            self.assertLessEqual(runs[request_id], 1, request_id)
            if status in NOT_RUN_STATUSES:
                self.assertEqual(0, runs[request_id], request_id)

    def _check_streams(self, load):
        """Each stream has events of one version, none missing or twice."""
        complete = platform_fakes.TOKENS
        for first_id, text in load.streams.items():
            lines = text.splitlines()
            ids = [line for line in lines if line.startswith('id: ')]
            expected = [f'id: {n}' for n in range(1, len(ids) + 1)]
            self.assertEqual(expected, ids, first_id)
            self.assertLessEqual(len(ids), complete, first_id)
            versions = {line for line in lines if line.startswith('event: ')}
            self.assertLessEqual(len(versions), 1, first_id)

    async def _check_jobs(self, load, hosts, client):
        self.assertGreaterEqual(len(load.accepted), MIN_ACCEPTED_JOBS)
        for job_id in load.accepted:
            pages = []
            with anyio.fail_after(SETTLE_SECONDS):
                while len(pages) < len(hosts):
                    answer = await client.get(
                        f'http://{hosts[len(pages)].address}'
                        f'/persimmonpass/lots/{job_id}?after=0'
                    )
                    is_complete = answer.status_code == 200 and (
                        answer.json()['next'] == JOB_ITEMS
                    )
                    if is_complete:
                        pages.append(answer.json()['results'])
                    else:
                        self.assertIn(answer.status_code, (200, 503))
                        await anyio.sleep(0.1)
            self.assertEqual([pages[0]] * len(hosts), pages)
            items = {result['id'] for result in pages[0]}
            self.assertEqual(JOB_ITEMS, len(items))
            outputs = {result['output'] for result in pages[0]}
            text = '\n'.join(
                f'x-{n}' for n in range(1, platform_fakes.TOKENS + 1)
            )
            self.assertEqual({text}, outputs)


if __name__ == '__main__':
    unittest.main()

"""Processes under callers that send too much and read too little."""

import contextlib
import unittest

import anyio
import httpx
import parameterized

from tests import hostile_load as load
from tests import platform_fakes
from tests import processes
from tests import test_planned_stops as stops

expand = parameterized.parameterized.expand
# Set as the limits of the process.
MEMORY_MB = 128
MEMORY_BYTES = MEMORY_MB * 1_000_000
MAX_DESCRIPTORS = 400
# Set as the limit of a body.
BODY_BYTES = 2_000_000
# Callers that a host holds back never come to the end of what they send.
SEND_SECONDS = 20.0
ANSWER_SECONDS = 30.0
CHUNKED = 'Transfer-Encoding: chunked'
LONG = 'Deadline-Ms: 20000'
LARGE = load.chunk(b'x' * 50_000)
SHORT_OF_LIMIT = 39


def crowds(path, *fields):
    """Return the crowds that any HTTP server meets, by name.

    :param path: path of requests with a body
    :param fields: headers that make a request acceptable
    """
    chunked = load.head_of(path, CHUNKED, *fields)
    far_over = load.head_of(path, 'Content-Length: 50000000', *fields)
    whole, body = load.sized(path, BODY_BYTES, *fields)
    ahead = b''.join(load.sized(path, 10, *fields)) * 30
    return {
        'large chunks, never ended': load.Crowd(
            80, chunked, LARGE, SHORT_OF_LIMIT
        ),
        'small chunks, never ended': load.Crowd(
            24, chunked, load.chunk(b'xy') * 1000, 75
        ),
        'lengths, never ended': load.Crowd(80, whole, body[:50_000], 39),
        'far over the limit, announced': load.Crowd(80, far_over, LARGE, 160),
        'far over the limit, in chunks': load.Crowd(80, chunked, LARGE, 160),
        'sent ahead, unread': load.Crowd(40, b'', ahead, 300, reads=False),
        'heads never ended': load.Crowd(
            600, chunked[:-4] + b'\r\nX-A: ', b'x' * 6000, 10
        ),
        'nothing sent': load.Crowd(600, b''),
    }


GATEWAY_CROWDS = crowds('/notes/1', LONG) | {
    'whole bodies, slow targets': load.Crowd(
        80, *load.sized('/slow/1', BODY_BYTES, LONG), 1
    ),
    'jobs': load.Crowd(40, *load.job('/jobs/', BODY_BYTES - 100_000), 1),
    'answers unread': load.Crowd(
        300, *load.sized('/long/1', 10, LONG), 1, reads=False
    ),
}
DAEMON_CROWDS = crowds(
    '/v1/services/crews/report', 'Authorization: Bearer athi-desk-token'
)
BODYLESS_CROWDS = {
    name: crowd
    for name, crowd in crowds('/persimmonpass/resolve').items()
    if name in ('heads never ended', 'nothing sent', 'sent ahead, unread')
}


def configuration():
    """Return a configuration with a limit on bodies and slow services."""
    terms = {'timeoutMs': 30_000, 'sloMs': 10_000, 'gapTargetMs': 20_000}
    present = [
        platform_fakes.route('/notes/', **terms),
        platform_fakes.route('/slow/', service='slow', **terms),
        platform_fakes.route('/long/', service='long', **terms),
        platform_fakes.route('/jobs/', 'batch', maxCount=0),
    ]
    found = platform_fakes.configuration(1, present)
    found['limits']['maxBodyBytes'] = BODY_BYTES
    return found


def prepare(targets):
    """Give the targets their services."""
    targets[0].service = targets[1].service = 'notes'
    targets[2].service = 'slow'
    targets[2].wait_seconds = 60.0
    targets[3].service = 'long'
    targets[3].slots = 400
    targets[3].event_bytes = 8192
    targets[3].tokens = 200
    for target in targets:
        target.pace_seconds = 0.0


class TestGateway(unittest.TestCase):
    """Guards against callers that take the memory of a process."""

    @expand(GATEWAY_CROWDS.items())
    def test_process_stays_within_its_limits(self, _, crowd):
        self._check(crowd, lambda host: host.address)

    @expand(BODYLESS_CROWDS.items())
    def test_entry_port_stays_within_its_limits(self, _, crowd):
        self._check(crowd, lambda host: host.entry)

    def _check(self, crowd, port_of):
        async def test():
            async with contextlib.AsyncExitStack() as stack:
                (host,), _ = await stack.enter_async_context(
                    stops.processes(
                        1,
                        configuration(),
                        prepare,
                        f'limits: {{memoryMb: {MEMORY_MB}, '
                        f'maxFds: {MAX_DESCRIPTORS}}}\n',
                    )
                )
                await attack(
                    self,
                    host.pid,
                    port_of(host),
                    crowd,
                    lambda: ordinary_request(host.address),
                )

        platform_fakes.run(test)


class TestDaemon(unittest.TestCase):
    """Guards against callers that take the memory of ``persimmonpassd``."""

    def setUp(self):
        self.fleet = processes.Fleet(
            ('ruai',),
            *('--memory-mb', str(MEMORY_MB)),
            *('--max-descriptors', str(MAX_DESCRIPTORS)),
            *('--max-body-bytes', str(BODY_BYTES)),
        )
        self.addCleanup(self.fleet.close)
        self.fleet.start_service('crews', 'ruai')
        applied = self.fleet.run_tool(
            'apply', '-f', str(processes.ROOT / 'examples' / 'athi')
        )
        self.assertEqual(0, applied.returncode, applied.stderr)
        self.fleet.wait_ready()

    @expand(DAEMON_CROWDS.items())
    def test_process_stays_within_its_limits(self, _, crowd):
        host = self.fleet.hosts[0]

        async def call():
            async with httpx.AsyncClient(trust_env=False) as client:
                answer = await client.post(
                    f'{host.caller}/v1/services/crews/report',
                    content=b'x',
                    headers={'Authorization': 'Bearer athi-desk-token'},
                )
                return answer.status_code

        async def test():
            await attack(
                self,
                host.process.pid,
                host.caller.removeprefix('http://'),
                crowd,
                call,
            )

        platform_fakes.run(test)


async def attack(test, pid, address, crowd, call):
    """Check a process while and after a crowd calls it.

    :param call: makes one ordinary request; returns its status
    """
    port = int(address.rpartition(':')[2])
    async with load.watched(pid, port) as used:
        async with load.attacking(address, crowd) as progress:
            await progress.wait(port, SEND_SECONDS)
            during = await served(call)
        after = await served(call)
    test.assertEqual([200, 200], [during, after])
    test.assertLess(used[0].bytes, MEMORY_BYTES)
    test.assertLess(used[0].descriptors, MAX_DESCRIPTORS)


async def served(call):
    """Return the last status of a request that is made until it is served.

    A refused caller comes again, as ordinary callers do.
    """
    status = None
    with anyio.move_on_after(ANSWER_SECONDS):
        while status != 200:
            try:
                status = await call()
            except httpx.HTTPError as error:
                status = type(error).__name__
            await anyio.sleep(0.2)
    return status


async def ordinary_request(address):
    """Make a small request of a sound caller; return its status."""
    async with httpx.AsyncClient(trust_env=False, timeout=10.0) as client:
        answer = await client.post(
            f'http://{address}/notes/1',
            content=b'x',
            headers={'Host': platform_fakes.HOST, 'Request-Id': 'ordinary'},
        )
        return answer.status_code


if __name__ == '__main__':
    unittest.main()

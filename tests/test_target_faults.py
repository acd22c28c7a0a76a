"""Faulty targets: stalled streams, late second answers, cut answers.

Each target is a small server on a socket, which sends what the test gives it.
"""

import asyncio
import socket
import struct
import time
import unittest

import anyio
import parameterized

from tests import platform_fakes

expand = parameterized.parameterized.expand

HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n'
    b'Content-Type: %s\r\n'
)
STREAM = b'text/event-stream'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
EVENTS = 4
# Time between two bytes of a stalled target, shorter than every time limit.
TRICKLE_SECONDS = 0.05
# The routes of the tests allow a pause of a second between events.
SLOW_PAUSE_SECONDS = 0.4
STALL_ENDS_SECONDS = 2.5


def chunk(data):
    """Return a chunk of a body in chunks."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def event(number):
    """Return an event of a stream, in a chunk."""
    return chunk(b'id: %d\ndata: x-%d\n\n' % (number, number))


def reset(writer):
    """Make the close of a connection reset it."""
    connection = writer.get_extra_info('socket')
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


class RawTarget:
    """A target that answers each request by a function.

    :ivar name: name of the target
    :ivar requests: ids of the requests, in order
    """

    def __init__(self, name, answer):
        self.name = name
        self.requests = []
        self._answer = answer

    async def handle(self, reader, writer):
        """Answer the requests of a connection until it ends."""
        try:
            while True:
                text = await reader.readuntil(b'\r\n\r\n')
                fields = {
                    name.lower(): value
                    for name, _, value in (
                        line.partition(b': ')
                        for line in text.split(b'\r\n')[1:]
                    )
                }
                length = int(fields.get(b'content-length', b'0'))
                await reader.readexactly(length)
                self.requests.append(fields[b'request-id'].decode())
                if not await self._answer(self, fields, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


async def answer_in_full(target, fields, writer, pause=0.0):
    """Send all events that are still wanted."""
    first = int(fields.get(b'last-event-id', b'0')) + 1
    writer.write(HEAD % (fields[b'request-id'], STREAM) + CHUNKED)
    for number in range(first, EVENTS + 1):
        writer.write(event(number))
        await writer.drain()
        await asyncio.sleep(pause)
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


async def answer_slowly(target, fields, writer):
    """Send all events with pauses that the route allows."""
    return await answer_in_full(target, fields, writer, SLOW_PAUSE_SECONDS)


async def stall(target, fields, writer):
    """Send an event, then a byte now and then that belongs to none."""
    writer.write(HEAD % (fields[b'request-id'], STREAM) + CHUNKED)
    writer.write(event(1))
    while True:
        writer.write(chunk(b':'))
        await writer.drain()
        await asyncio.sleep(TRICKLE_SECONDS)


class RawFleet:
    """A gateway with raw targets."""

    def __init__(self, fleet):
        self.fleet = fleet
        self._servers = []

    async def add(self, name, answer):
        """Start and list a target, and wait until the gateway knows it."""
        target = RawTarget(name, answer)
        server = await asyncio.start_server(target.handle, '127.0.0.1', 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        entry = platform_fakes.Server(name)
        entry.address = f'127.0.0.1:{port}'
        self.fleet.store.memory.put('servers', name, entry.entry())
        board = self.fleet.hosts['one'].board
        with anyio.fail_after(5):
            while name not in board.targets:
                await anyio.sleep(0.01)
        return target

    async def remove(self, name):
        """Take a target off the list."""
        self.fleet.hosts['one'].board.targets.remove(name)

    def close(self):
        """Stop all targets."""
        for server in self._servers:
            server.close()


def run(test):
    """Run a test with a fleet of one host and no target."""

    async def with_fleet():
        async with platform_fakes.fleet(count=0) as fleet:
            raw = RawFleet(fleet)
            try:
                await test(raw)
            finally:
                raw.close()

    platform_fakes.run(with_fleet)


class TestStalledStreams(unittest.TestCase):
    """Stalled streams never ended while a byte came now and then."""

    def test_request_goes_on_at_another_target(self):
        async def test(raw):
            stalled = await raw.add('i-stalled', stall)
            began = time.monotonic()

            async def add_sound():
                while not stalled.requests:
                    await anyio.sleep(0.01)
                await raw.add('i-sound', answer_in_full)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(add_sound)
                answer = await raw.fleet.post(
                    '/notes/1', **{'Request-Id': 'r'}
                )
            self.assertEqual(200, answer.status_code)
            self.assertEqual(EVENTS, answer.content.count(b'data: x-'))
            self.assertLess(time.monotonic() - began, STALL_ENDS_SECONDS)

        run(test)

    def test_item_goes_on_at_another_target(self):
        async def test(raw):
            stalled = await raw.add('i-stalled', stall)
            await raw.fleet.post(
                '/jobs/j',
                platform_fakes.submission(1),
                **{'Request-Id': 'j'},
            )
            with anyio.fail_after(5):
                while not stalled.requests:
                    await anyio.sleep(0.01)
            await raw.add('i-sound', answer_in_full)
            with anyio.fail_after(4):
                page = await raw.fleet.results('j', 1)
            output = page['results'][0]['output']
            self.assertEqual(EVENTS, len(output.split('\n')))

        run(test)

    def test_slow_stream_is_not_cut(self):
        async def test(raw):
            target = await raw.add('i-slow', answer_slowly)
            answer = await raw.fleet.post('/notes/1', **{'Request-Id': 'r'})
            self.assertEqual(200, answer.status_code)
            self.assertEqual(EVENTS, answer.content.count(b'data: x-'))
            self.assertEqual(['r'], target.requests)

        run(test)


class TestSecondAnswers(unittest.TestCase):
    """A late second answer went to the next caller on the connection."""

    @expand([('at once', 0.0), ('late', 0.15), ('with the next', None)])
    def test_next_caller_gets_its_own_answer(self, _, delay):
        async def answer_twice(target, fields, writer):
            if delay is None and len(target.requests) > 1:
                # The copy arrives where the next answer is due.
                first = dict(fields)
                first[b'request-id'] = target.requests[0].encode()
                await answer_in_full(target, first, writer)
            await answer_in_full(target, fields, writer)
            if delay is not None:
                await asyncio.sleep(delay)
                await answer_in_full(target, fields, writer)
            return True

        async def test(raw):
            await raw.add('i-twice', answer_twice)
            for number in range(4):
                answer = await raw.fleet.post(
                    '/notes/1', **{'Request-Id': f'r{number}'}
                )
                if answer.status_code == 200:
                    self.assertEqual(
                        f'r{number}', answer.headers['request-id']
                    )
                    self.assertEqual(EVENTS, answer.content.count(b'data: '))
                else:
                    self.assertIn(answer.status_code, (502, 504))

        run(test)


class TestRepeatedRefusals(unittest.TestCase):
    """A refusal that was written again was taken for the next request's."""

    @expand(
        [
            (f'{kind} {path[1:-1]} {name}', path, head, delay)
            for path in ('/once/', '/notes/', '/plain/')
            for kind, head in (
                ('503', b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n'),
                ('429', b'HTTP/1.1 429 Busy\r\nNot-Executed: 1\r\n'),
                ('421', b'HTTP/1.1 421 Other\r\n'),
            )
            for name, delay in (('late', 0.03), ('with the next', None))
        ]
    )
    def test_request_that_runs_is_not_refused(self, _, path, head, delay):
        refusal = head + b'Content-Length: 2\r\n\r\nno'
        refused = set()
        ran = []
        writers = set()

        async def answer(target, fields, writer):
            request_id = fields[b'request-id']
            if writer in writers:
                if delay is None:
                    writer.write(refusal)
            elif request_id not in refused and len(refused) < 3:
                refused.add(request_id)
                writers.add(writer)
                writer.write(refusal)
                await writer.drain()
                if delay is not None:
                    await asyncio.sleep(delay)
                    writer.write(refusal)
                    await writer.drain()
                return True
            ran.append(request_id.decode())
            return await answer_in_full(target, fields, writer)

        async def test(raw):
            raw.fleet.store.memory.put(
                'config',
                'main',
                platform_fakes.configuration(
                    2,
                    [
                        platform_fakes.route('/notes/'),
                        platform_fakes.route('/once/', resumable=False),
                        platform_fakes.route('/plain/', 'idempotent'),
                    ],
                ),
            )
            await raw.add('i-again', answer)
            await asyncio.sleep(0.3)
            for number in range(8):
                request_id = f'r{number}'
                found = await raw.fleet.post(
                    f'{path}1', **{'Request-Id': request_id}
                )
                if request_id in ran:
                    self.assertEqual(200, found.status_code)
                else:
                    self.assertEqual(503, found.status_code)
                await asyncio.sleep(0.1)
            self.assertEqual(len(ran), len(set(ran)))
            self.assertGreaterEqual(len(ran), 5)

        run(test)


class TestCutAnswers(unittest.TestCase):
    """An answer that broke off reached the caller as a complete one."""

    @expand(
        [
            ('length', b'Content-Length: 500\r\n\r\nabc', False),
            ('chunked', CHUNKED + chunk(b'abc'), False),
            ('within a chunk', CHUNKED + b'ff\r\nabc', False),
            ('reset without a length', b'\r\nabc', True),
        ]
    )
    def test_cut_body_is_no_success(self, _, rest, resets):
        async def cut(target, fields, writer):
            writer.write(HEAD % (fields[b'request-id'], b'text/plain') + rest)
            await writer.drain()
            await asyncio.sleep(0.05)
            if resets:
                reset(writer)
            return False

        async def test(raw):
            await raw.add('i-cut', cut)
            answer = await raw.fleet.post('/once/1', **{'Request-Id': 'r'})
            self.assertEqual(502, answer.status_code)

        run(test)

    @expand(
        [
            ('chunked', CHUNKED + event(1), False),
            ('within an event', CHUNKED + event(1) + chunk(b'id: 2'), False),
            ('reset without a length', b'\r\nid: 1\ndata: x-1\n\n', True),
            ('closed within an event', b'\r\nid: 1\ndata: x-1\n\nid', False),
        ]
    )
    def test_cut_stream_is_not_complete(self, _, rest, resets):
        async def cut(target, fields, writer):
            writer.write(HEAD % (fields[b'request-id'], STREAM) + rest)
            await writer.drain()
            await asyncio.sleep(0.05)
            if resets:
                reset(writer)
            return False

        async def test(raw):
            await raw.add('i-cut', cut)
            with self.assertRaises(platform_fakes.httpx.HTTPError):
                await raw.fleet.post('/once/1', **{'Request-Id': 'r'})

        run(test)


class TestLostAnswers(unittest.TestCase):
    """Work whose answer was lost ran again, or was said not to have run."""

    @expand(
        [
            ('may not repeat', '/once/1', 1, 502),
            ('may repeat', '/notes/1', 2, 502),
        ]
    )
    def test_runs_and_status(self, _, path, runs, status):
        async def lose(target, fields, writer):
            await asyncio.sleep(0.02)
            return False

        async def test(raw):
            targets = [await raw.add(f'i-{n}', lose) for n in range(3)]
            answer = await raw.fleet.post(path, **{'Request-Id': 'r'})
            self.assertEqual(status, answer.status_code)
            self.assertEqual(
                runs, sum(len(target.requests) for target in targets)
            )

        run(test)


if __name__ == '__main__':
    unittest.main()

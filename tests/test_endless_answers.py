"""Targets whose answers have no end.

A host has a quarter of a gigabyte of memory or less, and the targets of a
service may all be faulty at the same time.
"""

import asyncio
import time
import tracemalloc
import unittest

import anyio
import parameterized

from tests import platform_fakes

expand = parameterized.parameterized.expand
BLOCK_BYTES = 65_536
REQUESTS = 8
MANY_REQUESTS = 64
DEADLINE_SECONDS = 2.0
# What all requests together may take of a host's memory.
MEMORY_BYTES = 64_000_000
OK_LINE = b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n'
STREAM = b'Content-Type: text/event-stream\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
BODY = b'Content-Type: text/plain\r\n\r\n'
X = b'x' * BLOCK_BYTES


def _chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


# Bytes after the status line and the id of the request, and bytes that are
# repeated until the connection closes.
ANSWERS = [
    ('no status line', None, X),
    ('header line', b'A: ', X),
    ('header lines', b'', b'A: b\r\n' * 10_000),
    ('interim answers', None, b'HTTP/1.1 100 Continue\r\n\r\n' * 2_000),
    ('body', BODY, X),
    ('chunked body', CHUNKED + BODY, _chunk(X)),
    ('chunk line', CHUNKED + BODY, X.replace(b'x', b'1')),
    ('trailers', CHUNKED + BODY + b'0\r\n', b'A: b\r\n' * 10_000),
    ('event', STREAM, X),
    ('event in chunks', CHUNKED + STREAM, _chunk(X)),
    ('events without id', STREAM, b'data: x\n\n' * 8_000),
    ('empty events', STREAM, b'\n\n' * 30_000),
]


class EndlessTarget:
    """A target that writes until its connection is closed.

    :ivar open: number of connections on which it still writes
    """

    def __init__(self, head, block):
        self.open = 0
        self.requests = 0
        self._head = head
        self._block = block

    async def handle(self, reader, writer):
        try:
            request = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', 1)
                for line in request.split(b'\r\n')[1:]
                if line
            )
            self.requests += 1
            self.open += 1
            try:
                if self._head is not None:
                    request_id = fields[b'request-id']
                    line = b'Request-Id: %s\r\n' % request_id
                    writer.write(OK_LINE + line + self._head)
                while True:
                    writer.write(self._block)
                    await writer.drain()
            finally:
                self.open -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class TestEndlessAnswers(unittest.TestCase):
    def run_with_target(self, head, block, test):
        async def run():
            target = EndlessTarget(head, block)
            server = await asyncio.start_server(
                target.handle, '127.0.0.1', 0, limit=1_000_000
            )
            port = server.sockets[0].getsockname()[1]
            async with platform_fakes.fleet(count=0) as fleet:
                entry = platform_fakes.Server('i-endless', 64)
                entry.address = f'127.0.0.1:{port}'
                fleet.store.memory.put('servers', entry.name, entry.entry())
                while not fleet.hosts['one'].board.targets.rows():
                    await anyio.sleep(0.02)
                tracemalloc.start()
                try:
                    await test(fleet, target)
                    _, peak = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertLess(peak, MEMORY_BYTES)
                with anyio.fail_after(1):
                    while target.open:
                        await anyio.sleep(0.01)
            server.close()

        platform_fakes.run(run)

    @expand(ANSWERS)
    def test_request_ends_in_time_and_memory_is_bounded(self, _, head, block):
        seconds = self.send_requests(head, block, REQUESTS)
        self.assertLess(seconds, DEADLINE_SECONDS + 0.5)

    @expand([row for row in ANSWERS if row[0].startswith('event')])
    def test_memory_is_bounded_over_all_requests(self, _, head, block):
        """Guards against a bound that holds for one answer only."""
        self.send_requests(head, block, MANY_REQUESTS)

    def send_requests(self, head, block, count):
        """Check that requests fail; return how long all of them took."""
        elapsed = []

        async def test(fleet, target):
            async def call(number):
                try:
                    async with fleet.client.stream(
                        'POST',
                        f'http://{fleet.addresses["one"]}/notes/a',
                        content='x',
                        headers={
                            'Host': platform_fakes.HOST,
                            'Request-Id': f'r{number}',
                            'Deadline-Ms': str(int(1000 * DEADLINE_SECONDS)),
                        },
                    ) as answer:
                        async for _ in answer.aiter_raw():
                            pass
                except platform_fakes.httpx.HTTPError:
                    return
                self.assertGreaterEqual(answer.status_code, 500)

            began = time.monotonic()
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(call, number)
            elapsed.append(time.monotonic() - began)
            self.assertGreater(target.requests, 0)

        self.run_with_target(head, block, test)
        return elapsed[0]

    @expand(ANSWERS)
    def test_item_stays_owed_and_memory_is_bounded(self, _, head, block):
        async def test(fleet, target):
            body = platform_fakes.submission(REQUESTS)
            await fleet.post('/jobs/j', body, **{'Request-Id': 'j'})
            with anyio.fail_after(5):
                while not target.requests:
                    await anyio.sleep(0.01)
            await anyio.sleep(2.0)
            page = await fleet.get('/persimmonpass/lots/j?after=0')
            self.assertEqual([], page.json()['results'])
            await fleet.client.delete(
                f'http://{fleet.addresses["one"]}/persimmonpass/lots/j',
                headers={'Host': platform_fakes.HOST},
            )

        self.run_with_target(head, block, test)


if __name__ == '__main__':
    unittest.main()

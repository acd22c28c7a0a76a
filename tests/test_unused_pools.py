"""Connections to targets that get no requests any more."""

import asyncio
import contextlib
import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass.targets import pools

expand = parameterized.parameterized.expand
UNUSED_SECONDS = 0.2
EVENTS = 8


class Target:
    """A target that counts its open connections.

    :ivar open: number of them
    :ivar pause_seconds: time between the parts of an answer
    """

    def __init__(self):
        self.open = 0
        self.pause_seconds = 0.0
        self.url = ''

    async def handle(self, reader, writer):
        """Answer the requests of a connection."""
        self.open += 1
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % EVENTS
                )
                for _ in range(EVENTS):
                    writer.write(b'x')
                    await writer.drain()
                    await asyncio.sleep(self.pause_seconds)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.open -= 1
            writer.close()


@contextlib.asynccontextmanager
async def running(count):
    """Run targets."""
    async with contextlib.AsyncExitStack() as stack:
        found = [Target() for _ in range(count)]
        for target in found:
            server = await asyncio.start_server(target.handle, '127.0.0.1', 0)
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            target.url = f'http://127.0.0.1:{port}/'
        yield found


class TestUnusedPools(unittest.TestCase):
    """Each target that left kept some descriptors of a host for good."""

    def run_with(self, count, test):
        async def main():
            async with (
                running(count) as targets,
                pools.make_client(keep_connections=True) as client,
            ):
                with anyio.fail_after(10):
                    await test(targets, client)

        with mock.patch.object(pools, 'UNUSED_SECONDS', UNUSED_SECONDS):
            asyncio.run(main())

    @expand([(1,), (40,)])
    def test_connections_to_targets_that_left_are_closed(self, count):
        async def test(targets, client):
            *left, last = targets
            for target in left:
                answer = await client.get(target.url)
                self.assertEqual(200, answer.status_code)
            await asyncio.sleep(2 * UNUSED_SECONDS)
            await client.get(last.url)
            while sum(target.open for target in left):
                await asyncio.sleep(0.01)
            self.assertEqual(1, last.open)
            # They are opened again for a target that comes back.
            for target in targets:
                answer = await client.get(target.url)
                self.assertEqual(200, answer.status_code)

        self.run_with(count + 1, test)

    def test_request_in_progress_is_not_cut(self):
        async def test(targets, client):
            slow, last = targets
            slow.pause_seconds = UNUSED_SECONDS
            received = b''
            async with client.stream('GET', slow.url) as answer:
                async for part in answer.aiter_bytes():
                    received += part
                    await client.get(last.url)
            self.assertEqual(b'x' * EVENTS, received)

        self.run_with(2, test)

    def test_used_target_keeps_its_connection(self):
        async def test(targets, client):
            [target] = targets
            for _ in range(8):
                await client.get(target.url)
                await asyncio.sleep(UNUSED_SECONDS / 2)
            self.assertEqual(1, target.open)

        self.run_with(1, test)


if __name__ == '__main__':
    unittest.main()

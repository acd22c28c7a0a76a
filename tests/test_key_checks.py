"""Checks of keys at the HTTP front end, on real connections."""

import contextlib
import time
import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass.platform import app
from tests import platform_fakes
from tests import test_client_accounts as account_fakes

expand = parameterized.parameterized.expand

KEY = account_fakes.KEY
BEARER = f'Authorization: Bearer {KEY}'.encode()


def head(path='/notes/1', *lines, length=0):
    """Return the head of a POST request, with its blank line."""
    return b'\r\n'.join(
        [
            f'POST {path} HTTP/1.1'.encode(),
            f'Host: {platform_fakes.HOST}'.encode(),
            b'Request-Id: r1',
            f'Content-Length: {length}'.encode(),
            *lines,
            b'',
            b'',
        ]
    )


@contextlib.asynccontextmanager
async def connection(fleet, host='one'):
    """Open a connection to a host."""
    ip, _, port = fleet.addresses[host].rpartition(':')
    async with await anyio.connect_tcp(ip, int(port)) as stream:
        yield stream


async def read_status(stream, seconds=2.0):
    """Return the status of the next answer, and its bytes."""
    data = b''
    with anyio.fail_after(seconds):
        while b'\r\n\r\n' not in data:
            data += await stream.receive()
    return int(data.split()[1]), data


class TestHead(unittest.TestCase):
    def run_fleet(self, test, **terms):
        async def run():
            terms.setdefault('config', account_fakes.configuration())
            async with platform_fakes.fleet(count=1, **terms) as fleet:
                await test(fleet)

        platform_fakes.run(run)

    @expand(
        [
            ('unknown key', '/notes/1', [b'Authorization: Bearer no'], 401),
            ('missing key', '/notes/1', [], 401),
            ('call on a job', '/persimmonpass/lots/x', [], 401),
            ('no route', '/nowhere/1', [BEARER], 404),
            ('malformed', '/notes/1', [BEARER, b'Deadline-Ms: soon'], 400),
        ]
    )
    def test_refused_before_a_slow_body_is_sent(
        self, _, path, lines, expected
    ):
        """Guards against an answer after the body, or lost to a reset."""

        async def test(fleet):
            async with connection(fleet) as stream:
                await stream.send(head(path, *lines, length=60_000))
                await stream.send(b'x' * 1_000)
                status, data = await read_status(stream)
                self.assertEqual(expected, status)
                self.assertTrue(data.endswith(b'\r\n\r\n'))
                self.assertIn(b'content-length: 0', data.lower())
                for _ in range(59):
                    await anyio.sleep(0.005)
                    await stream.send(b'x' * 1_000)
                # The whole body was read, so that the connection is kept.
                await stream.send(head('/notes/2', BEARER))
                self.assertEqual(200, (await read_status(stream))[0])

        self.run_fleet(test)

    @expand([('bytes', 100_000_000), ('seconds', 50_000)])
    def test_dropped_body_is_bounded(self, cause, length):
        """Guards against callers without a key that hold a host for long."""

        async def test(fleet):
            app_seconds = 0.5
            with mock.patch.object(app, 'DROP_SECONDS', app_seconds):
                async with connection(fleet) as stream:
                    await stream.send(head(length=length))
                    self.assertEqual(401, (await read_status(stream))[0])
                    began = time.monotonic()
                    sent = 0
                    with self.assertRaises(
                        (anyio.BrokenResourceError, anyio.EndOfStream)
                    ):
                        with anyio.fail_after(5):
                            while cause == 'bytes':
                                await stream.send(b'x' * 10_000)
                                sent += 10_000
                            await stream.receive()
                    elapsed = time.monotonic() - began
                    self.assertLess(elapsed, app_seconds + 1.5)
                    self.assertLess(sent, 50_000_000)
                front = fleet.hosts['one']._front_end.drain_middleware
                with anyio.fail_after(2):
                    while front.in_progress:
                        await anyio.sleep(0.02)

        self.run_fleet(test)

    def test_body_that_is_too_long_is_answered_with_413(self):
        async def test(fleet):
            answer = await fleet.post(
                '/notes/1', 'x' * 100_001, Authorization=f'Bearer {KEY}'
            )
            self.assertEqual(413, answer.status_code)

        self.run_fleet(test)

    def test_cut_body_is_not_run(self):
        async def test(fleet):
            async with connection(fleet) as stream:
                await stream.send(head('/notes/1', BEARER, length=10) + b'x')
                await anyio.sleep(0.1)
            await anyio.sleep(0.2)
            self.assertEqual([], fleet.servers[0].runs)
            front = fleet.hosts['one']._front_end.drain_middleware
            self.assertEqual(0, front.in_progress)

        self.run_fleet(test)

    def test_key_withdrawn_while_the_body_arrives_is_refused(self):
        """Guards against a request that outlives its key by a slow body."""

        async def test(fleet):
            async with connection(fleet) as stream:
                await stream.send(head('/notes/1', BEARER, length=10) + b'x')
                await anyio.sleep(0.1)
                await apply_version(fleet, 2, [account_fakes.TENANTS[1]])
                await stream.send(b'x' * 9)
                self.assertEqual(401, (await read_status(stream))[0])
            self.assertEqual([], fleet.servers[0].runs)

        self.run_fleet(test)


async def apply_version(fleet, version, tenants, hosts=None):
    """Write a configuration and wait until hosts have it in force."""
    data = account_fakes.configuration(tenants, version=version)
    fleet.store.memory.put('config', 'main', data)
    await wait_for_version(fleet, version, hosts)


async def wait_for_version(fleet, version, hosts=None, seconds=3.0):
    """Wait until hosts, or all, have a version of the configuration."""
    with anyio.fail_after(seconds):
        for host in hosts or fleet.hosts:
            while fleet.hosts[host].board.routes.get('routes').version != (
                version
            ):
                await anyio.sleep(0.02)


class TestMalformedKeys(unittest.TestCase):
    def test_malformed_keys_are_refused(self):
        """Guards against bad headers that pass, or end in 500 or no answer."""
        cases = [
            ('10 KB', [b'Authorization: Bearer ' + b'k' * 10_240]),
            ('doubled', [BEARER, BEARER]),
            ('doubled in another spelling', [BEARER, BEARER.upper()]),
            ('valid and other', [BEARER, b'Authorization: Bearer no']),
            ('valid and empty', [BEARER, b'Authorization:']),
            ('above 127', [b'Authorization: Bearer caf\xe9']),
            ('above 127 after a valid key', [BEARER + b'\xff']),
            ('UTF-8', [b'Authorization: Bearer \xc3\xa9']),
            ('blank within', [BEARER + b' x']),
            ('tab within', [b'Authorization: Bearer\t' + KEY.encode()]),
            ('two blanks', [b'Authorization: Bearer  ' + KEY.encode()]),
            ('two keys', [BEARER + b',' + KEY.encode()]),
            ('other scheme', [b'Authorization: Basic ' + KEY.encode()]),
            ('no scheme', [b'Authorization: ' + KEY.encode()]),
            ('empty key', [b'Authorization: Bearer ']),
            ('empty', [b'Authorization:']),
            ('other case', [b'Authorization: Bearer ' + KEY.upper().encode()]),
            ('other header', [b'Api-Key: ' + KEY.encode()]),
            ('missing', []),
        ]

        async def test():
            config = account_fakes.configuration()
            async with platform_fakes.fleet(count=1, config=config) as fleet:
                for name, lines in cases:
                    with self.subTest(name):
                        async with connection(fleet) as stream:
                            await stream.send(head('/notes/1', *lines))
                            status, _ = await read_status(stream)
                            self.assertEqual(401, status)
                self.assertEqual([], fleet.servers[0].runs)
                async with connection(fleet) as stream:
                    await stream.send(head('/notes/1', BEARER))
                    self.assertEqual(200, (await read_status(stream))[0])

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()

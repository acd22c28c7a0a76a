"""Contract of the store client, over TCP on the loopback interface."""

import contextlib
import unittest

import anyio
import cbor2
import httpx
import parameterized

from persimmonpass import budget
from persimmonpass import events
from persimmonpass import servers
from persimmonpass.standins import platform
from persimmonpass import store
from tests import fakes

RATE = 100_000.0
KEYS = (
    'config/service/a',
    'keys/äö ü',
    'a?b=c&d',
    'a#b',
    'a%2Fb',
    'a%b',
    'a/../b',
    './a',
    '..',
    'a+b',
    'a//b',
    'a:b@c;d=e',
)


@contextlib.asynccontextmanager
async def serving(app):
    """Serve an application on a free port."""
    listener = servers.listen('127.0.0.1:0')
    address = servers.address_of(listener)
    stopped = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(servers.serve_http, app, listener, stopped)
        try:
            yield address
        finally:
            stopped.set()


@contextlib.asynccontextmanager
async def connected(address):
    """Connect a client whose rate limit is never reached."""
    calls = budget.Budget(RATE, RATE)
    async with httpx.AsyncClient(trust_env=False) as client:
        yield store.connect(client, f'http://{address}', calls)


class TestStoreClient(unittest.TestCase):
    """The client with the stand-in of the platform."""

    def run_with_platform(self, test):
        async def main():
            fake_platform = platform.Platform()
            async with serving(fake_platform.app) as address:
                async with connected(address) as port:
                    with anyio.fail_after(20):
                        await test(fake_platform, port)

        anyio.run(main)

    def assert_failed(self, outcome, event, verdict):
        self.assertTrue(outcome.is_err(), outcome)
        failure = outcome.err_value
        self.assertEqual(
            (event, verdict), (failure.event, failure.verdict.value)
        )
        return failure

    def test_versions_and_conditions(self):
        async def test(fake_platform, port):
            first = (await port.put('k', b'1', store.CREATE)).unwrap()
            conflict = await port.put('k', b'2', store.CREATE)
            self.assert_failed(conflict, events.STORE_CONFLICT, 'not_run')
            second = (await port.put('k', b'2', first)).unwrap()
            self.assertGreater(second, first)
            stale_write = await port.put('k', b'3', first)
            self.assert_failed(stale_write, events.STORE_CONFLICT, 'not_run')
            self.assertEqual(
                store.Stored('k', second, b'2'), (await port.get('k')).unwrap()
            )
            stale_write = await port.delete('k', first)
            self.assert_failed(stale_write, events.STORE_CONFLICT, 'not_run')
            self.assertTrue((await port.delete('k', second)).is_ok())
            missing = await port.get('k')
            self.assert_failed(missing, events.STORE_NOT_FOUND, 'not_run')

        self.run_with_platform(test)

    @parameterized.parameterized.expand([(key,) for key in KEYS])
    def test_keys_that_need_quoting(self, key):
        async def test(fake_platform, port):
            version = (await port.put(key, b'x')).unwrap()
            expected = store.Stored(key, version, b'x')
            self.assertEqual([expected], (await port.list('')).unwrap())
            self.assertEqual(expected, (await port.get(key)).unwrap())
            (await port.delete(key)).unwrap()
            self.assertEqual([], (await port.list('')).unwrap())

        self.run_with_platform(test)

    def test_list_of_many_pages(self):
        async def test(fake_platform, port):
            for index in range(7):
                data = bytes([index]) * 400_000
                (await port.put(f'p/{index}', data)).unwrap()
            (await port.put('q/0', b'other')).unwrap()
            rows = (await port.list('p/')).unwrap()
            self.assertEqual(
                [f'p/{index}' for index in range(7)],
                [row.key for row in rows],
            )
            self.assertEqual(bytes([6]) * 400_000, rows[6].data)
            self.assertGreaterEqual(fake_platform.calls['list'], 4)

        self.run_with_platform(test)

    def test_watch(self):
        async def test(fake_platform, port):
            version = (await port.put('w/a', b'1')).unwrap()
            results = []

            async def watch():
                results.append((await port.watch('w/', version)).unwrap())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(0.1)
                (await port.put('other', b'')).unwrap()
                (await port.delete('w/a')).unwrap()
            self.assertEqual(['w/a'], [row.key for row in results[0].changes])
            self.assertTrue(results[0].changes[0].deleted)
            self.assertEqual(version + 2, results[0].version)

        self.run_with_platform(test)

    def test_watch_without_changes_ends(self):
        async def test(fake_platform, port):
            version = (await port.put('w/a', b'1')).unwrap()
            changes = (await port.watch('w/', version)).unwrap()
            self.assertEqual(store.Changes(version, []), changes)

        self.run_with_platform(test)

    @parameterized.parameterized.expand([(0, True), (1, False)])
    def test_value_limit(self, above, fits):
        async def test(fake_platform, port):
            data = b'x' * (store.MAX_VALUE_BYTES + above)
            written = await port.put('k', data)
            self.assertEqual(fits, written.is_ok())
            if not fits:
                failure = self.assert_failed(
                    written, events.STORE_TOO_LARGE, 'not_run'
                )
                self.assertIsNone(failure.retry_after_seconds)
                self.assertEqual(0, fake_platform.calls['put'])

        self.run_with_platform(test)

    def test_outage(self):
        async def test(fake_platform, port):
            fake_platform.app.faults.outage = True
            for outcome in (
                await port.get('k'),
                await port.put('k', b''),
                await port.delete('k'),
                await port.list(''),
                await port.watch('', 0),
            ):
                self.assert_failed(
                    outcome, events.STORE_UNAVAILABLE, 'not_run'
                )
            fake_platform.app.faults.outage = False
            self.assertTrue((await port.put('k', b'')).is_ok())

        self.run_with_platform(test)

    def test_lost_answer_of_a_write(self):
        async def test(fake_platform, port):
            fake_platform.app.faults.lose_answers = 2
            written = await port.put('k', b'1', store.CREATE)
            self.assert_failed(
                written, events.STORE_OUTCOME_UNKNOWN, 'may_have_run'
            )
            self.assertEqual(b'1', (await port.get('k')).unwrap().data)
            deleted = await port.delete('k')
            self.assert_failed(
                deleted, events.STORE_OUTCOME_UNKNOWN, 'may_have_run'
            )

        self.run_with_platform(test)

    def test_slow_answer(self):
        async def test(fake_platform, port):
            fake_platform.app.faults.delay_seconds = 0.5
            self.assertTrue((await port.put('k', b'1')).is_ok())

        self.run_with_platform(test)

    def test_silent_store(self):
        async def test(fake_platform, port):
            fake_platform.app.faults.silent = True
            outcomes = {}

            async def call(name, pending_call):
                outcomes[name] = await pending_call

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, 'get', port.get('k'))
                tasks.start_soon(call, 'put', port.put('k', b''))
            self.assert_failed(
                outcomes['get'], events.STORE_UNAVAILABLE, 'not_run'
            )
            self.assert_failed(
                outcomes['put'], events.STORE_OUTCOME_UNKNOWN, 'may_have_run'
            )
            fake_platform.app.faults.silent = False
            self.assertTrue((await port.put('k', b'')).is_ok())

        self.run_with_platform(test)

    def test_refused_connection(self):
        async def test():
            listener = servers.listen('127.0.0.1:0')
            address = servers.address_of(listener)
            listener.close()
            async with connected(address) as port:
                self.assert_failed(
                    await port.put('k', b''),
                    events.STORE_UNAVAILABLE,
                    'not_run',
                )

        anyio.run(test)


class TestVerdicts(unittest.TestCase):
    """Which errors and answers prove that a call had no effect."""

    def call(self, handler):
        """Return the verdicts of a get, a put, a list and a watch."""

        async def main():
            calls = budget.Budget(RATE, RATE)
            transport = httpx.MockTransport(handler)
            async with httpx.AsyncClient(transport=transport) as client:
                port = store.connect(client, 'http://10.0.0.1', calls)
                outcomes.append(await port.get('k'))
                outcomes.append(await port.put('k', b''))
                outcomes.append(await port.list('k'))
                outcomes.append(await port.watch('k', 0))

        outcomes = []
        fakes.run(main)
        self.assertTrue(
            all(outcome.is_err() for outcome in outcomes), outcomes
        )
        return [outcome.err_value.verdict.value for outcome in outcomes]

    @parameterized.parameterized.expand(
        [
            (httpx.ConnectError, 'not_run'),
            (httpx.ConnectTimeout, 'not_run'),
            (httpx.PoolTimeout, 'not_run'),
            (httpx.LocalProtocolError, 'not_run'),
            (httpx.ReadTimeout, 'may_have_run'),
            (httpx.ReadError, 'may_have_run'),
            (httpx.WriteTimeout, 'may_have_run'),
            (httpx.WriteError, 'may_have_run'),
            (httpx.RemoteProtocolError, 'may_have_run'),
            (httpx.CloseError, 'may_have_run'),
            (httpx.DecodingError, 'may_have_run'),
        ]
    )
    def test_errors(self, error, write):
        def handle(request):
            raise error('made by the test')

        self.assertEqual(
            ['not_run', write, 'not_run', 'not_run'], self.call(handle)
        )

    @parameterized.parameterized.expand(
        [
            (400, 'not_run'),
            (403, 'not_run'),
            (429, 'not_run'),
            (503, 'not_run'),
            (302, 'may_have_run'),
            (500, 'may_have_run'),
            (502, 'may_have_run'),
            (504, 'may_have_run'),
        ]
    )
    def test_statuses(self, status, write):
        def handle(request):
            return httpx.Response(status)

        self.assertEqual(
            ['not_run', write, 'not_run', 'not_run'], self.call(handle)
        )

    @parameterized.parameterized.expand(
        [
            ('no version', b'', {}),
            ('no CBOR', b'\xff\xff', {'etag': 'x'}),
            ('other CBOR', cbor2.dumps([1]), {'etag': 'x'}),
            ('endless', cbor2.dumps({'objects': [], 'more': True}), {}),
        ]
    )
    def test_broken_answers(self, _, content, headers):
        def handle(request):
            return httpx.Response(200, content=content, headers=headers)

        self.assertEqual(
            ['not_run', 'may_have_run', 'not_run', 'not_run'],
            self.call(handle),
        )


class TestSilentConnection(unittest.TestCase):
    """Connections that a device on the network path has silently dropped."""

    def test_new_connections_work_after_old_ones_went_silent(self):
        async def main():
            fake_platform = platform.Platform()
            silent_connections = set()
            connections = set()

            async def app(scope, receive, send):
                if scope['type'] == 'http':
                    connections.add(scope['client'])
                    if scope['client'] in silent_connections:
                        await anyio.sleep_forever()
                await fake_platform.app(scope, receive, send)

            async with serving(app) as address:
                async with connected(address) as port:
                    async with anyio.create_task_group() as tasks:
                        for index in range(4):
                            tasks.start_soon(port.put, f'k/{index}', b'')
                    silent_connections |= connections
                    self.assertGreater(len(silent_connections), 1)
                    failed = 0
                    while (await port.get('k/1')).is_err():
                        failed += 1
                    self.assertLessEqual(failed, len(silent_connections))
                    self.assertTrue((await port.put('k/1', b'')).is_ok())

        anyio.run(main)

"""Requests that reach an HTTP server as it closes."""

import asyncio
import contextlib
import math
import socket
import time
import unittest

import anyio
import anyio.to_thread
from hypercorn import app_wrappers
import hypercorn.config
import parameterized

from persimmonpass import http_server
from persimmonpass import intake
from persimmonpass import servers
from tests import platform_fakes
from tests import stop_load

STOPS = 12
CALLERS = 24
LOAD_SECONDS = 0.15
# Work of the event loop for each request.
WORK_SECONDS = 0.001
# Until the end of a connection that the server has closed is seen.
SETTLE_SECONDS = 0.05
IDLE_SECONDS = 0.1
REQUEST = b'POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n'
# More than the buffers of a connection hold.
LARGE_BYTES = 4_000_000


class App:
    """An application that records the requests that it gets.

    :ivar ids: ids of the requests
    """

    def __init__(self, *, closes=True):
        """Create it.

        :param closes: whether its answers end their connections
        """
        self.ids = set()
        self._closes = closes

    async def __call__(self, scope, receive, send):
        if scope['type'] != 'http':
            return
        headers = dict(scope['headers'])
        self.ids.add(headers[b'request-id'].decode())
        while (await receive()).get('more_body'):
            pass
        time.sleep(WORK_SECONDS)
        headers = [(b'content-length', b'1')]
        if self._closes:
            headers.append((b'connection', b'close'))
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': headers})
        await send({'type': 'http.response.body', 'body': b'x'})


async def stop_server(load, app):
    """Stop a server while callers connect, and return who waits on."""
    stopped = anyio.Event()
    listener = servers.listen('127.0.0.1:0')
    address = servers.address_of(listener)
    async with anyio.create_task_group() as callers:
        async with anyio.create_task_group() as serving:
            serving.start_soon(servers.serve_http, app, listener, stopped)
            for number in range(CALLERS):
                call = stop_load.caller(
                    load, address, '/', keeps=False, pauses=(0.0, 0.005)
                )
                callers.start_soon(call, number)
            await anyio.sleep(LOAD_SECONDS)
            stopped.set()
        await anyio.sleep(SETTLE_SECONDS)
        waiting = [each.id for each in load.attempts if each.is_open]
        callers.cancel_scope.cancel()
    return waiting


class TestClose(unittest.TestCase):
    maxDiff = None

    def test_no_connection_is_left_or_read_without_an_answer(self):
        """Guards against requests that get neither an answer nor an end."""

        async def test():
            waiting, unanswered = [], []
            for seed in range(STOPS):
                load = stop_load.Load(f's{seed}', seed)
                app = App()
                waiting += await stop_server(load, app)
                unanswered += [
                    each.id
                    for each in load.attempts
                    if each.id in app.ids and not each.is_whole
                ]
            self.assertEqual(([], []), (waiting, unanswered))

        platform_fakes.run(test)


class TestIdleConnections(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (name, is_kept, turns)
            for name in ('stop', 'idle timeout')
            for is_kept in (False, True)
            # Turns of the event loop from the close to the request.
            for turns in range(8)
        ]
    )
    def test_request_at_the_close_is_answered_or_not_read(
        self, name, is_kept, turns
    ):
        """Guards against closes that cross a request that is passed on."""

        async def test():
            app = App(closes=False)
            options = hypercorn.config.Config()
            options.keep_alive_timeout = IDLE_SECONDS
            options.accesslog = options.errorlog = None
            server = http_server.HttpServer(
                app_wrappers.ASGIWrapper(app),
                options,
                intake.Intake(intake.limits_for()),
            )
            closing = anyio.Event()
            listener = servers.listen('127.0.0.1:0')
            call = socket.create_connection(listener.getsockname())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, listener, None, closing.wait)
                await anyio.sleep(SETTLE_SECONDS)
                if is_kept:
                    call.sendall(REQUEST % b'first')
                    await anyio.sleep(SETTLE_SECONDS)
                    call.recv(LARGE_BYTES)
                if name == 'stop':
                    closing.set()
                else:
                    # The event loop stands still until the time is over.
                    time.sleep(IDLE_SECONDS)
                for _ in range(turns):
                    await asyncio.sleep(0)
                with contextlib.suppress(ConnectionError):
                    call.sendall(REQUEST % b'last')
                await anyio.sleep(SETTLE_SECONDS)
                closing.set()
            received = b''
            with call, contextlib.suppress(ConnectionError):
                received = call.recv(LARGE_BYTES)
            self.assertEqual('last' in app.ids, received.endswith(b'x'))

        platform_fakes.run(test)


class TestIdleLimit(unittest.TestCase):
    @parameterized.parameterized.expand([(0.5, 0.5), (7.0, 7.0), (0, 15.0)])
    def test_unused_connection_is_kept_as_long_as_configured(
        self, configured, seconds
    ):
        """Guards against closes that cross requests callers may send."""

        async def test():
            config = platform_fakes.configuration()
            config['limits']['idleTimeoutMs'] = 1000 * configured
            async with platform_fakes.fleet(config=config) as fleet:
                host, _, port = fleet.addresses['one'].rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                request = stop_load.head_of(
                    stop_load.Attempt('r1', 'c', '/notes/a'),
                    Content_Length=0,
                )
                writer.write(request)
                await reader.readuntil(b'0\r\n\r\n')
                answered_at = anyio.current_time()
                with anyio.fail_after(2 * seconds + 1):
                    self.assertEqual(b'', await reader.read())
                kept_seconds = anyio.current_time() - answered_at
                self.assertGreater(kept_seconds, 0.9 * seconds)
                self.assertLess(kept_seconds, seconds + 1)
                writer.close()

        platform_fakes.run(test)


class TestClosedForOthers(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (name, turns)
            for name in ('before the other caller', 'after it')
            # Turns of the event loop between the two.
            for turns in range(4)
        ]
    )
    def test_request_at_the_close_is_answered_or_not_run(self, name, turns):
        """Guards against requests that run when their connection is gone."""

        async def test():
            app = App(closes=False)

            async def run_whole(scope, receive, send):
                if intake.find(scope).take_whole():
                    await app(scope, receive, send)

            options = hypercorn.config.Config()
            options.accesslog = options.errorlog = None
            server = http_server.HttpServer(
                app_wrappers.ASGIWrapper(run_whole),
                options,
                intake.Intake(intake.Limits(1_000_000, 1)),
            )
            closing = anyio.Event()
            listener = servers.listen('127.0.0.1:0')
            address = listener.getsockname()
            call = socket.create_connection(address)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, listener, None, closing.wait)
                await anyio.sleep(SETTLE_SECONDS)
                call.sendall(REQUEST % b'first')
                await anyio.sleep(SETTLE_SECONDS)
                call.recv(LARGE_BYTES)
                steps = [
                    lambda: call.sendall(REQUEST % b'last'),
                    lambda: opened.append(socket.create_connection(address)),
                ]
                opened = []
                if name == 'after it':
                    steps.reverse()
                steps[0]()
                for _ in range(turns):
                    await asyncio.sleep(0)
                with contextlib.suppress(ConnectionError):
                    steps[1]()
                await anyio.sleep(SETTLE_SECONDS)
                closing.set()
            received = b''
            with call, opened[0], contextlib.suppress(ConnectionError):
                received = call.recv(LARGE_BYTES)
            self.assertIn('first', app.ids)
            self.assertEqual('last' in app.ids, received.endswith(b'x'))

        platform_fakes.run(test)


class TestCallersThatReadLate(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            # seconds after the stop in which the caller reads nothing,
            # whether it gets its answer
            ('within the grace', 0.5, True),
            ('never', math.inf, False),
        ]
    )
    def test_server_ends_within_its_grace(self, _, pause, is_whole):
        """Guards against stops that a caller holds up, and cut answers."""
        grace = 1.0

        async def app(scope, receive, send):
            if scope['type'] != 'http':
                return
            length = str(LARGE_BYTES).encode()
            headers = [(b'content-length', length), (b'connection', b'close')]
            start = {'type': 'http.response.start', 'status': 200}
            await send({**start, 'headers': headers})
            body = b'x' * LARGE_BYTES
            await send({'type': 'http.response.body', 'body': body})

        async def test():
            stopped = anyio.Event()
            listener = servers.listen('127.0.0.1:0')
            servers.limit_callers(listener)
            ip, _, port = servers.address_of(listener).rpartition(':')
            received = 0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    servers.serve_http, app, listener, stopped, lambda: grace
                )
                call = socket.create_connection((ip, int(port)))
                call.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
                call.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
                await anyio.sleep(0.2)
                stopped.set()
                began = anyio.current_time()
                if pause < math.inf:
                    await anyio.sleep(pause)
                    received = await anyio.to_thread.run_sync(read_all, call)
            seconds = anyio.current_time() - began
            call.close()
            self.assertLess(
                seconds, grace + servers.LAST_REQUESTS_SECONDS + 1.0
            )
            self.assertEqual(is_whole, received >= LARGE_BYTES)

        platform_fakes.run(test)


def read_all(call):
    """Return how many bytes come until the connection ends."""
    received = 0
    with contextlib.suppress(ConnectionError):
        while data := call.recv(65_536):
            received += len(data)
    return received


if __name__ == '__main__':
    unittest.main()

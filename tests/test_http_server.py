"""Connections of callers that don't keep to the usual course."""

import asyncio
import contextlib
import os
import socket
import unittest
from unittest import mock

import anyio
import parameterized

from persimmonpass import http_server
from persimmonpass import intake
from persimmonpass import servers
from tests import platform_fakes

# More than the buffers of a connection hold.
LARGE = b'x' * 4_000_000
END_SECONDS = 5.0
CONNECTIONS = 100
HTTP2 = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
UPGRADE = (
    b'GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n'
)
POST = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'


async def answer(send, body=b'x'):
    length = str(len(body)).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', length)],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def answer_unread(scope, receive, send):
    """Answer a request without reading its body."""
    if scope['type'] == 'http':
        await answer(send)


async def answer_at_length(scope, receive, send):
    """Send a long answer."""
    if scope['type'] == 'http':
        await answer(send, LARGE)


@contextlib.asynccontextmanager
async def serving(app, limits=None):
    """Run a server; yield its connections and a function that connects."""
    callers = intake.Intake(limits or intake.limits_for())
    stopped = anyio.Event()
    listener = servers.listen('127.0.0.1:0')
    servers.limit_callers(listener)
    ip, _, port = servers.address_of(listener).rpartition(':')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            lambda: servers.serve_http(app, listener, stopped, callers=callers)
        )
        yield callers, lambda: asyncio.open_connection(ip, int(port))
        stopped.set()


async def connect_at_once(address, count):
    """Connect while the server has no time to accept."""
    return [socket.create_connection(address) for _ in range(count)]


class TestCrowd(unittest.TestCase):
    @parameterized.parameterized.expand([(250,), (400,)])
    def test_crowd_takes_no_more_descriptors_than_allowed(self, count):
        limits = intake.Limits(1_000_000, CONNECTIONS)

        async def test():
            async with serving(answer_unread, limits) as (callers, connect):
                _, writer = await connect()
                address = writer.get_extra_info('peername')
                crowd = await connect_at_once(address, count)
                before = len(os.listdir('/proc/self/fd'))
                most = before
                with anyio.fail_after(END_SECONDS):
                    while any(map(is_open, crowd[:-CONNECTIONS])):
                        await asyncio.sleep(0)
                        most = max(most, len(os.listdir('/proc/self/fd')))
                self.assertEqual(CONNECTIONS, callers.open_count)
                # As many again are left for the targets of requests.
                self.assertLess(most - before, 2 * CONNECTIONS)
                writer.close()
                for each in crowd:
                    each.close()

        platform_fakes.run(test)


def is_open(connection):
    """Return whether the server has not closed a connection."""
    try:
        return bool(connection.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK))
    except BlockingIOError:
        return True
    except ConnectionError:
        return False


class TestConnections(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ('body is not read', answer_unread, POST % len(LARGE) + LARGE),
            ('HTTP/2', answer_unread, HTTP2),
            ('upgrade to HTTP/2', answer_unread, UPGRADE),
            (
                'answer is not read',
                answer_at_length,
                b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
            ),
        ]
    )
    def test_connection_ends(self, _, app, sent):
        """Guards against connections that are held for good."""

        async def test():
            async with serving(app) as (callers, connect):
                _, writer = await connect()
                with anyio.fail_after(END_SECONDS):
                    while not callers.open_count:
                        await anyio.sleep(0.01)
                    with contextlib.suppress(ConnectionError):
                        writer.write(sent)
                        await writer.drain()
                    while callers.open_count:
                        await anyio.sleep(0.01)
                self.assertEqual(0, callers.held)
                writer.close()

        with mock.patch.multiple(
            http_server, CLOSE_SECONDS=0.5, STALL_SECONDS=0.5
        ):
            platform_fakes.run(test)

    def test_small_parts_are_sent_at_once(self):
        """Guards against answers that wait for an acknowledgement."""
        found = []
        made = http_server._Protocol.connection_made

        def record(protocol, transport):
            made(protocol, transport)
            connection = transport.get_extra_info('socket')
            found.append(
                connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )

        async def test():
            async with serving(answer_unread) as (callers, connect):
                _, writer = await connect()
                while not found:
                    await anyio.sleep(0.01)
                writer.close()

        with mock.patch.object(
            http_server._Protocol, 'connection_made', record
        ):
            platform_fakes.run(test)
        self.assertEqual([1], [int(bool(each)) for each in found])

    def test_many_requests_leave_nothing_behind(self):
        """Guards against counts that drift while a connection is kept."""

        async def app(scope, receive, send):
            if scope['type'] != 'http':
                return
            while (await receive()).get('more_body'):
                pass
            self.assertTrue(intake.find(scope).take_whole())
            await answer(send)

        async def test():
            async with serving(app) as (callers, connect):
                reader, writer = await connect()
                for _ in range(20):
                    writer.write(POST % 100_000 + b'x' * 100_000)
                    await reader.readuntil(b'\r\n\r\nx')
                await anyio.sleep(0.1)
                self.assertEqual((0, 1), (callers.held, callers.open_count))
                writer.close()

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()

"""Targets that write an answer once more, on real connections.

The copy comes with the answer, a few turns of the event loop later, or while
the connection is idle.
"""

import asyncio
import contextlib
import itertools
import random as seeded
import unittest

import anyio
import h11
import httpcore
import httpx
import parameterized
import websockets.asyncio.client
import websockets.asyncio.server

from persimmonpass import blackboard
from persimmonpass.peers import tunnel
from persimmonpass.targets import connections
from persimmonpass.targets import engine
from persimmonpass.targets import framing
from persimmonpass.targets import orders
from persimmonpass.targets import pools
from persimmonpass.targets import service
from tests import platform_fakes
from tests import test_target_clients
from tests import test_target_faults

expand = parameterized.parameterized.expand
CALLS = 4
HEAD = b'HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n'
TURNS = 3
ANSWERS = 10_000
# What the HTTP library reads at once.
READ_BYTES = 65_536


def with_length(head, body):
    """Return an answer with a length."""
    return b'%sContent-Length: %d\r\n\r\n%s' % (head, len(body), body)


def chunked(head, body):
    """Return an answer in chunks."""
    return (
        head + b'Transfer-Encoding: chunked\r\n\r\n'
        b'%x;x=y\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n' % (len(body), body)
    )


async def write_twice(writer, answer, delay):
    """Write an answer and its copy.

    :param delay: ``None`` for at once, or seconds; 0 for a few turns of the
        event loop
    """
    if delay is None:
        writer.write(answer + answer)
        return await writer.drain()
    writer.write(answer)
    await writer.drain()
    for _ in range(TURNS):
        await asyncio.sleep(0)
    await asyncio.sleep(delay)
    writer.write(answer)
    await writer.drain()


COPIES = [
    (f'{form.__name__} {name}', form, delay)
    for form, (name, delay) in itertools.product(
        (with_length, chunked),
        (('at once', None), ('turns later', 0), ('idle', 0.03)),
    )
]


TRAILERS = (b'', b'X-Sum: 1\r\n', b'A: 1\r\nB: 2\r\n')
HEADS = (
    b'Content-Length: 0\r\n\r\n',
    b'Content-Length: 7\r\n\r\n0\r\n\r\nab',
    b'Content-Length: 3, 3\r\n\r\nabc',
    b'transfer-encoding:  Chunked \r\n\r\n%s',
    b'Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n%s',
    b'Connection: close\r\n\r\nabc',
    b'\r\nabc',
)
STARTS = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 204 None\r\n',
    b'HTTP/1.1 304\r\n',
    b'HTTP/1.1 503 Busy\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n',
    b'HTTP/1.0 200 OK\r\n',
)
EXTRAS = (b'', b'', b'H', b'\r\n', b'HTTP/1.1 200 OK\r\n\r\n')


def make_answer(random):
    """Return the bytes of an answer, cut or with more bytes at random."""
    chunks = b''.join(
        random.choice((b'%x\r\n%s\r\n', b'%X ;x=1\r\n%s\r\n'))
        % (size, random.choice((b'0', b'\r', b'\n')) * size)
        for size in random.choices((1, 2, 9, 17, 300), k=random.randrange(4))
    )
    end = b'0\r\n%s\r\n' % random.choice(TRAILERS)
    text = random.choice(STARTS) + random.choice(HEADS).replace(
        b'%s', chunks + end
    )
    if random.random() < 0.2:
        return text[: random.randrange(len(text))]
    return text + random.choice(EXTRAS)


def is_exact_in_h11(text, method):
    """Return whether the HTTP library reads exactly one answer.

    :returns: ``None`` if it takes the answer for invalid
    """
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method=method, target='/', headers={'Host': 'h'}.items())
    )
    connection.send(h11.EndOfMessage())
    connection.receive_data(text)
    with contextlib.suppress(h11.RemoteProtocolError):
        while True:
            found = connection.next_event()
            if found in (h11.NEED_DATA, h11.PAUSED):
                return False
            if isinstance(found, h11.EndOfMessage):
                return not connection.trailing_data[0]
    return None


class TestAnswerEnd(unittest.TestCase):
    """A connection was kept though bytes followed the answer."""

    def test_end_is_where_the_http_library_finds_it(self):
        random = seeded.Random(1)
        exact = 0
        for _ in range(ANSWERS):
            text = make_answer(random)
            method = random.choice(('GET', 'GET', 'HEAD'))
            end = framing.AnswerEnd(has_no_body=method == 'HEAD')
            size = random.choice((1, 2, 5, 50, 1000))
            for start in range(0, len(text), size):
                end.add(text[start : start + size])
            wanted = is_exact_in_h11(text, method)
            exact += bool(wanted)
            if wanted is None or b', 3' in text:
                continue
            self.assertEqual(wanted, end.is_exact, (method, text))
        self.assertGreater(exact, ANSWERS // 10)


class TestUnreadBytes(unittest.TestCase):
    """Bytes that had been received already were not seen by the pool."""

    @expand([('chunked', chunked), ('with length', with_length)])
    def test_connection_with_received_bytes_is_not_used_again(self, _, form):
        streams = []

        class Stream(httpcore.AsyncMockStream):
            async def read(self, max_bytes, timeout=None):
                data = b''.join(self._buffer)
                self._buffer = [data[max_bytes:]]
                return data[:max_bytes]

        class Backend(httpcore.AsyncMockBackend):
            async def connect_tcp(self, *args, **kwargs):
                streams.append(Stream([answer + answer]))
                return streams[-1]

        head = b'HTTP/1.1 200 OK\r\n'
        body = b' ' * (READ_BYTES - 200)
        answer = form(head, body)
        answer = form(head, body + b' ' * (READ_BYTES - len(answer)))
        self.assertEqual(READ_BYTES, len(answer))

        async def test():
            limits = httpx.Limits(max_connections=None)
            context = pools.make_plain_http_context()
            transport = connections.Transport(limits, context, Backend([]))
            for _ in range(2):
                found = await transport.handle_async_request(
                    httpx.Request('GET', 'http://127.0.0.1:1/')
                )
                await found.aread()
                await found.aclose()
            self.assertEqual(2, len(streams))

        asyncio.run(test())


class TestSecondAnswersOfServices(unittest.TestCase):
    """A second copy of an answer was taken for the next call's answer."""

    @expand(COPIES)
    def test_next_call_gets_its_own_answer(self, _, form, delay):
        async def answer(reader, writer):
            with contextlib.suppress(ConnectionError, EOFError):
                while True:
                    text = await reader.readuntil(b'\r\n\r\n')
                    body = text.split(b' ')[1]
                    text = form(b'HTTP/1.1 200 OK\r\n', body)
                    await write_twice(writer, text, delay)
            writer.close()

        async def test(target, client):
            calls = service.connect(client, client)
            for number in range(CALLS):
                request = service.ServiceCall('GET', f'/{number}', {}, b'')
                answered = await calls.call(target, request, 2.0)
                found = answered.ok_value.body
                self.assertEqual(b'/%d' % number, found)
                await asyncio.sleep(0.06)

        run_client(test, answer)

    @expand([('whole', 0), ('half before it', 30)])
    def test_call_that_meets_a_copy_gets_its_own_answer(self, _, size):
        async def answer(reader, writer):
            copy = b''
            with contextlib.suppress(ConnectionError, EOFError):
                while True:
                    text = await reader.readuntil(b'\r\n\r\n')
                    body = text.split(b' ')[1]
                    writer.write(copy[size:])
                    copy = with_length(b'HTTP/1.1 200 OK\r\n', body)
                    writer.write(copy)
                    writer.write(copy[:size])
                    await writer.drain()
            writer.close()

        async def test(target, client):
            calls = service.connect(client, client)
            for number in range(CALLS):
                request = service.ServiceCall('GET', f'/{number}', {}, b'')
                answered = await calls.call(target, request, 2.0)
                self.assertEqual(b'/%d' % number, answered.ok_value.body)

        run_client(test, answer)


class TestSecondAnswersThroughTunnels(unittest.TestCase):
    """A copy that had come through a tunnel met the next request."""

    @expand(COPIES)
    def test_next_request_gets_its_own_answer(self, _, form, delay):
        async def answer(reader, writer):
            with contextlib.suppress(ConnectionError, EOFError):
                while True:
                    text = await reader.readuntil(b'\r\n\r\n')
                    body = text.split(b' ')[1]
                    text = form(b'HTTP/1.1 200 OK\r\n', body)
                    await write_twice(writer, text, delay)
            writer.close()

        async def test(target, _):
            tunnels = tunnel.Tunnels('two', lambda _: True)
            handler = tunnels.handlers[tunnel.METHOD_OPEN]

            async def serve(connection):
                await handler.serve('one', target.address, connection)

            async with websockets.asyncio.server.serve(
                serve, '127.0.0.1', 0
            ) as server:
                port = server.sockets[0].getsockname()[1]

                async def open_tunnel(host, address):
                    return await websockets.asyncio.client.connect(
                        f'ws://127.0.0.1:{port}'
                    )

                transport = connections.Transport(
                    httpx.Limits(max_connections=None),
                    pools.make_plain_http_context(),
                    tunnel.Backend('two', open_tunnel),
                )
                for number in range(CALLS):
                    found = await transport.handle_async_request(
                        httpx.Request(
                            'GET', f'http://{target.address}/{number}'
                        )
                    )
                    body = await found.aread()
                    await found.aclose()
                    self.assertEqual(b'/%d' % number, body)
                    await asyncio.sleep(0.06)
                await transport.aclose()

        run_client(test, answer)


class TestSecondAnswersOfEngines(unittest.TestCase):
    """A second copy of a stream failed the next request."""

    @expand(COPIES)
    def test_next_stream_is_whole(self, _, form, delay):
        async def answer(reader, writer):
            with contextlib.suppress(ConnectionError, EOFError):
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    size = head.lower().partition(b'content-length: ')[2]
                    body = await reader.readexactly(int(size.split()[0]))
                    name = body.split(b'"attempt":"')[1].split(b'"')[0]
                    made = test_target_clients.event(name.decode(), 'x')
                    done = test_target_clients.event(
                        name.decode(), '', 'length'
                    )
                    text = form(b'HTTP/1.1 200 OK\r\n', made + done)
                    await write_twice(writer, text, delay)
            writer.close()

        async def test(target, client):
            engines = engine.connect(client)
            for number in range(CALLS):
                pieces = [
                    piece
                    async for piece in engines.stream(
                        target,
                        engine.Completion(f'a-{number}', 'm', '', '', 'p', 9),
                        {},
                    )
                ]
                self.assertTrue(all(piece.is_ok() for piece in pieces))
                text = ''.join(piece.ok_value.text for piece in pieces)
                self.assertEqual('x', text)
                await asyncio.sleep(0.06)

        run_client(test, answer)


class TestSecondAnswersToOrders(unittest.TestCase):
    """A copy of an answer was taken for the answer to the next order."""

    @expand([('refusal', 409), ('state', 200)])
    def test_order_that_meets_a_copy_gets_its_own_answer(self, _, status):
        async def answer(reader, writer):
            copy = b''
            with contextlib.suppress(ConnectionError, EOFError):
                while True:
                    text = await reader.readuntil(b'\r\n\r\n')
                    size = text.lower().partition(b'content-length: ')[2]
                    body = await reader.readexactly(int(size.split()[0]))
                    is_first = b'"fence":1' in body
                    head = b'HTTP/1.1 %d X\r\n' % (status if is_first else 200)
                    writer.write(copy)
                    copy = with_length(head, body)
                    writer.write(copy)
                    await writer.drain()
            writer.close()

        async def test(target, client):
            port = orders.connect(client)
            await port.send(target, orders.Order((), 'both', 1))
            for fence in (2, 3):
                order = orders.Order((), 'both', fence)
                answered = await port.send(target, order)
                self.assertTrue(answered.is_ok(), answered)
                self.assertEqual(fence, answered.ok_value.fence)

        run_client(test, answer)


class TestSecondAnswersAtGateways(unittest.TestCase):
    """A second copy of an answer failed the next request."""

    @expand(
        [
            (f'{path[1:-1]} {name}', path, form, delay)
            for path in ('/notes/', '/plain/')
            for name, form, delay in COPIES
        ]
    )
    def test_next_request_is_not_resent(self, _, path, form, delay):
        async def answer(target, fields, writer):
            head = HEAD % (200, fields[b'request-id'])
            body = b'id: 1\ndata: %s\n\n' % fields[b'request-id']
            if path == '/notes/':
                head += b'Content-Type: text/event-stream\r\n'
            await write_twice(writer, form(head, body), delay)
            return True

        async def test(raw):
            raw.fleet.store.memory.put(
                'config',
                'main',
                platform_fakes.configuration(
                    2,
                    [
                        platform_fakes.route('/notes/'),
                        platform_fakes.route('/plain/', 'idempotent'),
                    ],
                ),
            )
            target = await raw.add('i-twice', answer)
            await asyncio.sleep(0.3)
            ids = [f'r{number}' for number in range(CALLS)]
            for request_id in ids:
                found = await raw.fleet.post(
                    f'{path}1', **{'Request-Id': request_id}
                )
                self.assertEqual(200, found.status_code)
                self.assertEqual(request_id, found.headers['request-id'])
                self.assertEqual(1, found.content.count(b'data: '))
                self.assertIn(request_id.encode(), found.content)
                await asyncio.sleep(0.06)
            self.assertEqual(ids, target.requests)

        test_target_faults.run(test)


def run_client(test, answer):
    """Run ``test(target, client)`` while a target serves.

    :param answer: serves a connection
    """

    async def main():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        target = blackboard.Target('t', f'127.0.0.1:{port}', '', '', {})
        async with pools.make_client(keep_connections=True) as client:
            with anyio.fail_after(8):
                await test(target, client)
        server.close()
        # Until the connections of the target have ended.
        await asyncio.sleep(0.01)

    asyncio.run(main())


if __name__ == '__main__':
    unittest.main()

"""Tests the clients of targets against sockets that fail in various ways."""

import contextlib
import json
import socket
import ssl
import unittest
from unittest import mock

import anyio
import httpx
import parameterized

from persimmonpass import blackboard
from persimmonpass import events
from persimmonpass.targets import connections
from persimmonpass.targets import engine
from persimmonpass.targets import pools
from persimmonpass.targets import probe
from persimmonpass.targets import service
from persimmonpass import verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
HALF = b'HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf'
BUSY = b'HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno'
LEAVING = (
    b'HTTP/1.1 503 Leaving\r\ncontent-length: 20\r\n\r\n{"error": "leaving"}'
)
CLOSE = b''
TIMEOUT_SECONDS = 0.3
CALL = service.ServiceCall('POST', '/dispatch', {}, b'station 9')


class RawTarget:
    """Serves a socket and answers each request by the next step of a script.

    A step is the bytes of an answer, or a list of parts that are written one
    after another, of which ``None`` stands for waiting without end. The
    connection is closed after a step unless its answer is complete.

    :ivar received: number of request bodies that arrived completely
    :ivar connections: number of connections that were accepted
    """

    def __init__(self, *script):
        self.received = 0
        self.connections = 0
        self._script = list(script)

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while await self._answer(stream):
                    pass

    async def _answer(self, stream):
        data = b''
        while not data.endswith((CALL.body, b'}')):
            data += await stream.receive()
        self.received += 1
        parts = self._script.pop(0)
        for part in parts if isinstance(parts, list) else [parts]:
            if part is None:
                await anyio.sleep_forever()
            await stream.send(part)
            await anyio.sleep(0.02)
        return parts in (OK, BUSY, LEAVING) or parts == [EVENTS]


def event(attempt, text, reason=None):
    """Return the bytes of an engine's event."""
    choice = {'index': 0, 'text': text, 'finish_reason': reason}
    body = {'id': attempt, 'choices': [choice]}
    return f'data: {json.dumps(body)}\n\n'.encode()


def chunked(*parts):
    """Return a chunked answer as a list of parts to write."""
    head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    chunks = [b'%x\r\n%s\r\n' % (len(part), part) for part in parts]
    return [head, *chunks, b'0\r\n\r\n']


DONE = event('a-0', '', 'length') + b'data: [DONE]\n\n'
EVENTS = b''.join(
    chunked(event('a-0', 'x ') + event('a-0', 'y ') + event('a-0', 'z '), DONE)
)


def run(test, *script):
    """Run ``test(target, clients, raw)`` while a raw target serves.

    :param test: coroutine function
    :param script: steps of the raw target
    """

    async def main():
        raw = RawTarget(*script)
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        target = blackboard.Target('t', f'127.0.0.1:{port}', '', '', {})
        fresh = httpx.Limits(max_keepalive_connections=0)
        async with (
            httpx.AsyncClient(trust_env=False) as client,
            httpx.AsyncClient(trust_env=False, limits=fresh) as fresh_client,
            listener,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(listener.serve, raw.serve)
            with anyio.fail_after(4):
                await test(target, (client, fresh_client), raw)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def closed_target():
    """Return a target on whose port nothing listens."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
    return blackboard.Target('t', f'127.0.0.1:{port}', '', '', {})


class TestServiceCalls(unittest.TestCase):
    """The verdict is right, and no call is written twice."""

    @parameterized.parameterized.expand(
        [
            ('silent', None, MAY_HAVE_RUN),
            ('crash', CLOSE, MAY_HAVE_RUN),
            ('lost answer', HALF, MAY_HAVE_RUN),
            ('leaving', LEAVING, NOT_RUN),
        ]
    )
    def test_fault(self, name, script, verdict):
        async def test(target, clients, raw):
            port = service.connect(*clients)
            for once in (True, False):
                failed = await port.call(target, CALL, TIMEOUT_SECONDS, once)
                self.assertEqual(verdict, failed.err_value.verdict)
            self.assertEqual(2, raw.received)

        run(test, script, script)

    def test_refused(self):
        async def test(target, clients, raw):
            port = service.connect(*clients)
            failed = await port.call(closed_target(), CALL, 1.0, True)
            self.assertEqual(NOT_RUN, failed.err_value.verdict)
            closed = await probe.connect(closed_target())
            self.assertEqual(probe.ConnectOutcome.REFUSED, closed)
            listening = await probe.connect(target)
            self.assertEqual(probe.ConnectOutcome.ACCEPTED, listening)

        run(test)

    def test_answer_with_any_status_is_passed_on(self):
        async def test(target, clients, raw):
            port = service.connect(*clients)
            answered = await port.call(target, CALL, 1.0, True)
            self.assertEqual((503, b'no'), answered.ok_value[::2])

        run(test, BUSY)

    def test_stale_connection(self):
        """The target closes a kept connection while a call is written."""

        async def test(target, clients, raw):
            port = service.connect(*clients)
            await port.call(target, CALL, 1.0, False)
            stale = await port.call(target, CALL, 1.0, False)
            self.assertEqual(MAY_HAVE_RUN, stale.err_value.verdict)
            self.assertEqual(2, raw.received)
            await port.call(target, CALL, 1.0, False)
            connections = raw.connections
            fresh = await port.call(target, CALL, 1.0, True)
            self.assertTrue(fresh.is_ok())
            self.assertEqual(
                (connections + 1, 4), (raw.connections, raw.received)
            )

        run(test, OK, CLOSE, OK, OK)

    def test_no_connection_is_used_twice(self):
        """The service may write an answer again, before the next one."""

        async def test(target, clients, raw):
            async with pools.make_client(keep_connections=True) as client:
                port = service.connect(client, client)
                failed = await port.call(target, CALL, TIMEOUT_SECONDS)
                self.assertEqual(NOT_RUN, failed.err_value.verdict)
                answer = await port.call(target, CALL, TIMEOUT_SECONDS)
                self.assertEqual(200, answer.ok_value.status)
                await port.call(target, CALL, TIMEOUT_SECONDS)
            self.assertEqual(3, raw.connections)

        run(test, LEAVING, OK, OK)


class TestPools(unittest.TestCase):
    """Each address has its own pool; all pools share one TLS context."""

    def test_certificates_are_loaded_once(self):
        answer = httpx.Response(200)
        used_pools = []

        async def test():
            with (
                mock.patch.object(
                    ssl.SSLContext, 'load_verify_locations'
                ) as load,
                mock.patch.object(
                    connections.Transport,
                    'handle_async_request',
                    lambda pool, request: (
                        used_pools.append(pool) or _return(answer)
                    ),
                ),
            ):
                async with pools.make_client(keep_connections=True) as client:
                    for port in (1, 2, 3, 1):
                        await client.get(f'http://127.0.0.1:{port}')
            self.assertLessEqual(load.call_count, 1)
            self.assertEqual(3, len(set(map(id, used_pools))))
            self.assertIs(used_pools[0], used_pools[3])

        anyio.run(test)


async def _return(value):
    return value


class TestEngineStream(unittest.TestCase):
    """Pieces belong to one attempt, and are complete and in order."""

    async def _read(self, target, clients):
        completion = engine.Completion('a-0', 'm', '1', '', 'p', 3)
        port = engine.connect(clients[0])
        stream = port.stream(target, completion, {})
        return [piece async for piece in stream]

    def test_buffered_events_are_one_piece(self):
        async def test(target, clients, raw):
            for _ in range(2):
                pieces = await self._read(target, clients)
                self.assertEqual(
                    'x y z ', ''.join(p.ok_value.text for p in pieces)
                )
                self.assertEqual('length', pieces[-1].ok_value.finish_reason)
                self.assertLessEqual(len(pieces), 2)
            self.assertEqual(1, raw.connections)

        run(test, [EVENTS], [EVENTS])

    def test_split_event(self):
        async def test(target, clients, raw):
            pieces = await self._read(target, clients)
            texts = [piece.ok_value.text for piece in pieces]
            self.assertEqual(['x ', 'y ', ''], texts)

        whole = event('a-0', 'x ')
        run(
            test,
            chunked(whole[:9], whole[9:], event('a-0', 'y '), DONE),
        )

    @parameterized.parameterized.expand(
        [
            ('crossed', chunked(event('a-0', 'x '), event('b-0', 'no '))),
            ('early end', chunked(event('a-0', 'x '))),
            ('crash', chunked(event('a-0', 'x '))[:-1]),
            ('no JSON', chunked(event('a-0', 'x '), b'data: {\n\n')),
            ('no choice', chunked(event('a-0', 'x '), b'data: 1\n\n')),
        ]
    )
    def test_broken(self, name, script):
        async def test(target, clients, raw):
            first, failed = await self._read(target, clients)
            self.assertEqual('x ', first.ok_value.text)
            self.assertEqual(MAY_HAVE_RUN, failed.err_value.verdict)

        run(test, script)

    def test_silence(self):
        async def test(target, clients, raw):
            with mock.patch.object(engine, 'PROGRESS_TIMEOUT_SECONDS', 0.2):
                first, failed = await self._read(target, clients)
            self.assertEqual('x ', first.ok_value.text)
            self.assertEqual(MAY_HAVE_RUN, failed.err_value.verdict)

        run(test, [*chunked(event('a-0', 'x '))[:-1], None])

    def test_silence_of_a_reused_connection(self):
        """It fails after a shorter time than a new connection would."""

        async def test(target, clients, raw):
            await self._read(target, clients)
            with mock.patch.object(engine, 'PROGRESS_TIMEOUT_SECONDS', 0.2):
                (failed,) = await self._read(target, clients)
            self.assertEqual(MAY_HAVE_RUN, failed.err_value.verdict)
            self.assertEqual(1, raw.connections)

        run(test, [EVENTS], [None])

    @parameterized.parameterized.expand(
        [
            ('busy', BUSY, events.TARGET_FAILED),
            ('leaving', LEAVING, events.TARGET_LEAVING),
        ]
    )
    def test_refusal(self, name, script, expected):
        async def test(target, clients, raw):
            (failed,) = await self._read(target, clients)
            self.assertEqual(expected, failed.err_value.event)
            self.assertEqual(NOT_RUN, failed.err_value.verdict)

        run(test, script)

    @parameterized.parameterized.expand([('busy', BUSY), ('leaving', LEAVING)])
    def test_connection_is_not_used_after_a_refusal(self, name, script):
        """The engine may write the refusal again, before the next answer."""

        async def test(target, clients, raw):
            async with pools.make_client(keep_connections=True) as client:
                (failed,) = await self._read(target, [client])
                self.assertEqual(NOT_RUN, failed.err_value.verdict)
                pieces = await self._read(target, [client])
            self.assertEqual(2, raw.connections)
            self.assertTrue(all(piece.is_ok() for piece in pieces))

        run(test, script, [EVENTS])

    def test_connection_is_used_after_an_answer(self):
        async def test(target, clients, raw):
            async with pools.make_client(keep_connections=True) as client:
                for _ in range(2):
                    await self._read(target, [client])
            self.assertEqual(1, raw.connections)

        run(test, [EVENTS], [EVENTS])


class TestClosingPools(unittest.TestCase):
    """A program that stopped failed if a request opened a pool meanwhile."""

    def test_pool_that_is_opened_while_the_others_close(self):
        async def test():
            target_pools = pools.TargetPools(
                httpx.Limits(),
                pools.make_plain_http_context(),
                lambda limits, context: Pool(),
            )

            class Pool(httpx.AsyncBaseTransport):
                async def handle_async_request(self, request):
                    return httpx.Response(200, stream=httpx.ByteStream(b''))

                async def aclose(self):
                    await send('10.0.0.2:1')

            async def send(address):
                await target_pools.handle_async_request(
                    httpx.Request('GET', f'http://{address}/')
                )

            # The loop notices a new pool only if another one follows.
            await send('10.0.0.1:1')
            await send('10.0.0.3:1')
            await target_pools.aclose()

        anyio.run(test)

"""Connections to targets: errors, and the bound on interim answers."""

import inspect
import ssl
import unittest
from unittest import mock

import anyio
import httpcore
import httpx
import parameterized

from persimmonpass.peers import tunnel
from persimmonpass.targets import connections

expand = parameterized.parameterized.expand
LIMITS = httpx.Limits(max_connections=None)
CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
BARE = b'HTTP/1.0 102 P\n\n'
BODY = b'HTTP/1.1 100 x\r\n\r\n' * 1_100
OK = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(BODY) + BODY
SWITCH = b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n'
LONG = connections.MAX_INTERIM_BYTES
ERRORS = [
    (name, kind)
    for name, kind in inspect.getmembers(httpcore, inspect.isclass)
    if issubclass(kind, Exception)
    and kind not in (httpcore.ConnectionNotAvailable, httpcore.ProxyError)
]
SIZES = (1, 7, 1_000, 65_536)


class _FixedStream(httpcore.AsyncNetworkStream):
    def __init__(self, data, size):
        self.left = data
        self._size = size

    async def read(self, max_bytes, timeout=None):
        size = min(max_bytes, self._size)
        data, self.left = self.left[:size], self.left[size:]
        return data

    async def write(self, buffer, timeout=None):
        return None

    async def aclose(self):
        return None

    async def start_tls(self, context, hostname=None, timeout=None):
        return self

    def get_extra_info(self, info):
        return None


class _FixedBackend(httpcore.AsyncNetworkBackend):
    def __init__(self, stream):
        self._stream = stream

    async def connect_tcp(self, *args, **kwargs):
        return self._stream


def _request(scheme='http', **kwargs):
    return httpx.Request('GET', f'{scheme}://127.0.0.1:1/', **kwargs)


class TestErrors(unittest.TestCase):
    """A caller tells from the class whether a request may have run."""

    async def _raised(self, transport, error, in_body):
        async def read():
            raise error
            yield b''

        answer = httpcore.Response(200, content=read())
        with mock.patch.object(
            httpcore.AsyncConnectionPool,
            'handle_async_request',
            mock.AsyncMock(
                return_value=answer, side_effect=None if in_body else error
            ),
        ):
            try:
                answer = await transport.handle_async_request(_request())
                await answer.aread()
            except Exception as raised:
                return raised
        self.fail('no error')

    @expand([(n, k, b) for n, k in ERRORS for b in (False, True)])
    def test_error_is_that_of_the_http_client(self, _, kind, in_body):
        async def test():
            raised = [
                await self._raised(transport, kind('cause'), in_body)
                for transport in (
                    httpx.AsyncHTTPTransport(verify=CONTEXT),
                    connections.Transport(LIMITS, CONTEXT),
                )
            ]
            self.assertIs(type(raised[0]), type(raised[1]))
            self.assertEqual('cause', str(raised[1]))

        anyio.run(test)

    @expand([(False,), (True,)])
    def test_broken_tunnel_is_told_apart(self, in_body):
        async def test():
            raised = await self._raised(
                connections.Transport(LIMITS, CONTEXT),
                tunnel.TunnelBrokenError('cause'),
                in_body,
            )
            self.assertIs(connections.RelayBrokenError, type(raised))

        anyio.run(test)


class TestInterimAnswers(unittest.TestCase):
    """Interim answers without end hold up the event loop."""

    async def _get(self, data, size, **kwargs):
        stream = _FixedStream(data, size)
        transport = connections.Transport(
            LIMITS, CONTEXT, _FixedBackend(stream)
        )
        answer = await transport.handle_async_request(_request(**kwargs))
        return stream, answer

    @expand(
        [
            (name, data, size)
            for name, data in (
                ('none', b''),
                ('some', INTERIM + HINTS + BARE),
                ('limit', INTERIM * (LONG // len(INTERIM))),
            )
            for size in SIZES
        ]
    )
    def test_answer_after_interim_answers(self, _, data, size):
        async def test():
            _, answer = await self._get(data + OK, size)
            self.assertEqual(200, answer.status_code)
            self.assertEqual(BODY, await answer.aread())

        anyio.run(test)

    @expand(
        [
            (name, data, size, scheme)
            for name, data in (
                ('interim', INTERIM),
                ('hints', HINTS),
                ('bare line ends', BARE),
                ('one head', b'HTTP/1.1 100 x\r\n' + b'A: b\r\n' * LONG),
            )
            for size in SIZES
            for scheme in ('http', 'https')
        ]
    )
    def test_too_long(self, _, data, size, scheme):
        async def test():
            data_sent = data * (200_000 // len(data) + 1)
            transport_stream = _FixedStream(data_sent + OK, size)
            transport = connections.Transport(
                LIMITS, CONTEXT, _FixedBackend(transport_stream)
            )
            with self.assertRaises(httpx.RemoteProtocolError):
                await transport.handle_async_request(_request(scheme))
            read = len(data_sent + OK) - len(transport_stream.left)
            # The start of a status line is counted once its status is known.
            self.assertLessEqual(read, LONG + size + len('HTTP/1.1 10'))

        anyio.run(test)

    def test_rest_of_a_head_that_came_with_the_previous_answer(self):
        async def test():
            stream = _FixedStream(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 10',
                65_536,
            )
            transport = connections.Transport(
                LIMITS, CONTEXT, _FixedBackend(stream)
            )
            answer = await transport.handle_async_request(_request())
            await answer.aread()
            await answer.aclose()
            stream.left = b'0 Continue\r\n\r\n' + INTERIM * 8_000
            with self.assertRaises(httpx.RemoteProtocolError):
                await transport.handle_async_request(_request())
            self.assertGreater(len(stream.left), 8_000 * len(INTERIM) // 2)

        anyio.run(test)

    def test_bytes_after_a_switch_of_protocols(self):
        async def test():
            _, answer = await self._get(
                SWITCH + INTERIM * 2_000,
                65_536,
                headers={'Connection': 'upgrade', 'Upgrade': 'x'},
            )
            self.assertEqual(101, answer.status_code)

        anyio.run(test)


if __name__ == '__main__':
    unittest.main()

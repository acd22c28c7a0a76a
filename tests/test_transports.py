"""Connections that go silent while new ones work."""

import socket
import unittest

import anyio
import httpx

from persimmonpass import transports

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
TIMEOUT_SECONDS = 0.2


class SilencingServer:
    """Answers each request, except on connections that were silenced.

    :ivar opened: number of connections that were opened
    """

    def __init__(self):
        self.opened = 0
        self._first_answered = 0

    def silence_open_connections(self):
        self._first_answered = self.opened

    async def handle(self, stream):
        number = self.opened
        self.opened += 1
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if number >= self._first_answered:
                    await stream.send(ANSWER)


class TestRenewingTransport(unittest.TestCase):
    def run_with_server(self, test):
        async def run():
            server = SilencingServer()
            listener = await anyio.create_tcp_listener(
                local_host='127.0.0.1', family=socket.AF_INET
            )
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            transport = transports.RenewingTransport(httpx.AsyncHTTPTransport)
            async with (
                listener,
                httpx.AsyncClient(
                    transport=transport, timeout=TIMEOUT_SECONDS
                ) as client,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(listener.serve, server.handle)

                async def call():
                    return await client.get(f'http://127.0.0.1:{port}/')

                await test(server, call)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_only_one_request_times_out_on_silent_idle_connections(self):
        async def test(server, call):
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(call)
            server.silence_open_connections()
            with self.assertRaises(httpx.ReadTimeout):
                await call()
            for _ in range(4):
                self.assertEqual(b'ok', (await call()).content)

        self.run_with_server(test)

    def test_idle_connections_are_kept_while_requests_are_answered(self):
        async def test(server, call):
            for _ in range(4):
                await call()
            self.assertEqual(1, server.opened)

        self.run_with_server(test)


if __name__ == '__main__':
    unittest.main()

"""Answers that break off anywhere, or that another answer interrupts."""

import asyncio
import contextlib
import itertools
import unittest

import anyio
import httpx
import parameterized

from persimmonpass import blackboard
from persimmonpass import exchange
from persimmonpass.platform import wire
from persimmonpass.targets import opaque
from persimmonpass.targets import pools
from persimmonpass.targets import service
from persimmonpass import verdicts
from tests import test_target_faults

expand = parameterized.parameterized.expand
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Signature: 3e1b.07\r\n'
    b'Content-Type: text/plain\r\n'
)
BODY = b'id: 1\ndata: x\n\n'
FORMS = {
    'with length': HEAD + b'Content-Length: %d\r\n\r\n' % len(BODY) + BODY,
    'chunked': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'8\r\n%s\r\n7;x=1\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n'
    % (BODY[:8], BODY[8:]),
    'without length': HEAD + b'Connection: close\r\n\r\n' + BODY,
}
PAUSE_SECONDS = 0.002


class Script:
    """A target that writes given parts with pauses and then closes.

    :ivar parts: what it answers to each request
    :ivar resets: whether it resets the connection at its end
    :ivar requests: number of requests
    """

    def __init__(self):
        self.parts = ()
        self.resets = False
        self.requests = 0

    async def handle(self, reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            for part in self.parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(PAUSE_SECONDS)
            if self.resets:
                test_target_faults.reset(writer)
        writer.close()


def make_client():
    """Return a client of the gateway for targets, and what it recorded."""
    paths = opaque.PathPort(
        lambda _: None,
        lambda *_: contextlib.nullcontext(),
        lambda *_: None,
        lambda *_: None,
    )
    return opaque.TargetClient(
        wire.WIRE, lambda _: None, lambda *_: None, paths, None
    )


async def ask_gateway(client, target):
    """Return the answer that the gateway's client reads, or a failure."""
    call = exchange.Call('r', 'GET', 'h', b'/x', [], b'')
    async with client.open(call, target, 1.0, repeatable=True) as opened:
        if opened.is_err():
            return opened
        try:
            chunks = [chunk async for chunk in opened.ok_value.chunks]
        except (httpx.HTTPError, ValueError) as error:
            return error
        return opened.ok_value.head.status, b''.join(chunks)


def run(test):
    """Run ``test(script, target)`` while a target serves."""

    async def main():
        script = Script()
        server = await asyncio.start_server(script.handle, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        with anyio.fail_after(60):
            await test(
                script,
                blackboard.Target('t', f'127.0.0.1:{port}', '', '', {}),
            )
        server.close()
        await asyncio.sleep(0.01)

    asyncio.run(main())


class TestCutAnswers(unittest.TestCase):
    """An answer that broke off was taken for a complete one."""

    @expand(
        [
            (f'{name} {how}', name, how == 'reset')
            for name, how in itertools.product(FORMS, ('closed', 'reset'))
        ]
    )
    def test_cut_anywhere_is_not_whole(self, _, name, resets):
        text = FORMS[name]
        head_size = text.index(b'\r\n\r\n') + 4

        async def test(script, target):
            client = make_client()
            script.resets = resets
            async with pools.make_client(keep_connections=True) as http:
                calls = service.connect(http, http)
                for size in range(len(text)):
                    if name == 'without length' and size >= head_size:
                        if not resets:
                            break
                    script.parts = [text[:size]]
                    found = await ask_gateway(client, target)
                    self.assertNotIsInstance(found, tuple, (size, found))
                    if not isinstance(found, Exception):
                        verdict = found.err_value.verdict
                        self.assertIs(MAY_HAVE_RUN, verdict)
                    called = await calls.call(
                        target, service.ServiceCall('GET', '/', {}, b''), 1.0
                    )
                    self.assertTrue(called.is_err(), (size, called))
                    verdict = called.err_value.verdict
                    self.assertIs(MAY_HAVE_RUN, verdict)
                script.parts = [text]
                script.resets = False
                found = await ask_gateway(client, target)
                self.assertEqual((200, BODY), found)
            await client.aclose()

        run(test)


class TestInterruptedAnswers(unittest.TestCase):
    """An answer that broke off was continued by another answer."""

    @expand([(name, name) for name in FORMS])
    def test_two_heads_are_never_joined(self, _, name):
        text = FORMS[name]
        head_size = text.index(b'\r\n\r\n') + 4
        other = text.replace(b'200 OK', b'500 Error').replace(b'x', b'y')

        async def test(script, target):
            client = make_client()
            joined = []
            async with pools.make_client(keep_connections=True) as http:
                calls = service.connect(http, http)
                for second in (text, other):
                    for size in range(1, head_size):
                        script.parts = [text[:size], second]
                        found = await ask_gateway(client, target)
                        if isinstance(found, tuple):
                            joined.append((size, found))
                        called = await calls.call(
                            target,
                            service.ServiceCall('GET', '/', {}, b''),
                            1.0,
                        )
                        if called.is_ok():
                            joined.append((size, called.ok_value))
            await client.aclose()
            self.assertEqual([], joined)

        run(test)


if __name__ == '__main__':
    unittest.main()

"""Answers that come before the request has been written, and odd statuses."""

import asyncio
import contextlib
import unittest

import anyio
import httpx
import parameterized

from persimmonpass import blackboard
from persimmonpass import exchange
from persimmonpass.targets import pools
from persimmonpass.targets import service
from persimmonpass import verdicts
from tests import platform_fakes
from tests import test_partial_answers
from tests import test_target_faults

expand = parameterized.parameterized.expand
UPLOAD = b'x' * 4_000_000
HEAD = (
    b'Request-Id: r\r\nResponse-Signature: s\r\nContent-Type: text/plain\r\n'
)
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\n' + HEAD + b'\r\n'
PART = b'id: 1\ndata: part of the answer\n\n'
ATTEMPTS = 20


class EarlyTarget:
    """A target that answers before it has read the body.

    :ivar answer: what it writes
    :ivar read_bytes: how much of the body it reads before
    :ivar pause_seconds: time between the answer and the reset
    """

    def __init__(self, answer, read_bytes=0, pause_seconds=0.0):
        self.answer = answer
        self.read_bytes = read_bytes
        self.pause_seconds = pause_seconds

    async def handle(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(self.read_bytes)
            writer.write(self.answer)
            await writer.drain()
            await asyncio.sleep(self.pause_seconds)
        test_target_faults.reset(writer)
        writer.close()


@contextlib.asynccontextmanager
async def serving(target):
    server = await asyncio.start_server(target.handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    yield blackboard.Target('t', f'127.0.0.1:{port}', '', '', {})
    server.close()


async def ask_gateway(target, body):
    """Return status and body that the gateway's client reads, or a failure."""
    client = test_partial_answers.make_client()
    call = exchange.Call('r', 'POST', 'h', b'/x', [], body)
    try:
        async with client.open(call, target, 2.0, repeatable=True) as opened:
            if opened.is_err():
                return opened
            chunks = [chunk async for chunk in opened.ok_value.chunks]
            return opened.ok_value.head.status, b''.join(chunks)
    except (httpx.HTTPError, ValueError) as error:
        return error
    finally:
        await client.aclose()


async def ask_daemon(target, body):
    """Return the answer that the client for services reads, or a failure."""
    async with pools.make_client(keep_connections=True) as http:
        calls = service.connect(http, http)
        called = await calls.call(
            target, service.ServiceCall('POST', '/', {}, body), 2.0
        )
    if called.is_err():
        return called
    return called.ok_value.status, called.ok_value.body


CLIENTS = [('gateway', ask_gateway), ('daemon', ask_daemon)]


class TestEarlyAnswers(unittest.TestCase):
    """An answer that was reset during an upload was taken for complete."""

    @expand(
        [
            (f'{name}, {read} read, pause {pause}', ask, read, pause)
            for name, ask in CLIENTS
            for read in (0, 100_000)
            for pause in (0.0, 0.01)
        ]
    )
    def test_reset_answer_is_not_complete(self, _, ask, read, pause):
        async def test():
            target = EarlyTarget(WITHOUT_LENGTH + PART, read, pause)
            async with serving(target) as row:
                for _ in range(ATTEMPTS):
                    with anyio.fail_after(5):
                        found = await ask(row, UPLOAD)
                    self.assertNotIsInstance(found, tuple, found)

        platform_fakes.run(test)


class TestStatuses(unittest.TestCase):
    @expand(
        [
            (f'{name} {status}', ask, status)
            for name, ask in CLIENTS
            for status in ('000', '099', '-10', '2x0', '20', '1000')
        ]
    )
    def test_no_status_of_http_is_no_answer(self, _, ask, status):
        """Guards against answers whose status means nothing."""

        async def test():
            line = f'HTTP/1.1 {status} OK\r\n'.encode()
            size = b'Content-Length: %d\r\n\r\n' % len(PART)
            async with serving(
                EarlyTarget(line + HEAD + size + PART, 1, 0.05)
            ) as row:
                found = await ask(row, b'x')
                self.assertNotIsInstance(found, tuple, found)
                if not isinstance(found, Exception):
                    verdict = found.err_value.verdict
                    self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, verdict)

        platform_fakes.run(test)


if __name__ == '__main__':
    unittest.main()

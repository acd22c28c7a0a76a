"""Streams that broke off and go on with the answer of another target.

Callers and targets are raw connections, so that each byte is checked.
"""

import asyncio
import contextlib
import unittest

import anyio
import eliot
import parameterized

from persimmonpass import events
from tests import platform_fakes

expand = parameterized.parameterized.expand

EVENTS = 4
ERROR = b'internal error: out of memory'
# An error that contains the event which the stream needs next.
ERROR_EVENT = b'<html>\n\nid: 3\ndata: error\n\n</html>'
STREAM = b'text/event-stream'
TEXT = b'text/plain'
PARTIAL = b'id: 3\ndata: err'


def chunk(data):
    """Return a chunk of a body in chunks."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def event(number, text=b'x'):
    """Return an event of a stream."""
    return b'id: %d\ndata: %s-%d\n\n' % (number, text, number)


def events_from(first, last=EVENTS, text=b'x'):
    """Return a part of a stream."""
    return b''.join(event(number, text) for number in range(first, last + 1))


def head(status=200, kind=STREAM, extra=b'', name=b'%ID%'):
    """Return the head of an answer up to its framing."""
    return (
        b'HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n'
        b'Content-Type: %s\r\n%s' % (status, name, kind, extra)
    )


def whole(body, status=200, kind=STREAM, extra=b''):
    """Return an answer with a length."""
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return head(status, kind, extra) + length + body


def chunked(*parts, status=200, kind=STREAM, ends=True):
    """Return an answer in chunks."""
    framing = b'Transfer-Encoding: chunked\r\n\r\n'
    body = b''.join(map(chunk, parts)) + (b'0\r\n\r\n' if ends else b'')
    return head(status, kind) + framing + body


def unframed(body, status=200, kind=STREAM):
    """Return an answer that ends with its connection."""
    return head(status, kind, b'Connection: close\r\n') + b'\r\n' + body


BEGUN = events_from(1, 2)
# A stream that breaks off within its third event.
CUT = chunked(event(1), event(2), PARTIAL, ends=False)
GOOD = chunked(event(3), event(4))

# Answers that cannot continue a stream after its second event.
ERRORS = [
    ('error', whole(ERROR, 500, TEXT)),
    ('error in chunks', chunked(ERROR, status=500, kind=TEXT)),
    ('error without length', unframed(ERROR, 500, TEXT)),
    ('error cut', whole(ERROR, 500, TEXT)[:-3]),
    ('error of stream type', chunked(ERROR, status=500)),
    ('error with event', whole(ERROR_EVENT, 500, TEXT)),
    ('error with event of stream type', chunked(ERROR_EVENT, status=502)),
    ('error without body', whole(b'', 500, TEXT)),
    ('time-out', whole(ERROR, 504, TEXT)),
    ('unavailable', whole(ERROR, 503, TEXT)),
    ('not found', whole(ERROR, 404, TEXT)),
    ('invalid', whole(ERROR, 422, STREAM)),
    ('redirect', whole(b'', 302, TEXT, b'Location: /x\r\n')),
    ('no content', head(204, TEXT) + b'\r\n'),
    ('page', whole(ERROR_EVENT, 200, b'text/html')),
    ('page without length', unframed(ERROR_EVENT, 200, b'text/html')),
    ('empty page', whole(b'', 200, TEXT)),
]


class ScriptedTargets:
    """Targets that answer the requests to all of them by one script.

    :ivar requests: id and last event id of the requests that were answered
        by the script, in order
    """

    def __init__(self, script):
        self.requests = []
        self._script = script
        self._servers = []

    async def start(self, fleet, count):
        """Start and list targets, and wait until the host knows them."""
        for number in range(count):
            server = await asyncio.start_server(self._handle, '127.0.0.1', 0)
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            entry = platform_fakes.Server(f'i-{number}')
            entry.address = f'127.0.0.1:{port}'
            fleet.store.memory.put('servers', entry.name, entry.entry())
        board = fleet.hosts['one'].board
        with anyio.fail_after(5):
            while len(board.targets.rows()) < count:
                await anyio.sleep(0.01)

    def close(self):
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def _handle(self, reader, writer):
        try:
            while True:
                text = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in text.split(b'\r\n')[1:]
                    if line
                )
                length = int(fields.get(b'content-length', b'0'))
                await reader.readexactly(length)
                request_id = fields[b'request-id']
                number = min(len(self.requests), len(self._script) - 1)
                answer = self._script[number]
                self.requests.append(
                    (request_id, int(fields.get(b'last-event-id', b'0')))
                )
                writer.write(answer.replace(b'%ID%', request_id))
                await writer.drain()
                # Every answer is the last of its connection, so that one
                # without its end breaks off.
                return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class Answer:
    """What a caller received.

    :ivar status: status of the answer
    :ivar body: bytes of the whole chunks
    :ivar is_complete: whether the answer has its end
    """

    def __init__(self, data):
        text, _, rest = data.partition(b'\r\n\r\n')
        self.status = int(text.split()[1])
        if b'transfer-encoding: chunked' in text.lower():
            self.body, self.is_complete = self._read_chunks(rest)
        else:
            (length,) = (
                int(line.partition(b':')[2])
                for line in text.lower().split(b'\r\n')
                if line.startswith(b'content-length:')
            )
            self.body, self.is_complete = rest, len(rest) == length

    @staticmethod
    def _read_chunks(rest):
        body = b''
        while rest:
            size, _, rest = rest.partition(b'\r\n')
            length = int(size, 16)
            body += rest[:length]
            if rest[length : length + 2] != b'\r\n':
                raise AssertionError(f'chunk cut: {rest!r}')
            rest = rest[length + 2 :]
            if not length:
                if rest:
                    raise AssertionError(f'bytes after the answer: {rest!r}')
                return body, True
        return body, False


async def call_raw(fleet, request_id='r', path='/notes/1', **headers):
    """Send a request and return all bytes until the connection closes."""
    ip, _, port = fleet.addresses['one'].rpartition(':')
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    async with await anyio.connect_tcp(ip, int(port)) as stream:
        await stream.send(
            f'POST {path} HTTP/1.1\r\nHost: {platform_fakes.HOST}\r\n'
            f'Request-Id: {request_id}\r\nConnection: close\r\n{lines}'
            'Content-Length: 1\r\n\r\nx'.encode()
        )
        data = b''
        with anyio.fail_after(8), contextlib.suppress(anyio.EndOfStream):
            while True:
                data += await stream.receive()
    return Answer(data)


@contextlib.contextmanager
def logged(event):
    """Collect the log messages of an event."""
    found = []

    def collect(message):
        if event.name in message.get('message_type', ''):
            found.append(message)

    eliot.add_destinations(collect)
    try:
        yield found
    finally:
        eliot.remove_destination(collect)


def run_with_targets(script, attempts, test, count=4):
    """Run a test with a host and scripted targets."""

    async def main():
        config = platform_fakes.configuration(
            routes=[
                platform_fakes.route('/notes/', maxAttempts=attempts),
                platform_fakes.route('/jobs/', 'batch', maxAttempts=attempts),
            ]
        )
        async with platform_fakes.fleet(count=0, config=config) as fleet:
            targets = ScriptedTargets(script)
            await targets.start(fleet, count)
            try:
                await test(fleet, targets)
            finally:
                targets.close()

    platform_fakes.run(main)


class TestJoinedStreams(unittest.TestCase):
    @expand(ERRORS)
    def test_stream_that_cannot_continue_is_cut(self, _, answer):
        async def test(fleet, targets):
            with logged(events.REQUEST_BROKEN) as found:
                received = await call_raw(fleet)
            self.assertEqual((200, BEGUN), (received.status, received.body))
            self.assertFalse(received.is_complete)
            self.assertEqual([(b'r', 0), (b'r', 2)], targets.requests)
            (line,) = found
            self.assertEqual(('r', 2), (line['key'], line['after']))

        run_with_targets([CUT, answer], 2, test)

    @expand(ERRORS)
    def test_third_target_continues_a_stream(self, _, answer):
        async def test(fleet, targets):
            received = await call_raw(fleet)
            self.assertEqual(
                (200, events_from(1)), (received.status, received.body)
            )
            self.assertTrue(received.is_complete)
            self.assertEqual(
                [(b'r', 0), (b'r', 2), (b'r', 2)], targets.requests
            )

        run_with_targets([CUT, answer, GOOD], 3, test)


if __name__ == '__main__':
    unittest.main()

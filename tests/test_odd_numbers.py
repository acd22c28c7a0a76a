"""Numbers in odd forms that targets and callers send as text.

Python's conversions take signs, underscores, blanks and prefixes, too.
"""

import itertools
import signal
import unittest

import anyio
import httpcore
import httpx
import parameterized

from persimmonpass.peers import tunnel
from persimmonpass.targets import connections
from persimmonpass.targets import framing
from persimmonpass.targets import late_answers
from tests import platform_fakes
from tests import test_target_connections
from tests import test_target_faults

expand = parameterized.parameterized.expand
TIMEOUT_SECONDS = 10
REQUESTS = 8
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n'
REQUEST = b'GET / HTTP/1.1\r\nRequest-Id: %s\r\n\r\n'
DUE = HEAD % b'due' + b'Content-Length: 2\r\n\r\nok'
ODD_SIZES = [
    ('negative', b'-6'),
    ('negative line end', b'-2'),
    ('negative zero', b'-0'),
    ('plus', b'+6'),
    ('underscore', b'1_0'),
    ('prefix', b'0x6'),
    ('blank before', b' 6'),
    ('vertical tab', b'6\x0b'),
    ('empty', b''),
    ('no digit', b'g'),
    ('huge', b'f' * 21),
    ('thousands of digits', b'f' * 5_000),
]
SIZES = [
    ('plain', b'6'),
    ('zeros', b'0' * 19 + b'6'),
    ('blank behind', b'6 \t'),
    ('extension', b'6;x=-6'),
]
ODD_LENGTHS = [
    ('negative', b'-6'),
    ('plus', b'+6'),
    ('underscore', b'0_6'),
    ('other digits', '\u0666'.encode()),
    ('empty', b''),
    ('huge', b'9' * 21),
    ('thousands of digits', b'9' * 5_000),
]


def in_chunks(size, request_id=b'due'):
    """Return an answer in chunks, the first of which has six bytes."""
    return (
        HEAD % request_id + b'Transfer-Encoding: chunked\r\n\r\n'
        b'%s\r\nid:1\n\n\r\n0\r\n\r\n' % size
    )


def with_length(length, request_id=b'due'):
    """Return an answer with a body of six bytes."""
    return HEAD % request_id + b'Content-Length: %s\r\n\r\nid:1\n\n' % length


def odd_answers(request_id=b'due'):
    """Return answers whose end cannot be told, by name."""
    chunks = [
        (f'chunk {name}', in_chunks(size, request_id))
        for name, size in ODD_SIZES
    ]
    lengths = [
        (f'length {name}', with_length(length, request_id))
        for name, length in ODD_LENGTHS
    ]
    return [*chunks, *lengths]


def read_id(headers):
    """Return the id that a request or an answer has."""
    found = {name.lower(): value for name, value in headers}
    return found.get(b'request-id', b'').decode()


class _Bounded(unittest.TestCase):
    """Fails a test that does not end."""

    def setUp(self):
        def fail(*_):
            raise AssertionError('the bytes are read without end')

        before = signal.signal(signal.SIGALRM, fail)
        self.addCleanup(signal.signal, signal.SIGALRM, before)
        self.addCleanup(signal.setitimer, signal.ITIMER_REAL, 0)
        signal.setitimer(signal.ITIMER_REAL, TIMEOUT_SECONDS)


class TestAnswerEnd(_Bounded):
    """A negative chunk size led back to the same chunk again and again."""

    @expand(
        [
            (f'{name} {size}', data, size)
            for (name, data), size in itertools.product(
                odd_answers(), (1, 65_536)
            )
        ]
    )
    def test_answer_of_odd_size_has_no_end(self, _, data, size):
        end = framing.AnswerEnd()
        for start in range(0, len(data), size):
            end.add(data[start : start + size])
        self.assertFalse(end.has_ended)
        self.assertTrue(end.is_endless)

    @expand(SIZES)
    def test_answer_in_chunks_ends(self, _, size):
        end = framing.AnswerEnd()
        end.add(in_chunks(size))
        self.assertTrue(end.is_exact)
        self.assertFalse(end.is_endless)

    @expand([('plain', b'6'), ('zeros', b'0' * 19 + b'6')])
    def test_answer_with_a_length_ends(self, _, length):
        end = framing.AnswerEnd()
        end.add(with_length(length))
        self.assertTrue(end.is_exact)

    @expand([(b'2 0',), (b'+20',), (b'2_0',), (b'-20',)])
    def test_odd_status_is_no_status(self, status):
        end = framing.AnswerEnd()
        end.add(DUE.replace(b'200', status))
        self.assertFalse(end.has_ended)


class TestReaders(_Bounded):
    """Whatever follows the answers of a target."""

    @expand(odd_answers())
    def test_tunnel_stays_in_use(self, _, data):
        carried = tunnel._Tunnel()
        carried.record_request(REQUEST % b'due')
        carried.record_answer(data)
        self.assertTrue(carried.is_in_use)

    @expand(odd_answers(b'late'))
    def test_late_answer_of_odd_size_is_an_error_at_once(self, _, data):
        """The answer that is due could not be told from the rest of it."""
        late = late_answers.LateAnswers(read_id)
        late.begin(REQUEST % b'late')
        late.drop(in_chunks(b'6', b'late'))
        late.begin(REQUEST % b'due')
        with self.assertRaises(httpcore.RemoteProtocolError):
            late.drop(data + DUE)

    @expand(
        [
            (f'{name} {size}', data, size)
            for (name, data), size in itertools.product(
                odd_answers(), (1, 65_536)
            )
        ]
    )
    def test_answer_of_odd_size_fails(self, _, data, size):
        async def test():
            stream = test_target_connections._FixedStream(data, size)
            transport = connections.Transport(
                test_target_connections.LIMITS,
                test_target_connections.CONTEXT,
                test_target_connections._FixedBackend(stream),
            )
            with self.assertRaises(httpx.RemoteProtocolError):
                answer = await transport.handle_async_request(
                    test_target_connections._request()
                )
                await answer.aread()

        anyio.run(test)


class TestGateway(_Bounded):
    """One such answer kept a host from answering anything again."""

    @expand([('stream', '/notes/'), ('body', '/plain/')])
    def test_other_requests_are_answered(self, _, path):
        async def answer(target, fields, writer):
            if len(target.requests) % 2:
                writer.write(in_chunks(b'-6', fields[b'request-id']))
                return True
            return await test_target_faults.answer_in_full(
                target, fields, writer
            )

        async def test(raw):
            raw.fleet.store.memory.put(
                'config',
                'main',
                platform_fakes.configuration(
                    2,
                    [
                        platform_fakes.route('/notes/', maxAttempts=4),
                        platform_fakes.route(
                            '/plain/', 'idempotent', maxAttempts=4
                        ),
                    ],
                ),
            )
            for number in range(2):
                await raw.add(f'i-odd-{number}', answer)
            await anyio.sleep(0.3)
            for number in range(REQUESTS):
                found = await raw.fleet.post(
                    f'{path}{number}', **{'Request-Id': f'r{number}'}
                )
                self.assertEqual(200, found.status_code)

        test_target_faults.run(test)


if __name__ == '__main__':
    unittest.main()

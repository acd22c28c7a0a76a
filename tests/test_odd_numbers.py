"""Numbers in odd forms that targets and callers send as text.

Python's conversions take signs, underscores, blanks and prefixes, too.
"""

import itertools
import math
import signal
import unittest
import urllib.parse

import anyio
import httpcore
import httpx
import parameterized

from persimmonpass import blackboard
from persimmonpass import client
from persimmonpass import exchange
from persimmonpass import job_records
from persimmonpass import numerals
from persimmonpass.peers import tunnel
from persimmonpass.platform import objects
from persimmonpass.platform import wire
from persimmonpass.policy import rate_limits
from persimmonpass import records
from persimmonpass.targets import connections
from persimmonpass.targets import engine
from persimmonpass.targets import framing
from persimmonpass.targets import late_answers
from tests import fakes
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


ODD_NUMBERS = [
    ('negative', '-6'),
    ('plus', '+6'),
    ('underscore', '1_0'),
    ('blank', '1 0'),
    ('other digits', '\u00b2'),
    ('no number', 'nan'),
    ('infinite', 'inf'),
    ('exponent', '1e999'),
    ('hexadecimal', '0x6'),
    ('thousands of digits', '9' * 5_000),
]


class TestCallers(_Bounded):
    """Numbers in the headers of requests."""

    @expand(
        [
            (f'{header} {name}', header, value)
            for header, (name, value) in itertools.product(
                ('Deadline-Ms', 'Last-Event-Id'), ODD_NUMBERS
            )
        ]
    )
    def test_request_is_malformed(self, _, header, value):
        with self.assertRaises(ValueError):
            wire.read_call(
                'POST',
                b'/a',
                [(header.encode(), value.encode('latin-1'))],
                b'',
            )

    @expand([('5000', 5.0), ('250.5', 0.2505), ('0', 0.0)])
    def test_deadline_is_read(self, value, seconds):
        call = wire.read_call(
            'POST', b'/a', [(b'Deadline-Ms', value.encode())], b''
        )
        self.assertEqual(seconds, call.deadline_seconds)

    def test_reads_of_results_are_malformed(self):
        """A negative position showed the last results at wrong positions."""

        async def test():
            async with platform_fakes.fleet() as fleet:
                accepted = await fleet.post(
                    '/jobs/x',
                    platform_fakes.submission(),
                    **{'Request-Id': 'job'},
                )
                self.assertEqual(202, accepted.status_code)
                await fleet.results('job', 3)
                for name, value in ODD_NUMBERS:
                    text = urllib.parse.quote(value, encoding='latin-1')
                    for path, headers in (
                        (f'?after={text}', {}),
                        ('?after=0', {'Wait-Ms': value.encode('latin-1')}),
                    ):
                        found = await fleet.get(
                            f'/persimmonpass/lots/job{path}', **headers
                        )
                        with self.subTest(name, path=path):
                            self.assertEqual(400, found.status_code)

        anyio.run(test)

    @expand(
        [
            ('hundreds of digits', '9' * 400),
            ('hundreds of digits below 0', '-' + '9' * 400),
            ('beyond 64 bits', str(2**63)),
        ]
    )
    def test_job_of_too_many_tokens_is_malformed(self, _, tokens):
        """Weighing it ended all batch work with an OverflowError."""

        async def test():
            config = platform_fakes.configuration(
                1, [platform_fakes.route('/jobs/', 'batch', maxCount=0)]
            )
            async with platform_fakes.fleet(config=config) as fleet:
                odd = platform_fakes.submission(tokens='@').replace(
                    '"@"', tokens
                )
                sound = platform_fakes.submission()
                answers = [
                    await fleet.post('/jobs/x', body, **{'Request-Id': name})
                    for name, body in (('odd', odd), ('sound', sound))
                ]
                await fleet.results('sound', 3)
                self.assertEqual(
                    [400, 202], [answer.status_code for answer in answers]
                )

        anyio.run(test)

    @expand(ODD_LENGTHS)
    def test_odd_length_counts_as_too_long(self, _, length):
        headers = [(b'Content-Length', length)]
        self.assertEqual(numerals.MAX_INTEGER, exchange.read_length(headers))


class TestTargets(_Bounded):
    """Numbers in answers of targets."""

    @expand(ODD_NUMBERS)
    def test_event_has_no_id(self, _, value):
        text = value.encode('latin-1')
        [event] = exchange.EventReader().feed(b'id: %s\n\n' % text)
        self.assertIsNone(event.id)

    @expand(ODD_NUMBERS)
    def test_limit_is_not_read(self, _, value):
        head = wire.decode(
            wire.read_call('POST', b'/a', [], b''),
            200,
            [(b'Server-Limit', value.encode('latin-1'))],
        )
        self.assertIsNone(rate_limits.read(head.rate_limits, is_run=True))

    @expand(
        [
            (f'{path} {name}', path, body % value)
            for (path, body), (name, value) in itertools.product(
                (
                    (
                        'report',
                        '{"running":%s,"pending_tokens":0,"models":[]}',
                    ),
                    ('events', '[{"number":%s,"kind":"stored","block":1}]'),
                ),
                (
                    ('infinite', '1e999'),
                    ('negative', '-1'),
                    ('null', 'null'),
                    ('underscore', '"1_0"'),
                    ('huge', '9' * 30),
                    ('nested', '[' * 100_000),
                ),
            )
        ]
    )
    def test_report_of_an_engine_is_malformed(self, _, path, body):
        """An OverflowError ended the daemon's tasks."""
        target = blackboard.Target('t', '127.0.0.1:1', 'engine', '', {})

        async def test():
            transport = httpx.MockTransport(
                lambda request: httpx.Response(200, text=body)
            )
            async with httpx.AsyncClient(transport=transport) as client:
                if path == 'report':
                    found = await engine.connect(client).report(target)
                else:
                    read = engine.connect_cache_events(client)
                    found = await read(target, 0)
            self.assertTrue(found.is_err())

        anyio.run(test)


class TestStores(_Bounded):
    """Numbers in what the store holds."""

    @expand(
        [
            (f'{field} {value}', field, value)
            for field, value in itertools.product(
                ('timeoutMs', 'sloMs', 'gapTargetMs'), ('nan', 'inf', -1.0)
            )
        ]
    )
    def test_time_that_no_request_can_have_is_left_out(self, _, field, value):
        """Each request of the route was answered with 500."""
        odd = platform_fakes.route('/a/', **{field: value})
        without = {k: v for k, v in odd.items() if k != field}
        read = [
            objects.read_configuration(
                records.Record(
                    'main', 1, platform_fakes.configuration(1, [row]), {}
                )
            )
            for row in (odd, without)
        ]
        self.assertEqual(read[1], read[0])
        self.assertIsNotNone(read[0])

    @expand([('1_0',), ('-1',), ('+1',), ('x',), ('9' * 5_000,)])
    def test_record_of_no_group_is_left_out(self, number):
        record = records.Record(f'r.job.{number}', 1, {'results': []}, {})
        self.assertIsNone(job_records.read(record))


class TestClient(_Bounded):
    """The client of callers ended with an error."""

    @expand([*ODD_NUMBERS, ('date', 'Mon, 07 Dec 2026 22:00:00 GMT')])
    def test_request_is_sent_again(self, _, value):
        answers = []

        def respond(request):
            if request.url.path == '/v1/entry':
                return httpx.Response(
                    200, json={'addresses': ['h:1'], 'ttl_seconds': 5}
                )
            answers.append(request)
            headers = {'Retry-After': value.encode('latin-1')}
            status = 503 if len(answers) == 1 else 200
            return httpx.Response(status, headers=headers)

        async def test():
            transport = httpx.MockTransport(respond)
            async with httpx.AsyncClient(transport=transport) as http:
                caller = client.Caller(http, ['h:1'], 't')
                found = await caller.send('POST', '/', b'', 'key')
            self.assertEqual(200, found.ok_value.status)

        fakes.run(test)

    @expand([(None,), ('nan',), ('x',), ([],)])
    def test_entry_without_a_time_is_not_kept(self, ttl):
        def respond(request):
            if request.url.path == '/v1/entry':
                return httpx.Response(
                    200, json={'addresses': ['h:1'], 'ttl_seconds': ttl}
                )
            return httpx.Response(200)

        async def test():
            transport = httpx.MockTransport(respond)
            async with httpx.AsyncClient(transport=transport) as http:
                caller = client.Caller(http, ['h:1'], 't')
                found = await caller.send('POST', '/', b'', 'key')
            self.assertEqual(200, found.ok_value.status)
            self.assertLess(caller._addresses_expire_at, math.inf)

        fakes.run(test)


if __name__ == '__main__':
    unittest.main()
